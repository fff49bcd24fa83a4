#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Groups/GroupMoves.h"
#include "turmericdyke/src/Groups/ServerDirectory.h"
#include "turmericdyke/src/Groups/WeightStager.h"

namespace turmericdyke {

class EvacuatedDomains;
class ModelDemand;

enum class GroupOrderKind { Join, Open, Close, Leave, Stage };

std::string_view nameOf(GroupOrderKind Kind);

/// An order to one server: to change its place in a group, or to fetch weights
/// to its host.
struct GroupOrder {
  GroupOrderKind m_kind = GroupOrderKind::Join;
  TargetId m_target;
  std::string m_address;
  std::string m_group;
  std::uint64_t m_epoch = 0;
  /// Set for join and stage.
  std::string m_model;
  /// Set for join. The head comes first.
  std::vector<TargetId> m_members;
};

/// How a server responded to an order.
enum class OrderResult {
  /// The server started to carry it out, or was already in the requested state.
  Accepted,
  /// The order does not apply to the server's current state.
  Conflict,
  /// The server has seen a higher fencing token or epoch.
  Fenced,
  /// Another server now uses the address.
  WrongServer,
  /// No response: the order may have been accepted, or may still be carried out
  /// later.
  Unknown
};

enum class GroupPhase {
  /// Members load the model.
  Forming,
  /// All members are ready; the head is told to accept requests.
  Opening,
  Serving,
  /// Accepts no new requests; the head finishes the running ones.
  Closing,
  /// Members are being released.
  Dissolving
};

std::string_view nameOf(GroupPhase Phase);

/// A phase change of a group, for the log.
struct GroupEvent {
  std::string m_group;
  std::uint64_t m_epoch = 0;
  std::string m_model;
  GroupPhase m_phase = GroupPhase::Forming;
  std::string m_reason;
};

struct GroupPlannerOptions {
  /// A member without an announcement for this long counts as lost: two and a
  /// half announcement intervals of 1.2 s.
  absl::Duration m_lostAfter = absl::Seconds(3);
  /// A group whose head sent events this recently is complete, even if the
  /// coordinator cannot reach one of its members. Entry nodes report progress
  /// four times a second, and report a head without events after 0.6 s.
  absl::Duration m_progressMaxAge = absl::Milliseconds(900);
  /// An order is sent again if the server's announcements do not reflect it
  /// after this time.
  absl::Duration m_resendAfter = absl::Milliseconds(1500);
  /// An unreachable head gives up this long after its members have left: the
  /// platform's limit of 4 s and a margin.
  absl::Duration m_headTimeout = absl::Seconds(5);
  /// Longest wait for a head to finish its requests. A leaving member waits for
  /// the head at most this long.
  absl::Duration m_closeTimeout = absl::Seconds(10);
  /// A group that is not ready after its load time times this factor, plus
  /// `m_formingTimeoutExtra`, is dissolved.
  double m_formingTimeoutLoadTimes = 4;
  absl::Duration m_formingTimeoutExtra = absl::Seconds(10);
  /// How long a fabric domain is reserved for the model that a group was closed
  /// for. The head of the closed group finishes its requests first.
  absl::Duration m_reservationTime = absl::Seconds(4);
  /// Fraction of a service's servers kept as spares with the weights on their
  /// hosts, so that a lost member is replaced within seconds, without waiting
  /// for a load.
  double m_spareShare = 0.06;
  /// Fraction of a service's servers that moves between models may change at
  /// the same time. A single move is always possible.
  double m_movingShare = 1.0 / 6;
  /// A model that gives up groups keeps this many times the servers that its
  /// measured load occupies fully.
  double m_keptNeed = 1.15;
  /// How long a move must have been wanted before it is prepared, unless it has
  /// been since the shares changed. A group that lost a member is formed again
  /// within this time.
  absl::Duration m_moveDelay = absl::Seconds(8);
  /// How long a fabric domain is reserved for the groups of a move, in addition
  /// to `m_closeTimeout`.
  absl::Duration m_moveReservationTime = absl::Seconds(5);
};

/// Input of one planning step.
struct GroupPlannerInput {
  const ServerDirectory *m_servers = nullptr;
  const Catalog *m_catalog = nullptr;
  /// The failure domains whose servers may not be used; null for none.
  const EvacuatedDomains *m_evacuated = nullptr;
  /// When each head last sent events to callers, as reported by entry nodes. A
  /// group that has lost a member sends no events.
  std::map<TargetId, Instant> m_progress;
  /// Every live server has had time to announce itself. Until then the planner
  /// only adopts complete, open groups and gives no orders.
  bool m_settled = true;
  /// Requests have run. Before the first one, loads are not rate-limited.
  bool m_trafficSeen = false;
  /// The measured demand for each model; null if only declared shares count.
  const ModelDemand *m_demand = nullptr;
  /// When the first request ran; see `coldUntil`.
  Instant m_requestsSince = absl::InfiniteFuture();
};

/// Forms groups of servers that serve one model together, opens them, and
/// releases their members when one is lost. Designed for a fleet whose members
/// fail every few seconds.
///
/// It maintains two invariants. A group opens only when every member has
/// reported that it is ready under this name and epoch. A server joins another
/// group only when the head of its current one no longer serves: the head
/// reported so, or has restarted, or its members left long enough ago for it to
/// have given up. Orders may be lost, answered late or carried out late. Epochs
/// only grow, so a server rejects orders older than what it has seen, and a
/// server's own announcements take precedence over the orders sent to it.
class GroupPlanner {
public:
  explicit GroupPlanner(GroupPlannerOptions Options = {});

