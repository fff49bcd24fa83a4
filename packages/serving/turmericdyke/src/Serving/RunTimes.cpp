#include "turmericdyke/src/Serving/RunTimes.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Part of the mean that one request replaces.
constexpr double NewestPart = 1.0 / 16;

} // namespace
} // namespace internal

void RunTimes::ended(const ServiceId &Service, std::string_view Model,
                     absl::Duration Run) {
  auto [At, New] = m_means.try_emplace({Service, std::string(Model)}, Run);
  if (!New)
    At->second += (Run - At->second) * internal::NewestPart;
}

absl::Duration RunTimes::mean(const ServiceId &Service,
                              std::string_view Model) const {
  auto Found = m_means.find({Service, std::string(Model)});
  return Found == m_means.end() ? absl::ZeroDuration() : Found->second;
}

} // namespace turmericdyke
