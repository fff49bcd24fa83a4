#pragma once

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

class ControlState;
struct MarkSuspects;

/// How a server leaves: it drains and still finishes its requests, or it has
/// withdrawn and nothing it announces counts any more.
enum class Departure { Draining, Withdrawn };

/// One life of a server, from its start to its end.
struct ServerIncarnation {
  TargetId m_id;
  /// When the server started, in Unix milliseconds.
  std::int64_t m_startMillis = 0;
};

/// Whether this incarnation of the server, or a later one, has withdrawn. It
/// must get no requests, whatever it announces.
bool isWithdrawn(const ControlState &State, const ServerIncarnation &Server);

/// Whether this incarnation of the server, or a later one, has announced that
/// it drains. It must get no new requests, but runs until it ends.
bool isDraining(const ControlState &State, const ServerIncarnation &Server);

/// Whether any incarnation of the server has withdrawn.
bool wasWithdrawn(const ControlState &State, const TargetId &Id);

/// The servers whose departure was recorded within `Age` of log time.
/// Identifiers of more than 26 bytes are not in the records, so their servers
/// are left out.
std::vector<ServerIncarnation> recentDepartures(const ControlState &State,
                                                absl::Duration Age);

/// The command that records departures in the replicated state, for all leaders
/// to come and after restarts. The record expires after an hour of log time;
/// announcements are late by seconds at most.
///
/// It uses the marks of suspect requests, under customer names that no customer
/// has. Earlier versions apply and store these too, so the states of all
/// versions stay equal while they run side by side.
MarkSuspects departureCommand(Departure Kind,
                              absl::Span<const ServerIncarnation> Servers);

} // namespace turmericdyke
