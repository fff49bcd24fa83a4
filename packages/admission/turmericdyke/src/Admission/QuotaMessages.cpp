#include "turmericdyke/src/Admission/QuotaMessages.h"

#include <fmt/format.h>

namespace turmericdyke {

LimitId customerLimitId(const CustomerId &Customer) {
  return LimitId(fmt::format("customer/{}", Customer.str()));
}

LimitId poolLimitId(std::string_view Pool) {
  return LimitId(fmt::format("pool/{}", Pool));
}

std::int64_t quotaFloor(const QuotaOptions &Options, std::int64_t Limit) {
  if (Options.m_maxNodes <= 0)
    return 0;
  double Part = Options.m_floorShare / static_cast<double>(Options.m_maxNodes);
  return static_cast<std::int64_t>(static_cast<double>(Limit) * Part);
}

} // namespace turmericdyke
