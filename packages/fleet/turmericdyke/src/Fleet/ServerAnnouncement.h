#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Fleet/FleetError.h"

namespace turmericdyke {

/// Maximum length of a name in messages between nodes.
constexpr std::size_t MaxNameBytes = 256;
/// Largest whole number that every JSON reader keeps exact.
constexpr std::uint64_t MaxExactInteger = (std::uint64_t{1} << 53) - 1;

/// State of a group member, as reported by the server itself.
enum class MemberState {
  /// Is loading its part of the model.
  Joining,
  /// Has loaded its part; the group is not open.
  Ready,
  /// Head only: accepts requests.
  Open,
  /// Head only: finishes its current requests and accepts no new ones.
  Closing,
  /// Head only: has failed because a member was lost.
  Broken
};

std::string_view nameOf(MemberState State);

/// The group that a server reports to be a member of. Name and epoch together
/// identify one formation of the group; rank 0 is the head.
struct GroupMembership {
  /// Maximum number of members of a group. The planner reserves memory up to
  /// the highest rank that it is told.
  static constexpr std::size_t MaxMembers = 1024;

  std::string m_group;
  std::uint64_t m_epoch = 0;
  std::int64_t m_rank = 0;
  MemberState m_state = MemberState::Joining;

  bool isOf(std::string_view Group, std::uint64_t Epoch) const {
    return m_group == Group && m_epoch == Epoch;
  }
  friend bool operator==(const GroupMembership &,
                         const GroupMembership &) = default;
};

/// A server's answer to a query for its state.
struct ServerReport {
  /// Maximum age of a report; the platform specifies a few hundred
  /// milliseconds.
  static constexpr absl::Duration MaxReportAge = absl::Milliseconds(500);

  std::int64_t m_startMillis = 0;
  std::vector<std::string> m_stagedModels;
  std::string m_model;
  std::optional<GroupMembership> m_group;
};

/// The state that a server announces periodically and after each change.
struct ServerAnnouncement {
  static constexpr std::int64_t MaxSlots = 1 << 20;
  static constexpr std::size_t MaxStagedModels = 256;
  /// A server warms up within seconds; a longer time is a mistake.
  static constexpr absl::Duration MaxColdTime = absl::Hours(1);
  /// Two deadlines that differ by less are the same statement, made at another
  /// time and with another delay.
  static constexpr absl::Duration ColdTolerance = absl::Milliseconds(500);

  TargetId m_id;
  ServiceId m_service;
  /// IP:port for requests and orders.
  std::string m_address;
  FailureDomainId m_failureDomain;
  FabricDomainId m_fabricDomain;
  std::int64_t m_slots = 1;
  /// About to leave: accepts no new requests.
  bool m_draining = false;
  /// When this instance of the server started, in Unix milliseconds. A
  /// restarted server may reuse its identifier.
  std::int64_t m_startMillis = 0;
  /// Increases with each announcement of one instance of the server.
  std::uint64_t m_sequence = 0;
  /// Models whose weights are stored on its host.
  std::vector<std::string> m_stagedModels;
  /// The model that it has loaded for its group.
  std::string m_model;
  std::optional<GroupMembership> m_group;
  /// Until when the server stays cold, on the clock of this process; in the
  /// infinite past if it states that it is warm, nothing if it is not known.
  std::optional<Instant> m_coldUntil = std::nullopt;
};

/// Whether a later announcement of a server states what is known, apart from
/// the sequence number. The time that a cold server has left is no change while
/// it shrinks. A missing statement of it is none, and an unknown server that is
/// warm is taken as known: a leader of an earlier version knows of no cold
/// servers, and would otherwise be sent every announcement in full.
bool sameContent(const ServerAnnouncement &Known,
                 const ServerAnnouncement &Later);

/// Checks the range of each value: names, numbers, and an address that can be
/// connected to. Returns what is wrong, or nullopt. Servers are written by
/// others, so both the formats of the platform and the messages between nodes
/// are checked.
std::optional<FleetError> validateAnnouncement(const ServerAnnouncement &Value);
std::optional<FleetError> validateReport(const ServerReport &Value);

} // namespace turmericdyke
