#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace zinniacart {

struct InterferenceSettings {
  /// Assumed until a pair has been seen together: added share of the target
  /// for each core of best-effort work. Between harmless (0) and harmful (1).
  double unknown_per_core = 0.15;
  /// Share of the error that one sample corrects. Disturbance changes within
  /// seconds, at two samples a second.
  double learning_rate = 0.25;
  double most_per_core = 3.0;
};

/// What one image of best-effort work uses on a host.
struct ImageUse {
  std::string image;
  double cores = 0;
};

/// Learns how much best-effort work of one image adds to the tail latency of
/// serving tasks of another, for each core that it uses. Load it answers:
/// images that differ in what they disturb, none of which is declared.
class InterferenceModel final {
 public:
  explicit InterferenceModel(InterferenceSettings settings = {})
      : m_settings(settings) {}

  /// Learns from one serving task.
  /// @param excess the share of its target by which its tail exceeds that of
  ///   its undisturbed siblings.
  /// @param beside what worked beside it.
  void Learn(const std::string& serving_image,
             double excess,
             const std::vector<ImageUse>& beside);

  /// @returns the share of the target that each core of the best-effort image
  /// adds to the tail of the serving image.
  double PerCore(const std::string& serving_image,
                 const std::string& best_effort_image) const;

 private:
  using Pair = std::pair<std::string, std::string>;

  InterferenceSettings m_settings;
  std::map<Pair, double> m_per_core;
};

}  // namespace zinniacart
