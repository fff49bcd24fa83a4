#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/functional/function_ref.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Groups/ModelBalance.h"

namespace turmericdyke {

struct EngineCosts;
struct EngineModel;
struct ServerRecord;

/// A group that serves, as a source of servers for another model.
struct MoveDonor {
  std::uint64_t m_epoch = 0;
  const EngineModel *m_model = nullptr;
  std::vector<const ServerRecord *> m_members;
};

/// A fabric domain where no group is being replaced.
struct MoveDomain {
  FabricDomainId m_id;
  std::vector<MoveDonor> m_groups;
  /// Servers in no group.
  std::vector<const ServerRecord *> m_free;
};

struct MoveInput {
  const EngineCosts *m_engine = nullptr;
  /// Servers of each model by the shares in force, and by the newest
  /// measurement. A move must improve both.
  ModelBalance m_balance;
  ModelBalance m_measured;
  /// Servers that a model keeps for its own need.
  std::map<std::string, double> m_kept = {};
  std::vector<MoveDomain> m_domains = {};
  /// Servers that may come under change now.
  std::size_t m_changeLimit = 0;
};

/// Groups of one fabric domain give way to groups of a model that needs their
/// servers.
struct GroupMove {
  FabricDomainId m_domain;
  std::vector<std::uint64_t> m_closed;
  const EngineModel *m_model = nullptr;
  /// Groups of the model that replace the closed ones.
  std::size_t m_groups = 0;
  /// Servers that can become their members, free ones first, and how many of
  /// them must hold the weights.
  std::vector<const ServerRecord *> m_candidates;
  std::size_t m_members = 0;
  /// They do, and the groups may be closed now.
  bool m_ready = false;
};

/// Chooses the moves that bring the servers of each model closer to its share,
/// at most one in each fabric domain, those that leave the fewest servers idle
/// and need the fewest loads first. A move raises the lesser supply of its two
/// models; the donor keeps what it needs itself, and one group. `WillHold`
/// tells whether a server holds the weights of a model or is fetching them.
std::vector<GroupMove>
chooseMoves(const MoveInput &Input,
            absl::FunctionRef<bool(const ServerRecord &, const EngineModel &)>
                WillHold);

} // namespace turmericdyke
