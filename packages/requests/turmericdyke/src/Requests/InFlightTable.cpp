#include "turmericdyke/src/Requests/InFlightTable.h"

#include <cassert>
#include <utility>

namespace turmericdyke {

void InFlightTable::start(const ReplicaId &Replica, std::uint64_t Generation,
                          const InFlightAttempt &Attempt) {
  bool Added = m_running[{Replica, Generation}]
                   .emplace(Attempt.m_attempt, Attempt)
                   .second;
  assert(Added && "an attempt starts once");
  (void)Added;
}

void InFlightTable::finish(const ReplicaId &Replica, std::uint64_t Generation,
                           const AttemptId &Attempt) {
  auto Found = m_running.find({Replica, Generation});
  if (Found == m_running.end())
    return;
  Found->second.erase(Attempt);
  if (Found->second.empty())
    m_running.erase(Found);
}

std::vector<InFlightAttempt> InFlightTable::takeAll(const ReplicaId &Replica,
                                                    std::uint64_t Generation) {
  std::vector<InFlightAttempt> Taken;
  auto Found = m_running.find({Replica, Generation});
  if (Found == m_running.end())
    return Taken;
  for (auto &[Id, Attempt] : Found->second)
    Taken.push_back(std::move(Attempt));
  m_running.erase(Found);
  return Taken;
}

std::size_t InFlightTable::count(const ReplicaId &Replica,
                                 std::uint64_t Generation) const {
  auto Found = m_running.find({Replica, Generation});
  return Found == m_running.end() ? 0 : Found->second.size();
}

} // namespace turmericdyke
