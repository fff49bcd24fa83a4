#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include <fmt/format.h>

#include "turmericdyke/Membership"

namespace turmericdyke {

/// Nodes with `NodeMembership` in virtual time, over a network with loss,
/// partitions and delays of 0.5 ms to 1.5 ms. Messages to a paused node wait
/// until it wakes, as they do in the buffers of its sockets.
class SwimSimulation {
public:
  struct Node {
    NodeId m_id;
    std::string m_address;
    std::uint64_t m_start = 0;
    std::unique_ptr<NodeMembership> m_membership;
    bool m_running = false;
    Instant m_pausedUntil = absl::InfinitePast();
    int m_side = 0;
    /// The clock of each node has its own epoch.
    absl::Duration m_epoch;
  };

  explicit SwimSimulation(std::size_t Count, unsigned Seed = 1)
      : m_random(Seed), m_nodes(Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      m_nodes[Index].m_id = NodeId(fmt::format("node-{:04}", Index));
      m_nodes[Index].m_address =
          fmt::format("10.0.{}.{}:7000", Index / 250, Index % 250);
      m_nodes[Index].m_epoch = absl::Hours(static_cast<int>(Index));
      start(Index);
      schedule(Index, absl::Microseconds(m_random() % 100'000), {});
    }
  }

  Node &node(std::size_t Index) { return m_nodes[Index]; }
  std::size_t size() const { return m_nodes.size(); }
  Instant now() const { return m_now; }
  void setLoss(double Loss) { m_loss = Loss; }

  void start(std::size_t Index) {
    Node &Of = m_nodes[Index];
    NodeMembershipOptions Options;
    Options.m_node = Of.m_id;
    Options.m_address = Of.m_address;
    Options.m_incarnation = ++Of.m_start * 1'000'000;
    for (std::size_t Seed = 0; Seed < std::min<std::size_t>(3, size()); ++Seed)
      Options.m_seeds.push_back(m_nodes[Seed].m_address);
    Of.m_membership = std::make_unique<NodeMembership>(Options, clockOf(Of));
    Of.m_running = true;
    Of.m_pausedUntil = absl::InfinitePast();
  }
  /// Makes all nodes known to each other, as after a long run.
  void introduceAll() {
    SwimMessage Table;
    Table.m_kind = SwimKind::SyncReply;
    for (const Node &Each : m_nodes)
      Table.m_updates.push_back({Each.m_id, Each.m_address,
                                 Each.m_membership->incarnation(),
                                 NodeState::Alive});
    for (std::size_t Index = 0; Index < size(); ++Index) {
      const Node &From = m_nodes[(Index + 1) % size()];
      Table.m_from = From.m_id;
      Table.m_address = From.m_address;
      Table.m_incarnation = From.m_membership->incarnation();
      Node &Of = m_nodes[Index];
      Of.m_membership->handle(clockOf(Of), Table, m_random);
      perform(Index);
    }
  }
  void crash(std::size_t Index) { m_nodes[Index].m_running = false; }
  void pause(std::size_t Index, absl::Duration For) {
    m_nodes[Index].m_pausedUntil = m_now + For;
  }
  void leave(std::size_t Index) {
    Node &Of = m_nodes[Index];
    Of.m_membership->leave(clockOf(Of), m_random);
    perform(Index);
  }

  void run(absl::Duration For) {
    Instant End = m_now + For;
    while (!m_events.empty() && m_events.top().m_at <= End) {
      Event Next = m_events.top();
      m_events.pop();
      m_now = Next.m_at;
      serve(Next);
    }
    m_now = End;
  }

  /// Called for each message that is sent.
  std::function<void(const SwimMessage &)> m_onSend;
  /// Called with the observer for each change of a member.
  std::function<void(std::size_t, const NodeUpdate &)> m_onChange;

private:
  struct Event {
    Instant m_at;
    std::uint64_t m_order;
    std::size_t m_node;
    /// Nothing: a tick.
    std::shared_ptr<const SwimMessage> m_message;

    bool operator<(const Event &Other) const {
      return std::tie(Other.m_at, Other.m_order) < std::tie(m_at, m_order);
    }
  };

  Instant clockOf(const Node &Of) const { return m_now + Of.m_epoch; }

  void schedule(std::size_t Index, absl::Duration In,
                std::shared_ptr<const SwimMessage> Message) {
    m_events.push({m_now + In, ++m_order, Index, std::move(Message)});
  }

  void serve(const Event &Next) {
    Node &Of = m_nodes[Next.m_node];
    if (m_now < Of.m_pausedUntil) {
      m_events.push(
          {Of.m_pausedUntil, Next.m_order, Next.m_node, Next.m_message});
      return;
    }
    if (!Next.m_message)
      schedule(Next.m_node, absl::Milliseconds(100), {});
    if (!Of.m_running)
      return;
    if (Next.m_message)
      Of.m_membership->handle(clockOf(Of), *Next.m_message, m_random);
    else
      Of.m_membership->tick(clockOf(Of), m_random);
    perform(Next.m_node);
  }

  void perform(std::size_t Index) {
    MembershipActions Actions = m_nodes[Index].m_membership->takeActions();
    for (const NodeUpdate &Change : Actions.m_changes)
      if (m_onChange)
        m_onChange(Index, Change);
    for (OutgoingSwimMessage &Send : Actions.m_sends) {
      if (m_onSend)
        m_onSend(Send.m_message);
      std::optional<std::size_t> To = find(Send.m_address);
      double Draw = std::uniform_real_distribution<>(0, 1)(m_random);
      if (!To || Draw < m_loss || m_nodes[*To].m_side != m_nodes[Index].m_side)
        continue;
      schedule(*To, absl::Microseconds(500 + m_random() % 1000),
               std::make_shared<const SwimMessage>(std::move(Send.m_message)));
    }
  }

  std::optional<std::size_t> find(const std::string &Address) {
    if (m_byAddress.empty())
      for (std::size_t Index = 0; Index < size(); ++Index)
        m_byAddress[m_nodes[Index].m_address] = Index;
    auto Found = m_byAddress.find(Address);
    if (Found == m_byAddress.end())
      return std::nullopt;
    return Found->second;
  }

  std::mt19937_64 m_random;
  std::vector<Node> m_nodes;
  std::map<std::string, std::size_t> m_byAddress;
  std::priority_queue<Event> m_events;
  Instant m_now = absl::UnixEpoch() + absl::Hours(1);
  std::uint64_t m_order = 0;
  double m_loss = 0;
};

} // namespace turmericdyke
