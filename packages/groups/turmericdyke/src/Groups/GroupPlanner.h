#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Groups/ServerDirectory.h"
#include "turmericdyke/src/Groups/WeightStager.h"

namespace turmericdyke {

enum class GroupOrderKind { Join, Open, Close, Leave, Stage };

std::string_view nameOf(GroupOrderKind Kind);

/// An order to one server about its place in a group, or about the weights on
/// its host.
struct GroupOrder {
  GroupOrderKind m_kind = GroupOrderKind::Join;
  TargetId m_target;
  std::string m_address;
  std::string m_group;
  std::uint64_t m_epoch = 0;
  /// Join and stage only.
  std::string m_model;
  /// Join only; the head first.
  std::vector<TargetId> m_members;
};

/// How a server answered an order.
enum class OrderAnswer {
  /// It has begun, or the state holds already.
  Accepted,
  /// It does not fit the state of the server.
  Conflict,
  /// A higher fencing number or epoch was seen.
  Fenced,
  /// Another server has the address.
  WrongServer,
  /// No answer: it may have been accepted, or may be carried out later.
  Unknown
};

enum class GroupPhase {
  /// Members load.
  Forming,
  /// All members are ready; the head opens.
  Opening,
  Serving,
  /// Takes no new work; the head finishes what it has.
  Closing,
  /// The members are being freed.
  Dissolving
};

std::string_view nameOf(GroupPhase Phase);

/// A change that the planner decided, for the log.
struct GroupEvent {
  std::string m_group;
  std::uint64_t m_epoch = 0;
  std::string m_model;
  GroupPhase m_phase = GroupPhase::Forming;
  std::string m_reason;
};

struct GroupPlannerOptions {
  /// A member that was silent for this long counts as lost: two and a half
  /// announcement intervals of 1.2 s.
  absl::Duration m_lostAfter = absl::Seconds(3);
  /// A group whose head sent events this recently is whole, even if a member
  /// cannot be heard: entry nodes report four times a second, and name a head
  /// as silent after 0.6 s.
  absl::Duration m_progressFresh = absl::Milliseconds(900);
  /// After this time without an answer in the server's announcements an order
  /// is sent again.
  absl::Duration m_resendAfter = absl::Milliseconds(1500);
  /// A head that cannot be reached gives up this long after its members have
  /// left (the platform's bound), and a margin.
  absl::Duration m_headGivesUpAfter = absl::Seconds(5);
  /// Longest wait for a head to finish its work: the longest that a leaving
  /// member waits for it.
  absl::Duration m_closeLimit = absl::Seconds(10);
  /// A group that is not ready by this multiple of its load time, plus a fixed
  /// time, is given up.
  double m_formingLoadTimes = 4;
  absl::Duration m_formingSlack = absl::Seconds(10);
  /// How long a fabric domain is reserved for the model that a group was closed
  /// for: its head finishes its requests first.
  absl::Duration m_reserveFor = absl::Seconds(4);
  /// Part of a service's servers that is kept as spares with the weights on
  /// their hosts: a member that is lost is then replaced within seconds, not
  /// after a load.
  double m_spareShare = 0.06;
};

/// What the planner decides from.
struct GroupPlannerInput {
  const ServerDirectory *m_servers = nullptr;
  const Catalog *m_catalog = nullptr;
  /// When each head last sent events to callers, as far as entry nodes have
  /// said. A group that has lost a member sends nothing.
  std::map<TargetId, Instant> m_progress;
  /// Every living server has had time to announce itself. Before that, only
  /// groups that are whole and open are taken up, and nothing is ordered.
  bool m_settled = true;
  /// Loads are cheap until the first request.
  bool m_trafficSeen = false;
};

/// Forms groups of servers that serve one model together, opens them, and frees
/// their members when one is lost. Answers the load of a fleet whose members
/// fail every few seconds.
///
/// It keeps two promises. A group opens only when every member has said that it
/// is ready under this name and epoch. A server joins another group only when
/// the head of its present one no longer serves: the head said so, or is a new
/// life, or its members left it long enough ago for it to give up. Orders may
/// be lost, answered late or carried out late: epochs only grow, so a server
/// refuses what is older than what it has seen, and what a server says of
/// itself goes before what it was told.
class GroupPlanner {
public:
  explicit GroupPlanner(GroupPlannerOptions Options = {});

