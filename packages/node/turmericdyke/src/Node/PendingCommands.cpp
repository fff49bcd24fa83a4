#include "turmericdyke/src/Node/PendingCommands.h"

#include <utility>

namespace turmericdyke {

namespace internal {
namespace {

/// A live leader answers within a few heartbeat intervals of 100 ms.
constexpr absl::Duration ResendInterval = absl::Seconds(1);
constexpr absl::Duration RejectedRetryInterval = absl::Milliseconds(50);

} // namespace
} // namespace internal

PendingCommands::PendingCommands(NodeId Node, std::uint64_t Incarnation)
    : m_node(std::move(Node)), m_incarnation(Incarnation) {}

std::uint64_t PendingCommands::submit(Instant Now, std::string Command,
                                      absl::Duration Timeout) {
  std::uint64_t Ticket = m_nextTicket++;
  m_pending[Ticket] = {std::move(Command), Now + Timeout, Now, false};
  return Ticket;
}

std::uint64_t PendingCommands::submitInTerm(Instant Now, std::string Command,
                                            absl::Duration Timeout,
                                            Term LedTerm) {
  std::uint64_t Ticket = submit(Now, std::move(Command), Timeout);
  m_pending.at(Ticket).m_term = LedTerm;
  return Ticket;
}

PendingCommands::Entries::iterator
PendingCommands::complete(Entries::iterator Entry, SubmitStatus Status) {
  m_completions.push_back({Entry->first, Status, CommandApplied(), 0});
  return m_pending.erase(Entry);
}

void PendingCommands::leadsTerm(std::optional<Term> LedTerm) {
  for (auto Entry = m_pending.begin(); Entry != m_pending.end();) {
    if (!Entry->second.m_term || Entry->second.m_term == LedTerm)
      ++Entry;
    else
      Entry = complete(Entry, Entry->second.m_sent ? SubmitStatus::Unknown
                                                   : SubmitStatus::NotRun);
  }
}

std::vector<Envelope> PendingCommands::due(Instant Now) {
  std::vector<Envelope> Due;
  for (auto &[Ticket, Entry] : m_pending) {
    if (Now < Entry.m_nextTry)
      continue;
    Entry.m_nextTry =
        Entry.m_term ? absl::InfiniteFuture() : Now + internal::ResendInterval;
    Entry.m_sent = true;
    Due.push_back({m_node, m_incarnation, Ticket, Entry.m_command});
  }
  return Due;
}

void PendingCommands::refused(Instant Now,
                              const std::vector<Envelope> &Envelopes) {
  for (const Envelope &Value : Envelopes) {
    auto Found = m_pending.find(Value.m_ticket);
    if (Found == m_pending.end())
      continue;
    // By the time of a retry, a newer command may have been accepted.
    if (Found->second.m_term)
      complete(Found, SubmitStatus::NotRun);
    else
      Found->second.m_nextTry = Now + internal::RejectedRetryInterval;
  }
}

bool PendingCommands::applied(const Envelope &Value, std::uint64_t Index,
                              const CommandResult &Result) {
  if (Value.m_origin != m_node || Value.m_incarnation != m_incarnation)
    return false;
  if (m_pending.erase(Value.m_ticket) == 0)
    return false;
  m_completions.push_back(
      {Value.m_ticket, SubmitStatus::Committed, Result, Index});
  return true;
}

void PendingCommands::expire(Instant Now) {
  for (auto Entry = m_pending.begin(); Entry != m_pending.end();) {
    if (Now < Entry->second.m_deadline) {
      ++Entry;
      continue;
    }
    Entry = complete(Entry, Entry->second.m_sent ? SubmitStatus::Unknown
                                                 : SubmitStatus::NotRun);
  }
}

std::vector<Completion> PendingCommands::takeCompletions() {
  return std::exchange(m_completions, {});
}

} // namespace turmericdyke
