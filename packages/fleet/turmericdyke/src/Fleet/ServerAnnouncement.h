#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

/// What a member of a group does, as the server itself says.
enum class MemberState {
  /// Loads its part of the model.
  Joining,
  /// Has its part; the group is not open.
  Ready,
  /// Head only: takes requests.
  Open,
  /// Head only: finishes what it has.
  Closing,
  /// Head only: gave up because a member was lost.
  Broken
};

std::string_view nameOf(MemberState State);

/// The group that a server holds itself to be part of. Name and epoch together
/// name one formation of the group; rank 0 is the head.
struct GroupMembership {
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

/// What a server answers when it is asked for its state.
struct ServerReport {
  /// A report may be this old: the platform speaks of some hundred ms.
  static constexpr absl::Duration MostLag = absl::Milliseconds(500);

  std::int64_t m_bornMillis = 0;
  std::vector<std::string> m_stagedModels;
  std::string m_model;
  std::optional<GroupMembership> m_group;
};

/// What a server says of itself at intervals and after each change.
struct ServerAnnouncement {
  TargetId m_id;
  ServiceId m_service;
  /// IP:port for requests and orders.
  std::string m_address;
  FailureDomainId m_failureDomain;
  FabricDomainId m_fabricDomain;
  std::int64_t m_slots = 1;
  /// Leaves soon: takes no new work.
  bool m_draining = false;
  /// Start of this life of the server, Unix milliseconds. A server may come
  /// back under its old identifier.
  std::int64_t m_bornMillis = 0;
  /// Grows with each announcement of one life.
  std::uint64_t m_sequence = 0;
  /// Models whose weights are on its host.
  std::vector<std::string> m_stagedModels;
  /// The model that it holds for its group.
  std::string m_model;
  std::optional<GroupMembership> m_group;
};

} // namespace turmericdyke
