#include "turmericdyke/src/Routing/LoadTracker.h"

#include <algorithm>
#include <cassert>

namespace turmericdyke {

namespace {

/// Changes kept per replica. At 40 changes per second on one replica this
/// covers more than 2.5 s, the report age at which a target gets no new
/// requests.
constexpr std::size_t MaxHistoryLength = 128;

} // namespace

void LoadTracker::started(Instant Now, const AttemptId &Id,
                          const ReplicaId &ReplicaOf, RequestClass Class) {
  bool IsNew = m_attempts.try_emplace(Id, Attempt{ReplicaOf, Class}).second;
  if (!IsNew)
    return;
  Replica &R = m_replicas[ReplicaOf];
  R.m_forgotten = false;
  updateCounts(Now, R, Class, 1);
}

void LoadTracker::reclassified(Instant Now, const AttemptId &Id,
                               RequestClass Class) {
  auto Found = m_attempts.find(Id);
  if (Found == m_attempts.end() || Found->second.m_class == Class)
    return;
  Replica &R = m_replicas[Found->second.m_replica];
  updateCounts(Now, R, Found->second.m_class, -1);
  updateCounts(Now, R, Class, 1);
  Found->second.m_class = Class;
}

void LoadTracker::finished(Instant Now, const AttemptId &Id) {
  auto Found = m_attempts.find(Id);
  if (Found == m_attempts.end())
    return;
  Attempt EndedAttempt = std::move(Found->second);
  m_attempts.erase(Found);
  auto R = m_replicas.find(EndedAttempt.m_replica);
  assert(R != m_replicas.end() && "a replica must outlive its attempts");
  updateCounts(Now, R->second, EndedAttempt.m_class, -1);
  const Counts &Own = R->second.m_own;
  if (R->second.m_forgotten && Own.m_short + Own.m_long == 0)
    m_replicas.erase(R);
}

void LoadTracker::reported(Instant Now, const ReplicaId &Id,
                           const TargetLoad &Load, absl::Duration Age) {
  Replica &R = m_replicas[Id];
  Instant Taken = Now - std::max(Age, absl::ZeroDuration());
  if (R.m_hasReport && Taken < R.m_reportTaken)
    return;
  R.m_hasReport = true;
  R.m_forgotten = false;
  R.m_reportTaken = Taken;
  Counts Own = ownCountsAt(R, Taken);
  std::int64_t Long = Load.m_runningLong;
  std::int64_t Short = Load.m_running + Load.m_waiting - Long;
  R.m_others.m_long = std::max<std::int64_t>(0, Long - Own.m_long);
  R.m_others.m_short = std::max<std::int64_t>(0, Short - Own.m_short);
}

void LoadTracker::forget(const ReplicaId &Id) {
  auto Found = m_replicas.find(Id);
  if (Found == m_replicas.end())
    return;
  Replica &R = Found->second;
  R.m_hasReport = false;
  R.m_others = {};
  R.m_forgotten = true;
  if (R.m_own.m_short + R.m_own.m_long == 0)
    m_replicas.erase(Found);
}

ReplicaLoad LoadTracker::load(Instant Now, const ReplicaId &Id) const {
  ReplicaLoad Load;
  auto Found = m_replicas.find(Id);
  if (Found == m_replicas.end())
    return Load;
  const Replica &R = Found->second;
  Load.m_outstandingShort = R.m_own.m_short;
  Load.m_outstandingLong = R.m_own.m_long;
  if (!R.m_hasReport)
    return Load;
  Load.m_othersShort = R.m_others.m_short;
  Load.m_othersLong = R.m_others.m_long;
  Load.m_reportAge = std::max(Now - R.m_reportTaken, absl::ZeroDuration());
  return Load;
}

void LoadTracker::updateCounts(Instant Now, Replica &R, RequestClass Class,
                               int By) {
  std::int64_t &Count =
      Class == RequestClass::Long ? R.m_own.m_long : R.m_own.m_short;
  Count += By;
  assert(Count >= 0 && "an attempt was finished twice");
  R.m_history.push_back({Now, R.m_own});
  if (R.m_history.size() > MaxHistoryLength)
    R.m_history.pop_front();
}

LoadTracker::Counts LoadTracker::ownCountsAt(const Replica &R, Instant Time) {
  auto After = std::upper_bound(
      R.m_history.begin(), R.m_history.end(), Time,
      [](Instant T, const CountsSample &Entry) { return T < Entry.m_time; });
  if (After != R.m_history.begin())
    return std::prev(After)->m_counts;
  // Before the first change the counts were 0, unless older entries were
  // dropped.
  bool Dropped = R.m_history.size() == MaxHistoryLength;
  return Dropped ? R.m_history.front().m_counts : Counts{};
}

} // namespace turmericdyke
