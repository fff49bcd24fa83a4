#include "turmericdyke/src/Node/Submissions.h"

#include <utility>

namespace turmericdyke {

namespace internal {
namespace {

/// A leader that is alive answers within a few heartbeats of 100 ms.
constexpr absl::Duration ResendInterval = absl::Seconds(1);
constexpr absl::Duration RefusedInterval = absl::Milliseconds(50);

} // namespace
} // namespace internal

Submissions::Submissions(NodeId Node, std::uint64_t Incarnation)
    : m_node(std::move(Node)), m_incarnation(Incarnation) {}

std::uint64_t Submissions::submit(Instant Now, std::string Command,
                                  absl::Duration Timeout) {
  std::uint64_t Ticket = m_nextTicket++;
  m_waiting[Ticket] = {std::move(Command), Now + Timeout, Now, false};
  return Ticket;
}

std::vector<Envelope> Submissions::due(Instant Now) {
  std::vector<Envelope> Due;
  for (auto &[Ticket, Entry] : m_waiting) {
    if (Now < Entry.m_nextTry)
      continue;
    Entry.m_nextTry = Now + internal::ResendInterval;
    Entry.m_handedOver = true;
    Due.push_back({m_node, m_incarnation, Ticket, Entry.m_command});
  }
  return Due;
}

void Submissions::refused(Instant Now, const std::vector<Envelope> &Envelopes) {
  for (const Envelope &Value : Envelopes) {
    auto Found = m_waiting.find(Value.m_ticket);
    if (Found != m_waiting.end())
      Found->second.m_nextTry = Now + internal::RefusedInterval;
  }
}

bool Submissions::applied(const Envelope &Value, std::uint64_t Index,
                          const CommandResult &Result) {
  if (Value.m_origin != m_node || Value.m_incarnation != m_incarnation)
    return false;
  if (m_waiting.erase(Value.m_ticket) == 0)
    return false;
  m_completions.push_back(
      {Value.m_ticket, SubmitStatus::Committed, Result, Index});
  return true;
}

void Submissions::expire(Instant Now) {
  for (auto Entry = m_waiting.begin(); Entry != m_waiting.end();) {
    if (Now < Entry->second.m_deadline) {
      ++Entry;
      continue;
    }
    SubmitStatus Status = Entry->second.m_handedOver ? SubmitStatus::Unknown
                                                     : SubmitStatus::NotRun;
    m_completions.push_back({Entry->first, Status, CommandApplied(), 0});
    Entry = m_waiting.erase(Entry);
  }
}

std::vector<Completion> Submissions::takeCompletions() {
  return std::exchange(m_completions, {});
}

} // namespace turmericdyke
