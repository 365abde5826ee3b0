#include "scheduling/interference_model.h"

#include <algorithm>

namespace zinniacart {
namespace {

/// Less use than this says nothing about an image.
constexpr double kLeastCores = 0.05;

}  // namespace

void InterferenceModel::Learn(const std::string& serving_image,
                              double excess,
                              const std::vector<ImageUse>& beside) {
  double predicted = 0;
  double squares = 0;
  for (const ImageUse& use : beside) {
    predicted += PerCore(serving_image, use.image) * use.cores;
    squares += use.cores * use.cores;
  }
  if (squares < kLeastCores * kLeastCores) {
    return;
  }
  const double correction =
      m_settings.learning_rate * (excess - predicted) / squares;
  for (const ImageUse& use : beside) {
    const double learned =
        PerCore(serving_image, use.image) + correction * use.cores;
    m_per_core[{serving_image, use.image}] =
        std::clamp(learned, 0.0, m_settings.most_per_core);
  }
}

double InterferenceModel::PerCore(const std::string& serving_image,
                                  const std::string& best_effort_image) const {
  const auto found = m_per_core.find({serving_image, best_effort_image});
  return found == m_per_core.end() ? m_settings.unknown_per_core
                                   : found->second;
}

}  // namespace zinniacart
