#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "turmericdyke/src/Admission/QuotaAllocator.h"
#include "turmericdyke/src/Admission/QuotaClient.h"
#include "turmericdyke/src/Declaration/Declaration.h"
#include "turmericdyke/src/Node/CoreMessage.h"

namespace turmericdyke {

/// This node's current share of each limit.
struct QuotaShares {
  /// Slots by pool.
  std::map<std::string, std::int64_t> m_slots;
  std::map<CustomerId, CustomerShare> m_customers;
};

/// Input of a quota step.
struct QuotaInput {
  const Declaration *m_declaration = nullptr;
  /// Slots of the serving replicas, by pool.
  std::map<std::string, std::int64_t> m_slots;
  /// Running plus queued requests of each customer on this node.
  std::map<CustomerId, std::int64_t> m_demand;
  NodeId m_leader;
  bool m_leads = false;
};

/// Divides slots and customers' limits between the nodes. Each node requests
/// its share from the leader every 200 ms and falls back to a fixed minimum if
/// it gets no answer. A state machine without I/O.
class QuotaManager {
public:
  /// `Nodes` is the number of nodes in the cluster; a single node needs no
  /// leases.
  QuotaManager(NodeId Node, std::uint64_t Incarnation, std::size_t Nodes);

  void receive(Instant Now, const QuotaRequest &Request,
               std::vector<AddressedMessage> &Replies);
  void receive(Instant Now, const QuotaGrant &Grant);
  std::vector<AddressedMessage> step(Instant Now, const QuotaInput &Input);
  QuotaShares shares(Instant Now, const QuotaInput &Input) const;

private:
  std::vector<QuotaDemand> demands(const QuotaInput &Input) const;
  void updateAllocator(Instant Now, const QuotaInput &Input);

  NodeId m_node;
  std::size_t m_nodes;
  QuotaOptions m_options;
  QuotaClient m_holder;
  std::optional<QuotaAllocator> m_allocator;
  Instant m_nextRequest = absl::InfinitePast();
};

} // namespace turmericdyke
