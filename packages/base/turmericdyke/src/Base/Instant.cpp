#include "turmericdyke/src/Base/Instant.h"

#include <ctime>

namespace turmericdyke {

Instant monotonicNow() {
  timespec Reading{};
  clock_gettime(CLOCK_BOOTTIME, &Reading);
  return absl::TimeFromTimespec(Reading);
}

} // namespace turmericdyke
