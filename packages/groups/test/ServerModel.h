#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "turmericdyke/Groups"

namespace turmericdyke {

/// Simulated servers that follow the published rules for groups, with orders
/// and announcements that are lost or late. The model checks two invariants: a
/// group runs requests only once all its members were ready under this name and
/// epoch, and a server joins another group only when the head of its current
/// one does not serve.
class ServerModel {
public:
  /// The head of a group that has lost a member gives up after this time.
  static constexpr absl::Duration HeadTimeout = absl::Seconds(4);

  struct Server {
    TargetId m_id;
    bool m_alive = true;
    bool m_partitioned = false;
    bool m_draining = false;
    std::int64_t m_born = 1;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_highestEpoch = 0;
    std::uint64_t m_highestFencingToken = 0;
    std::string m_model;
    std::vector<std::string> m_staged;
    std::optional<GroupMembership> m_group;
    std::vector<TargetId> m_members;
    Instant m_readyAt = absl::InfiniteFuture();
    /// For a head: since when a member is missing.
    Instant m_stalledSince = absl::InfiniteFuture();
  };

  struct DelayedOrder {
    Instant m_dueAt;
    GroupOrder m_order;
    std::uint64_t m_fencingToken = 0;
  };

  explicit ServerModel(std::size_t Count, std::size_t PerDomain) {
    for (std::size_t At = 0; At < Count; ++At) {
      Server Value;
      Value.m_id = TargetId(fmt::format("s{:02}", At));
      m_servers.push_back(Value);
    }
    m_perDomain = PerDomain;
  }

  std::size_t size() const { return m_servers.size(); }
  Server &at(std::size_t Index) { return m_servers[Index]; }
  const std::vector<std::string> &violations() const { return m_violations; }
  std::uint64_t opened() const { return m_opened; }

  ServerAnnouncement announcement(std::size_t Index) {
    Server &S = m_servers[Index];
    ServerAnnouncement Value;
    Value.m_id = S.m_id;
    Value.m_service = ServiceId("llm");
    Value.m_address = fmt::format("10.0.0.{}:80", Index);
    Value.m_fabricDomain =
        FabricDomainId(fmt::format("d{}", Index / m_perDomain));
    Value.m_draining = S.m_draining;
    Value.m_startMillis = S.m_born;
    Value.m_sequence = ++S.m_sequence;
    Value.m_stagedModels = S.m_staged;
    Value.m_model = S.m_model;
    Value.m_group = S.m_group;
    return Value;
  }

  /// The server's response to a probe.
  ServerReport report(std::size_t Index) const {
    const Server &S = m_servers[Index];
    return {S.m_born, S.m_staged, S.m_model, S.m_group};
  }

  /// Executes an order. Delayed orders may repeat earlier ones.
  OrderResult execute(Instant Now, const GroupOrder &Order,
                      std::uint64_t Fence) {
    Server *S = find(Order.m_target);
    if (S == nullptr || !S->m_alive)
      return OrderResult::Unknown;
    if (Fence < S->m_highestFencingToken)
      return OrderResult::Fenced;
    S->m_highestFencingToken = Fence;
    if (Order.m_kind == GroupOrderKind::Join)
      return join(Now, *S, Order);
    if (Order.m_kind == GroupOrderKind::Stage) {
      S->m_staged = {Order.m_model};
      return OrderResult::Accepted;
    }
    if (!S->m_group || !S->m_group->isOf(Order.m_group, Order.m_epoch))
      return OrderResult::Conflict;
    if (Order.m_kind == GroupOrderKind::Leave) {
      leaveGroup(Now, *S);
      return OrderResult::Accepted;
    }
    if (Order.m_kind == GroupOrderKind::Close) {
      if (S->m_group->m_state == MemberState::Open)
        S->m_group->m_state = MemberState::Ready;
      return OrderResult::Accepted;
    }
    if (S->m_group->m_rank != 0 || S->m_group->m_state != MemberState::Ready)
      return OrderResult::Conflict;
    S->m_group->m_state = MemberState::Open;
    ++m_opened;
    checkMembersReady(*S);
    return OrderResult::Accepted;
  }

