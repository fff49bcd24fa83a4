#include "turmericdyke/src/Base/Instant.h"

#include <chrono>

namespace turmericdyke {

Instant monotonicNow() {
  return absl::UnixEpoch() +
         absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace turmericdyke
