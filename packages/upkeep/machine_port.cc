#include "upkeep/machine_port.h"

namespace zinniacart {

const char* ToString(UpkeepAnswer answer) {
  switch (answer) {
    case UpkeepAnswer::kAccepted:
      return "accepted";
    case UpkeepAnswer::kFenced:
      return "fenced";
    case UpkeepAnswer::kBusy:
      return "busy";
    case UpkeepAnswer::kOtherWave:
      return "other-wave";
    case UpkeepAnswer::kUnknownMachine:
      return "unknown-machine";
    case UpkeepAnswer::kTooManyCalls:
      return "too-many-calls";
    case UpkeepAnswer::kUnreachable:
      return "unreachable";
    case UpkeepAnswer::kUnanswered:
      return "unanswered";
  }
  return "unanswered";
}

}  // namespace zinniacart