  void advance(Instant Now) {
    for (Server &S : m_servers) {
      if (!S.m_alive || !S.m_group)
        continue;
      if (S.m_group->m_state == MemberState::Joining && Now >= S.m_readyAt) {
        S.m_group->m_state = MemberState::Ready;
        m_everReady[{S.m_group->m_group, S.m_group->m_epoch}].push_back(S.m_id);
      }
      if (S.m_group->m_state != MemberState::Open)
        continue;
      if (hasLostMember(S))
        S.m_stalledSince = std::min(S.m_stalledSince, Now);
      else
        S.m_stalledSince = absl::InfiniteFuture();
      if (Now - S.m_stalledSince >= HeadTimeout)
        S.m_group->m_state = MemberState::Broken;
    }
  }

  /// Whether a server is the head of a complete open group, so that events
  /// flow.
  bool sendsEvents(std::size_t Index) {
    Server &S = m_servers[Index];
    return S.m_alive && S.m_group && S.m_group->m_state == MemberState::Open &&
           !hasLostMember(S);
  }

  void kill(std::size_t Index) { m_servers[Index].m_alive = false; }
  /// Starts the server again under its old identifier, without any state but
  /// the weights on its host.
  void restart(std::size_t Index) {
    Server Fresh;
    Fresh.m_id = m_servers[Index].m_id;
    Fresh.m_born = m_servers[Index].m_born + 1000;
    Fresh.m_staged = m_servers[Index].m_staged;
    m_servers[Index] = Fresh;
  }

private:
  Server *find(const TargetId &Id) {
    for (Server &S : m_servers)
      if (S.m_id == Id)
        return &S;
    return nullptr;
  }

  /// The head of the group, if it serves.
  const Server *servingHead(const GroupMembership &Group) const {
    for (const Server &Other : m_servers)
      if (Other.m_alive && Other.m_group &&
          Other.m_group->isOf(Group.m_group, Group.m_epoch) &&
          Other.m_group->m_rank == 0 &&
          (Other.m_group->m_state == MemberState::Open ||
           Other.m_group->m_state == MemberState::Closing))
        return &Other;
    return nullptr;
  }

  bool hasLostMember(const Server &Head) {
    for (const TargetId &Id : Head.m_members) {
      Server *Member = find(Id);
      if (!Member->m_alive || !Member->m_group ||
          !Member->m_group->isOf(Head.m_group->m_group, Head.m_group->m_epoch))
        return true;
    }
    return false;
  }

  OrderResult join(Instant Now, Server &S, const GroupOrder &Order) {
    if (Order.m_epoch < S.m_highestEpoch)
      return OrderResult::Fenced;
    bool Same = S.m_group && S.m_group->isOf(Order.m_group, Order.m_epoch);
    if (Same)
      return Order.m_members == S.m_members ? OrderResult::Accepted
                                            : OrderResult::Fenced;
    if (S.m_group && servingHead(*S.m_group) != nullptr)
      m_violations.push_back(
          fmt::format("{} joins {} while the head of {} still serves",
                      S.m_id.str(), Order.m_group, S.m_group->m_group));
    S.m_highestEpoch = Order.m_epoch;
    auto Rank = std::find(Order.m_members.begin(), Order.m_members.end(),
                          Order.m_target);
    S.m_group =
        GroupMembership{Order.m_group, Order.m_epoch,
                        Rank - Order.m_members.begin(), MemberState::Joining};
    S.m_members = Order.m_members;
    bool HasModel = S.m_model == Order.m_model;
    S.m_model = Order.m_model;
    S.m_staged = {Order.m_model};
    S.m_readyAt = Now + (HasModel ? absl::Milliseconds(200) : absl::Seconds(3));
    S.m_stalledSince = absl::InfiniteFuture();
    return OrderResult::Accepted;
  }

  static void leaveGroup(Instant, Server &S) {
    S.m_group.reset();
    S.m_members.clear();
  }

  void checkMembersReady(const Server &Head) {
    constexpr std::size_t Size = 3;
    if (Head.m_members.size() != Size)
      m_violations.push_back(Head.m_id.str() + " opens with too few members");
    const auto &Ready =
        m_everReady[{Head.m_group->m_group, Head.m_group->m_epoch}];
    for (const TargetId &Id : Head.m_members)
      if (std::find(Ready.begin(), Ready.end(), Id) == Ready.end())
        m_violations.push_back(fmt::format("{} opens before {} was ready",
                                           Head.m_group->m_group, Id.str()));
  }

  std::vector<Server> m_servers;
  std::size_t m_perDomain = 1;
  std::map<std::pair<std::string, std::uint64_t>, std::vector<TargetId>>
      m_everReady;
  std::vector<std::string> m_violations;
  std::uint64_t m_opened = 0;
};

} // namespace turmericdyke
