#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Consensus/RaftState.h"
#include "turmericdyke/src/Control/CommandResult.h"
#include "turmericdyke/src/Edge/ControlPort.h"
#include "turmericdyke/src/Node/Envelope.h"

namespace turmericdyke {

/// The outcome of a submitted command.
struct Completion {
  std::uint64_t m_ticket = 0;
  SubmitStatus m_status = SubmitStatus::NotRun;
  CommandResult m_result;
  std::uint64_t m_index = 0;
};

/// Commands that this node has submitted and that are not yet applied. A
/// command is sent to the current leader again if no result arrives. Commands
/// carry identifiers that make applying them idempotent, and only the first
/// application completes the ticket.
///
/// Commands of one term are proposed once, by this node as the leader of that
/// term, and are never sent to another leader. So the log has them in the order
/// in which they were submitted, and none can follow a command that a later
/// leader has accepted.
class PendingCommands {
public:
  PendingCommands(NodeId Node, std::uint64_t Incarnation);

  /// Adds an encoded command and returns its ticket.
  std::uint64_t submit(Instant Now, std::string Command,
                       absl::Duration Timeout);
  /// The same for a command that only the leader of this term may propose.
  std::uint64_t submitInTerm(Instant Now, std::string Command,
                             absl::Duration Timeout, Term LedTerm);
  /// Completes the commands of terms that this node does not lead: their
  /// outcome is unknown once they were proposed.
  void leadsTerm(std::optional<Term> LedTerm);
  /// Returns the commands to send to the leader now.
  std::vector<Envelope> due(Instant Now);
  /// Called when the leader rejected these commands; they become due again
  /// soon. Those of one term have not run.
  void refused(Instant Now, const std::vector<Envelope> &Envelopes);
  /// Called when a command was applied. Returns whether it completed a ticket
  /// of this node.
  bool applied(const Envelope &Value, std::uint64_t Index,
               const CommandResult &Result);
  /// Completes the commands whose deadline has passed.
  void expire(Instant Now);

  std::vector<Completion> takeCompletions();
  std::size_t waiting() const { return m_pending.size(); }

private:
  struct Pending {
    std::string m_command;
    Instant m_deadline;
    Instant m_nextTry;
    bool m_sent = false;
    /// Only the leader of this term may propose the command.
    std::optional<Term> m_term = std::nullopt;
  };
  using Entries = std::map<std::uint64_t, Pending>;

  /// Completes a command without a result and returns the next one.
  Entries::iterator complete(Entries::iterator Entry, SubmitStatus Status);

  NodeId m_node;
  std::uint64_t m_incarnation;
  std::uint64_t m_nextTicket = 1;
  Entries m_pending;
  std::vector<Completion> m_completions;
};

} // namespace turmericdyke
