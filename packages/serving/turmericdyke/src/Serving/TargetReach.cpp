#include "turmericdyke/src/Serving/TargetReach.h"

#include <algorithm>

#include "absl/random/distributions.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Probes that follow each failed connection while there is a suspicion.
constexpr std::size_t ProbesPerFailure = 2;

/// Moves a random selection of at most `Count` targets to the front and drops
/// the rest.
void keepRandom(std::vector<TargetId> &Targets, std::size_t Count,
                absl::BitGenRef Random) {
  Count = std::min(Count, Targets.size());
  for (std::size_t At = 0; At < Count; ++At)
    std::swap(Targets[At],
              Targets[absl::Uniform<std::size_t>(Random, At, Targets.size())]);
  Targets.resize(Count);
}

} // namespace
} // namespace internal

TargetReach::TargetReach(TargetReachOptions Options) : m_options(Options) {}

void TargetReach::forgetOldFailures(Instant Now, ServiceState &State) const {
  std::erase_if(State.m_failed, [&](const auto &Failure) {
    return Now - Failure.second >= m_options.m_failureAge;
  });
}

TargetReach::Change TargetReach::connectFailed(Instant Now,
                                               const ServiceId &Service,
                                               const TargetId &Target,
                                               std::size_t Listed) {
  ServiceState &State = m_services[Service];
  State.m_working = 0;
  forgetOldFailures(Now, State);
  State.m_failed[Target] = Now;
  std::size_t Needed = std::min(m_options.m_failedTargets, Listed);
  if (State.m_cutOff || Needed == 0 || State.m_failed.size() < Needed)
    return Change::None;
  State.m_cutOff = true;
  return Change::CutOff;
}

TargetReach::Change TargetReach::connected(const ServiceId &Service) {
  auto Found = m_services.find(Service);
  if (Found == m_services.end())
    return Change::None;
  ServiceState &State = Found->second;
  State.m_failed.clear();
  if (!State.m_cutOff || ++State.m_working < m_options.m_connectionsToReturn)
    return Change::None;
  State.m_cutOff = false;
  return Change::Regained;
}

bool TargetReach::isCutOff(const ServiceId &Service) const {
  auto Found = m_services.find(Service);
  return Found != m_services.end() && Found->second.m_cutOff;
}

bool TargetReach::isSuspected(const ServiceId &Service) const {
  auto Found = m_services.find(Service);
  return Found != m_services.end() && !Found->second.m_failed.empty();
}

bool TargetReach::isCutOffFromAll(absl::Span<const ServiceId> Services) const {
  return !Services.empty() && std::all_of(Services.begin(), Services.end(),
                                          [this](const ServiceId &Service) {
                                            return isCutOff(Service);
                                          });
}

std::vector<ServiceId> TargetReach::servicesToProbe(Instant Now) const {
  std::vector<ServiceId> Services;
  for (const auto &[Service, State] : m_services) {
    absl::Duration Interval = State.m_cutOff ? m_options.m_probeInterval
                                             : m_options.m_suspicionInterval;
    if (Now - State.m_probed >= Interval &&
        (State.m_cutOff || !State.m_failed.empty()))
      Services.push_back(Service);
  }
  return Services;
}

std::vector<TargetId> TargetReach::takeProbes(Instant Now,
                                              const ServiceId &Service,
                                              absl::Span<const TargetId> Listed,
                                              absl::BitGenRef Random) {
  ServiceState &State = m_services[Service];
  State.m_probed = Now;
  forgetOldFailures(Now, State);
  std::vector<TargetId> Chosen(Listed.begin(), Listed.end());
  if (State.m_cutOff) {
    internal::keepRandom(Chosen, 1, Random);
    return Chosen;
  }
  std::size_t Needed = std::min(m_options.m_failedTargets, Listed.size());
  std::size_t Failed = State.m_failed.size();
  std::erase_if(Chosen, [&](const TargetId &Target) {
    return State.m_failed.count(Target) > 0;
  });
  internal::keepRandom(
      Chosen,
      Failed < Needed
          ? std::min(Needed - Failed, internal::ProbesPerFailure * Failed)
          : 0,
      Random);
  return Chosen;
}

} // namespace turmericdyke