  /// Starts a term of leadership. Its epochs are above those of all earlier
  /// terms. `Fence` is the fencing token of its orders.
  void lead(std::uint64_t Fence);
  /// Clears all state. After the next `lead`, groups are adopted from the
  /// announcements of servers.
  void stop();
  bool leading() const { return m_fencingToken != 0; }
  std::uint64_t fence() const { return m_fencingToken; }

  /// Returns the orders that are due. Must be called after each change and at
  /// least every 500 ms.
  std::vector<GroupOrder> step(Instant Now, const GroupPlannerInput &Input);
  void onOrderResult(Instant Now, const GroupOrder &Order, OrderResult Result);
  std::vector<GroupEvent> takeEvents();

  struct Member {
    TargetId m_id;
    std::int64_t m_startMillis = 0;
    Instant m_lastOrdered = absl::InfinitePast();
    bool m_refused = false;
  };
  struct Group {
    std::string m_name;
    std::uint64_t m_epoch = 0;
    ServiceId m_service;
    std::string m_model;
    GroupPhase m_phase = GroupPhase::Forming;
    /// When the current phase began.
    Instant m_phaseSince;
    /// The head comes first. An empty identifier stands for a member that has
    /// never announced itself to this leader.
    std::vector<Member> m_members;
    absl::Duration m_loadTime = absl::ZeroDuration();
    /// Since when no reachable member reports that it belongs to the group
    /// while the head is unreachable.
    Instant m_abandonedSince = absl::InfiniteFuture();

    const TargetId &head() const { return m_members.front().m_id; }
  };
  const std::map<std::uint64_t, Group> &groups() const { return m_groups; }

private:
  enum class MemberStatus { InGroup, NotInGroup, Draining, Lost };

  MemberStatus memberStatus(const Group &G, const Member &M) const;
  const ServerRecord *liveMember(const Group &G, const Member &M) const;
  bool headServes(const Group &G) const;
  void enterPhase(Group &G, GroupPhase Phase, std::string_view Reason);
  void queueOrder(Group &G, Member &M, GroupOrderKind Kind);

  void adoptGroups();
  void stepGroup(Group &G);
  void stepForming(Group &G);
  void stepOpening(Group &G);
  void stepServing(Group &G);
  void stepClosing(Group &G);
  void stepDissolving(Group &G);
  bool leavePhaseOnMemberLoss(Group &G);
  /// Whether announcements of the member are missing although the group still
  /// sends events, which shows that the member works.
  bool isUnheardButServing(const Group &G, const Member &M) const;
  bool finished(const Group &G) const;

