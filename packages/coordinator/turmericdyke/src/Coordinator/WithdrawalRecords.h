#pragma once

#include <cstdint>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

class ControlState;
struct MarkSuspects;

/// One life of a server, from its start to its end.
struct ServerIncarnation {
  TargetId m_id;
  /// When the server started, in Unix milliseconds.
  std::int64_t m_startMillis = 0;
};

/// Whether this incarnation of the server, or a later one, has withdrawn. It
/// must get no requests, whatever it announces.
bool isWithdrawn(const ControlState &State, const ServerIncarnation &Server);

/// Whether any incarnation of the server has withdrawn.
bool wasWithdrawn(const ControlState &State, const TargetId &Id);

/// The command that records withdrawals in the replicated state, for all
/// leaders to come and after restarts. The record expires after an hour of log
/// time; announcements are late by seconds at most.
///
/// It uses the marks of suspect requests, under a customer name that no
/// customer has. Versions without withdrawals apply and store these too, so the
/// states of all versions stay equal while they run side by side.
MarkSuspects withdrawalCommand(absl::Span<const ServerIncarnation> Servers);

} // namespace turmericdyke
