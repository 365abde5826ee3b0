#include "base/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace zinniacart {

void CheckInvariant(bool holds, const char* message) {
  if (holds) {
    return;
  }
  std::fprintf(stderr, "{\"level\":\"fatal\",\"invariant\":\"%s\"}\n", message);
  std::abort();
}

}  // namespace zinniacart