  /// Begins a term of leadership whose epochs are above those of all earlier
  /// terms. `Fence` is the fencing number that goes with its orders.
  void lead(std::uint64_t Fence);
  /// Forgets everything; what servers say is taken up after the next `lead`.
  void stop();
  bool leading() const { return m_fence != 0; }
  std::uint64_t fence() const { return m_fence; }

  /// Decides what to order now. Call after changes and at least every 500 ms.
  std::vector<GroupOrder> step(Instant Now, const GroupPlannerInput &Input);
  void answered(Instant Now, const GroupOrder &Order, OrderAnswer Answer);
  std::vector<GroupEvent> takeEvents();

  struct Member {
    TargetId m_id;
    std::int64_t m_bornMillis = 0;
    Instant m_ordered = absl::InfinitePast();
    bool m_refused = false;
  };
  struct Group {
    std::string m_name;
    std::uint64_t m_epoch = 0;
    ServiceId m_service;
    std::string m_model;
    GroupPhase m_phase = GroupPhase::Forming;
    /// Since when it is in this phase.
    Instant m_since;
    /// The head first. An empty identifier stands for a member that never
    /// announced itself to this leader.
    std::vector<Member> m_members;
    absl::Duration m_loadTime = absl::ZeroDuration();
    /// Since when no reachable member holds itself to be part of it, while the
    /// head cannot be asked.
    Instant m_abandonedSince = absl::InfiniteFuture();

    const TargetId &head() const { return m_members.front().m_id; }
  };
  const std::map<std::uint64_t, Group> &groups() const { return m_groups; }

private:
  enum class MemberView { Present, Elsewhere, Draining, Lost };

  MemberView look(const Group &G, const Member &M) const;
  const ServerRecord *present(const Group &G, const Member &M) const;
  bool headServes(const Group &G) const;
  void enter(Group &G, GroupPhase Phase, std::string_view Reason);
  void order(Group &G, Member &M, GroupOrderKind Kind);

  void adoptStrays();
  void stepGroup(Group &G);
  void stepForming(Group &G);
  void stepOpening(Group &G);
  void stepServing(Group &G);
  void stepClosing(Group &G);
  void stepDissolving(Group &G);
  bool leaveIfBroken(Group &G);
  /// Whether the member is only unheard, and the group shows that it is there.
  bool isOnlyUnheard(const Group &G, const Member &M) const;
  bool finished(const Group &G) const;

  using FreeServers =
      std::map<FabricDomainId, std::vector<const ServerRecord *>>;
  /// The lives of servers that belong to a group, unless it is being dissolved.
  using Taken = std::set<std::pair<TargetId, std::int64_t>>;
  Taken takenServers() const;
  bool isFree(const ServerRecord &Server, const Taken &InGroups) const;
  FreeServers freeServers(const ServiceId &Service) const;
  void formGroups(const ServiceEntry &Service);
  /// Servers of each model in groups that serve or will.
  ModelBalance balance(const ServiceEntry &Service) const;
  bool formOne(const ServiceEntry &Service, const EngineModel &Model,
               FreeServers &Free);
  /// Whether forming a group would use up the spares without repairing one.
  bool eatsSpares(const ServiceEntry &Service, const EngineModel &Model,
                  const FreeServers &Free, std::int64_t Loads) const;
  /// Groups that would have to close for a group of another model.
  struct Borrowing {
    std::vector<Group *> m_closed;
    std::size_t m_servers = 0;
  };
  /// Closes groups of better supplied models where their members and the free
  /// servers of their fabric domain then suffice for a group of `Model` without
  /// a load.
  void borrowFor(const ServiceEntry &Service, const EngineModel &Model,
                 const FreeServers &Free);
  Borrowing borrowIn(const ServiceEntry &Service, const EngineModel &Model,
                     const FabricDomainId &Domain, const FreeServers &Free);
  void stageWeights(const ServiceEntry &Service, const FreeServers &Free);

  GroupPlannerOptions m_options;
  std::uint64_t m_fence = 0;
  std::uint64_t m_nextEpoch = 0;
  std::map<std::uint64_t, Group> m_groups;
  WeightStager m_stager;
  /// A fabric domain where a group was closed for one of another model. The
  /// servers that come free are not given back to the model that gave them up.
  struct Reservation {
    std::string m_model;
    Instant m_until;
  };
  std::map<FabricDomainId, Reservation> m_reserved;
  std::vector<GroupEvent> m_events;

  // Of the present step.
  Instant m_now;
  const GroupPlannerInput *m_input = nullptr;
  std::vector<GroupOrder> m_orders;
};

} // namespace turmericdyke
