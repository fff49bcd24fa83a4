#include "turmericdyke/src/Routing/StragglerTracker.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace turmericdyke {

namespace {

/// Minimum interval between weight updates, because computing the median reads
/// every replica of the pool.
constexpr absl::Duration UpdateInterval = absl::Milliseconds(50);
/// With fewer measured replicas the median does not show which one is slow.
constexpr std::size_t MinReplicas = 3;
/// Weight in the moving average of an observation made at least one probe
/// interval after the previous one. Probes are rare, so each counts more.
constexpr double ProbeSmoothing = 0.5;

} // namespace

StragglerTracker::StragglerTracker(StragglerOptions Options)
    : m_options(Options) {
  assert(Options.m_probeOnlySpeed < Options.m_fullSpeed &&
         "the probe-only speed must be below the normal speed");
}

void StragglerTracker::observe(Instant Now, const ReplicaId &Id,
                               double SecondsPerToken) {
  assert(SecondsPerToken > 0 && "an observation covers at least one token");
  Replica &R = m_replicas[Id];
  bool IsRare = Now - R.m_lastObserved >= m_options.m_probeInterval;
  double Smoothing = R.m_samples == 0 ? 1
                     : IsRare         ? ProbeSmoothing
                                      : m_options.m_smoothing;
  R.m_secondsPerToken += Smoothing * (SecondsPerToken - R.m_secondsPerToken);
  ++R.m_samples;
  R.m_lastObserved = Now;
  if (Now < m_nextUpdate)
    return;
  m_nextUpdate = Now + UpdateInterval;
  updateWeights();
}

void StragglerTracker::probeStarted(Instant Now, const ReplicaId &Id) {
  auto Found = m_replicas.find(Id);
  if (Found != m_replicas.end())
    Found->second.m_lastProbe = Now;
}

void StragglerTracker::forget(const ReplicaId &Id) { m_replicas.erase(Id); }

double StragglerTracker::weight(const ReplicaId &Id) const {
  auto Found = m_replicas.find(Id);
  return Found == m_replicas.end() ? 1 : Found->second.m_weight;
}

bool StragglerTracker::probeDue(Instant Now, const ReplicaId &Id) const {
  auto Found = m_replicas.find(Id);
  if (Found == m_replicas.end() || Found->second.m_weight >= 1)
    return false;
  const Replica &R = Found->second;
  Instant Last = std::max(R.m_lastObserved, R.m_lastProbe);
  return Now - Last >= m_options.m_probeInterval;
}

void StragglerTracker::updateWeights() {
  std::vector<double> Times;
  for (const auto &[Id, R] : m_replicas)
    if (R.m_samples >= m_options.m_minSamples)
      Times.push_back(R.m_secondsPerToken);
  if (Times.size() < MinReplicas)
    return;
  auto Middle = Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::nth_element(Times.begin(), Middle, Times.end());
  for (auto &[Id, R] : m_replicas) {
    if (R.m_samples < m_options.m_minSamples)
      continue;
    double Speed = *Middle / R.m_secondsPerToken;
    R.m_weight = Speed >= m_options.m_fullSpeed        ? 1
                 : Speed >= m_options.m_probeOnlySpeed ? Speed
                                                       : 0;
  }
}

} // namespace turmericdyke
