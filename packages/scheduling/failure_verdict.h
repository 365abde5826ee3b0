#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace zinniacart {

/// Failed runs of one step on one host, since a run last ended there otherwise.
struct StepFailures {
  std::uint32_t failures = 0;
  /// A task of the step has finished, on whatever host.
  bool step_succeeds = false;
  /// Hosts on which runs of the step have failed, this one included.
  std::size_t hosts = 0;
};

/// Tells a host that fails what it starts from jobs whose tasks fail on every
/// host. Failures on one host have few hosts and many steps in common, those of
/// a hopeless job one step and many hosts, so the side that fails with more
/// counterparts is at fault. A step of which a task has finished is not, and
/// failures of a single step that may fail anywhere say nothing of the host.
/// @param in_row the steps whose runs have failed on the host.
/// @returns how many of the failures the host is at fault for.
std::uint32_t FailuresOfHost(const std::vector<StepFailures>& in_row);

}  // namespace zinniacart
