#include "turmericdyke/src/Serving/RunTimes.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Weight of the newest request in the moving average.
constexpr double NewestWeight = 1.0 / 16;

} // namespace
} // namespace internal

void RunTimes::recordRun(const ServiceId &Service, std::string_view Model,
                         absl::Duration RunTime) {
  auto [At, New] = m_means.try_emplace({Service, std::string(Model)}, RunTime);
  if (!New)
    At->second += (RunTime - At->second) * internal::NewestWeight;
}

absl::Duration RunTimes::mean(const ServiceId &Service,
                              std::string_view Model) const {
  auto Found = m_means.find({Service, std::string(Model)});
  return Found == m_means.end() ? absl::ZeroDuration() : Found->second;
}

} // namespace turmericdyke
