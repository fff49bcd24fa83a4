#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Control/CommandResult.h"
#include "turmericdyke/src/Edge/ControlPort.h"
#include "turmericdyke/src/Node/Envelope.h"

namespace turmericdyke {

/// The end of a submitted command.
struct Completion {
  std::uint64_t m_ticket = 0;
  SubmitStatus m_status = SubmitStatus::NotRun;
  CommandResult m_result;
  std::uint64_t m_index = 0;
};

/// Commands of this node on their way into the log. A command is handed to the
/// leader again when no result comes, also to another leader: commands carry
/// identifiers that make a second application harmless, and only the first one
/// completes the ticket.
class Submissions {
public:
  Submissions(NodeId Node, std::uint64_t Incarnation);

  /// Takes an encoded command and returns its ticket.
  std::uint64_t submit(Instant Now, std::string Command,
                       absl::Duration Timeout);
  /// The commands to hand to the leader now.
  std::vector<Envelope> due(Instant Now);
  /// The leader did not take these commands; they are due again soon.
  void refused(Instant Now, const std::vector<Envelope> &Envelopes);
  /// An entry was applied. Returns whether it completed a ticket of this node.
  bool applied(const Envelope &Value, std::uint64_t Index,
               const CommandResult &Result);
  /// Ends the commands whose time is over.
  void expire(Instant Now);

  std::vector<Completion> takeCompletions();
  std::size_t waiting() const { return m_waiting.size(); }

private:
  struct Waiting {
    std::string m_command;
    Instant m_deadline;
    Instant m_nextTry;
    bool m_handedOver = false;
  };

  NodeId m_node;
  std::uint64_t m_incarnation;
  std::uint64_t m_nextTicket = 1;
  std::map<std::uint64_t, Waiting> m_waiting;
  std::vector<Completion> m_completions;
};

} // namespace turmericdyke