  using FreeServers =
      std::map<FabricDomainId, std::vector<const ServerRecord *>>;
  /// Incarnations of the servers that belong to a group which is not being
  /// dissolved.
  using ServersInGroups = std::set<std::pair<TargetId, std::int64_t>>;
  ServersInGroups serversInGroups() const;
  /// Whether the server is in no evacuated failure domain.
  bool mayUse(const ServerRecord &Server) const;
  /// Whether the head is in an evacuated failure domain. The group stays as it
  /// is, but it neither serves nor gives up its servers to another group.
  bool isEvacuated(const Group &G) const;
  bool isFree(const ServerRecord &Server,
              const ServersInGroups &InGroups) const;
  FreeServers freeServers(const ServiceId &Service) const;
  void formGroups(const ServiceEntry &Service);
  /// Counts the servers of each model, in groups that serve or are about to.
  ModelBalance modelBalance(const ServiceEntry &Service) const;
  void countServers(const ServiceEntry &Service, ModelBalance &Balance) const;
  bool formGroup(const ServiceEntry &Service, const EngineModel &Model,
                 FreeServers &Free);
  /// Moves the head that is chosen to the front.
  void putHeadFirst(const ServiceEntry &Service,
                    absl::Span<const ServerRecord *> Members) const;
  /// Whether forming a group that needs loads would use up the spares.
  bool wouldUseSpares(const ServiceEntry &Service, const EngineModel &Model,
                      const FreeServers &Free, std::int64_t Loads) const;
  /// Groups that have to close to make room for a group of another model.
  struct Preemption {
    std::vector<Group *> m_closed;
    std::size_t m_servers = 0;
  };
  /// Closes groups of better supplied models in a fabric domain where their
  /// members, together with the free servers, suffice for a group of `Model`
  /// without a load.
  void preemptFor(const ServiceEntry &Service, const EngineModel &Model,
                  const FreeServers &Free);
  /// Groups that serve, by fabric domain.
  using ServingGroups = std::map<FabricDomainId, std::vector<Group *>>;
  ServingGroups servingGroups(const ServiceEntry &Service);
  /// Free servers of a fabric domain that need no load for a group of `Model`.
  static std::size_t serversWithWeights(const EngineModel &Model,
                                        const FabricDomainId &Domain,
                                        const FreeServers &Free);
  /// `Serving` are the groups of one fabric domain, where `Warm` free servers
  /// hold the weights of `Model`.
  Preemption findPreemption(const ServiceEntry &Service,
                            const EngineModel &Model,
                            absl::Span<Group *const> Serving, std::size_t Warm,
                            ModelBalance Balance);
  void stageWeights(const ServiceEntry &Service, const FreeServers &Free,
                    absl::Span<const GroupMove> Moves);
  /// Whether groups of the service follow measured shares.
  bool followsDemand(const ServiceEntry &Service) const;
  /// Closes the groups of moves that are ready, and returns the moves whose
  /// members have to fetch weights first.
  std::vector<GroupMove> moveGroups(const ServiceEntry &Service,
                                    const FreeServers &Free);
  MoveInput moveInput(const ServiceEntry &Service, const FreeServers &Free);
  /// Whether moves to this model have been wanted for long enough.
  bool moveIsDue(const ServiceEntry &Service, const EngineModel &Receiver);
  void closeForMove(const GroupMove &Move);
  /// Adds the fetches for moves, and removes the idle servers of fabric domains
  /// where a move is under way: what is missing there is about to be released.
  void addMoves(absl::Span<const GroupMove> Moves, StagingInput &Input) const;

  GroupPlannerOptions m_options;
  std::uint64_t m_fencingToken = 0;
  std::uint64_t m_nextEpoch = 0;
  std::map<std::uint64_t, Group> m_groups;
  WeightStager m_stager;
  /// Reserves a fabric domain where groups were closed for `m_model`, so that
  /// the released servers do not return to the model that gave them up.
  struct Reservation {
    std::string m_model;
    Instant m_until;
    /// Groups of the model to be formed.
    std::size_t m_groups = 1;
    bool m_move = false;
  };
  std::map<FabricDomainId, Reservation> m_reserved;
  /// The model that moves of a service give servers to, and since when.
  struct WantedMove {
    std::string m_model;
    Instant m_since;
  };
  std::map<ServiceId, WantedMove> m_wantedMoves;
  std::vector<GroupEvent> m_events;

  // Valid during `step`.
  Instant m_now;
  const GroupPlannerInput *m_input = nullptr;
  std::vector<GroupOrder> m_orders;
};

} // namespace turmericdyke
