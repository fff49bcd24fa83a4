#include "turmericdyke/src/Serving/CarryDecision.h"

namespace turmericdyke {

std::string_view nameOf(CarryDecision Value) {
  constexpr std::string_view Names[] = {"carry", "stopping", "cut_off",
                                        "outdated", "full"};
  return Names[static_cast<std::size_t>(Value)];
}

CarryDecision decideCarry(const CarryLoad &Load, const CarryOptions &Options) {
  if (Load.m_stopping)
    return CarryDecision::Stopping;
  if (Load.m_cutOff)
    return CarryDecision::CutOff;
  if (Load.m_outdated)
    return CarryDecision::Outdated;
  double MaxConnections =
      static_cast<double>(Load.m_maxConnections) * Options.m_maxConnectionShare;
  bool Full = Load.m_carried >= Options.m_maxCarried ||
              static_cast<double>(Load.m_connections) >= MaxConnections ||
              Load.m_busyFraction > Options.m_maxBusyFraction;
  return Full ? CarryDecision::Full : CarryDecision::Carry;
}

} // namespace turmericdyke
