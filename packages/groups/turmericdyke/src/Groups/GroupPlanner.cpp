#include "turmericdyke/src/Groups/GroupPlanner.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <tuple>
#include <utility>

#include <fmt/format.h>

#include "turmericdyke/src/Groups/ColdServer.h"
#include "turmericdyke/src/Groups/EvacuatedDomains.h"
#include "turmericdyke/src/Groups/HeadChoice.h"
#include "turmericdyke/src/Groups/ModelDemand.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Groups that one term of leadership can form: 2^20. Epochs stay below 2^53,
/// the largest integer that every JSON reader keeps exact.
constexpr int EpochBits = 20;

/// A model gives up groups to the scarcest one only if it has this many times
/// the supply of that one. Without this margin, a group of two servers more or
/// less would move servers back and forth.
constexpr double MinDonorSurplus = 1.3;

/// How many fewer groups of larger models fit into a fabric domain with `Free`
/// servers once a group of `Model` is formed there.
std::size_t largerGroupsLost(const EngineCosts &Engine,
                             const EngineModel &Model, std::size_t Free) {
  std::size_t Lost = 0;
  for (const EngineModel &Other : Engine.m_models)
    if (Other.m_members > Model.m_members)
      Lost +=
          Free / Other.m_members - (Free - Model.m_members) / Other.m_members;
  return Lost;
}

/// The largest number of `Free` servers of a fabric domain that groups of the
/// models can use together.
std::size_t usableServers(const EngineCosts &Engine, std::size_t Free) {
  std::vector<bool> Reachable(Free + 1, false);
  Reachable[0] = true;
  std::size_t Best = 0;
  for (std::size_t Count = 1; Count <= Free; ++Count) {
    for (const EngineModel &Model : Engine.m_models)
      if (Model.m_members <= Count && Reachable[Count - Model.m_members])
        Reachable[Count] = true;
    if (Reachable[Count])
      Best = Count;
  }
  return Best;
}

/// How many more servers are left without a group once a group of `Model` is
/// formed in a fabric domain with `Free` servers. In a domain of 9, a group of
/// 4 and one of 3 leave 2 servers idle, three groups of 3 leave none.
std::size_t serversStranded(const EngineCosts &Engine, const EngineModel &Model,
                            std::size_t Free) {
  return usableServers(Engine, Free) - Model.m_members -
         usableServers(Engine, Free - Model.m_members);
}

} // namespace
} // namespace internal

std::string_view nameOf(GroupOrderKind Kind) {
  constexpr std::string_view Names[] = {"join", "open", "close", "leave",
                                        "stage"};
  return Names[static_cast<std::size_t>(Kind)];
}

std::string_view nameOf(GroupPhase Phase) {
  constexpr std::string_view Names[] = {"forming", "opening", "serving",
                                        "closing", "dissolving"};
  return Names[static_cast<std::size_t>(Phase)];
}

GroupPlanner::GroupPlanner(GroupPlannerOptions Options) : m_options(Options) {}

void GroupPlanner::lead(std::uint64_t Fence) {
  assert(Fence > 0 && "a leader needs a fencing token");
  m_fencingToken = Fence;
  m_nextEpoch = (Fence << internal::EpochBits) + 1;
  m_groups.clear();
  m_wantedMoves.clear();
}

void GroupPlanner::stop() {
  m_fencingToken = 0;
  m_groups.clear();
  m_wantedMoves.clear();
}

std::vector<GroupEvent> GroupPlanner::takeEvents() {
  return std::exchange(m_events, {});
}

GroupPlanner::MemberStatus GroupPlanner::memberStatus(const Group &G,
                                                      const Member &M) const {
  const ServerRecord *Server = m_input->m_servers->find(M.m_id);
  if (Server == nullptr ||
      Server->m_announcement.m_startMillis != M.m_startMillis ||
      Server->isLost(m_now, m_options.m_lostAfter))
    return MemberStatus::Lost;
  if (Server->m_announcement.m_draining)
    return MemberStatus::Draining;
  return liveMember(G, M) != nullptr ? MemberStatus::InGroup
                                     : MemberStatus::NotInGroup;
}

const ServerRecord *GroupPlanner::liveMember(const Group &G,
                                             const Member &M) const {
  const ServerRecord *Server = m_input->m_servers->find(M.m_id);
  if (Server == nullptr ||
      Server->m_announcement.m_startMillis != M.m_startMillis ||
      Server->isLost(m_now, m_options.m_lostAfter))
    return nullptr;
  const std::optional<GroupMembership> &Membership =
      Server->m_announcement.m_group;
  return Membership && Membership->isOf(G.m_name, G.m_epoch) ? Server : nullptr;
}

bool GroupPlanner::headServes(const Group &G) const {
  const Member &Head = G.m_members.front();
  const ServerRecord *Server = m_input->m_servers->find(Head.m_id);
  bool Reachable =
      Server != nullptr && !Server->isLost(m_now, m_options.m_lostAfter);
  if (!Reachable)
    return m_now - G.m_abandonedSince < m_options.m_headTimeout;
  if (Server->m_announcement.m_startMillis != Head.m_startMillis)
    return false;
  const std::optional<GroupMembership> &Membership =
      Server->m_announcement.m_group;
  return Membership && Membership->isOf(G.m_name, G.m_epoch) &&
         Membership->m_state != MemberState::Broken;
}

void GroupPlanner::enterPhase(Group &G, GroupPhase Phase,
                              std::string_view Reason) {
  G.m_phase = Phase;
  G.m_phaseSince = m_now;
  for (Member &M : G.m_members)
    M.m_lastOrdered = absl::InfinitePast();
  m_events.push_back(
      {G.m_name, G.m_epoch, G.m_model, Phase, std::string(Reason)});
}

void GroupPlanner::queueOrder(Group &G, Member &M, GroupOrderKind Kind) {
  if (m_now - M.m_lastOrdered < m_options.m_resendAfter)
    return;
  const ServerRecord *Server = m_input->m_servers->find(M.m_id);
  if (Server == nullptr)
    return;
  M.m_lastOrdered = m_now;
  GroupOrder Order;
  Order.m_kind = Kind;
  Order.m_target = M.m_id;
  Order.m_address = Server->m_announcement.m_address;
  Order.m_group = G.m_name;
  Order.m_epoch = G.m_epoch;
  if (Kind == GroupOrderKind::Join) {
    Order.m_model = G.m_model;
    for (const Member &Other : G.m_members)
      Order.m_members.push_back(Other.m_id);
  }
  m_orders.push_back(std::move(Order));
}

void GroupPlanner::onOrderResult(Instant Now, const GroupOrder &Order,
                                 OrderResult Result) {
  if (Order.m_kind == GroupOrderKind::Stage)
    return m_stager.onOrderResult(Now, Order.m_target, Result);
  auto Found = m_groups.find(Order.m_epoch);
  if (Found == m_groups.end())
    return;
  for (Member &M : Found->second.m_members) {
    if (M.m_id != Order.m_target)
      continue;
    if (Result == OrderResult::Unknown)
      M.m_lastOrdered = Now - m_options.m_resendAfter;
    if (Result == OrderResult::Fenced || Result == OrderResult::WrongServer)
      M.m_refused = true;
  }
}

std::vector<GroupOrder> GroupPlanner::step(Instant Now,
                                           const GroupPlannerInput &Input) {
  assert(leading() && "step() requires a term started with lead()");
  m_now = Now;
  m_input = &Input;
  std::erase_if(m_reserved, [Now](const auto &Entry) {
    return Now >= Entry.second.m_until;
  });
  adoptGroups();
  if (!Input.m_settled) {
    m_input = nullptr;
    return {};
  }
  for (auto &[Epoch, G] : m_groups)
    stepGroup(G);
  std::erase_if(m_groups,
                [this](const auto &Entry) { return finished(Entry.second); });
  for (const ServiceEntry &Service : Input.m_catalog->m_services)
    if (Service.m_engine)
      formGroups(Service);
  m_input = nullptr;
  return std::exchange(m_orders, {});
}

void GroupPlanner::adoptGroups() {
  std::map<std::uint64_t, std::vector<const ServerRecord *>> Unadopted;
  for (const auto &[Id, Server] : m_input->m_servers->all()) {
    const std::optional<GroupMembership> &Membership =
        Server.m_announcement.m_group;
    if (Membership && m_groups.count(Membership->m_epoch) == 0)
      Unadopted[Membership->m_epoch].push_back(&Server);
  }
  for (const auto &[Epoch, Servers] : Unadopted) {
    const ServerAnnouncement &First = Servers.front()->m_announcement;
    const ServiceEntry *Service = m_input->m_catalog->service(First.m_service);
    const EngineModel *Model = Service != nullptr && Service->m_engine
                                   ? Service->m_engine->model(First.m_model)
                                   : nullptr;
    Group G;
    G.m_name = First.m_group->m_group;
    G.m_epoch = Epoch;
    G.m_service = First.m_service;
    G.m_model = First.m_model;
    G.m_phaseSince = m_now;
    if (Model != nullptr) {
      G.m_members.resize(Model->m_members);
      G.m_loadTime = Model->m_loadTime;
    }
    for (const ServerRecord *Server : Servers) {
      std::size_t Rank =
          static_cast<std::size_t>(Server->m_announcement.m_group->m_rank);
      if (Rank >= G.m_members.size())
        G.m_members.resize(Rank + 1);
      G.m_members[Rank].m_id = Server->m_announcement.m_id;
      G.m_members[Rank].m_startMillis = Server->m_announcement.m_startMillis;
    }
    bool Complete = Model != nullptr &&
                    G.m_members.size() == Model->m_members &&
                    Servers.size() == Model->m_members;
    const ServerRecord *Head =
        Complete ? liveMember(G, G.m_members.front()) : nullptr;
    GroupPhase Phase = GroupPhase::Dissolving;
    if (Head != nullptr) {
      constexpr GroupPhase PhaseOf[] = {
          GroupPhase::Forming, GroupPhase::Forming, GroupPhase::Serving,
          GroupPhase::Closing, GroupPhase::Dissolving};
      Phase = PhaseOf[static_cast<std::size_t>(
          Head->m_announcement.m_group->m_state)];
    }
    if (!m_input->m_settled && Phase != GroupPhase::Serving)
      continue;
    Group &Adopted = m_groups.emplace(Epoch, std::move(G)).first->second;
    enterPhase(Adopted, Phase,
               Head != nullptr ? "adopted" : "adopted, incomplete");
  }
}

void GroupPlanner::stepGroup(Group &G) {
  using Step = void (GroupPlanner::*)(Group &);
  constexpr Step Steps[] = {
      &GroupPlanner::stepForming, &GroupPlanner::stepOpening,
      &GroupPlanner::stepServing, &GroupPlanner::stepClosing,
      &GroupPlanner::stepDissolving};
  (this->*Steps[static_cast<std::size_t>(G.m_phase)])(G);
}

void GroupPlanner::stepForming(Group &G) {
  bool AllReady = true;
  for (Member &M : G.m_members) {
    MemberStatus Status = memberStatus(G, M);
    if (Status == MemberStatus::Lost)
      return enterPhase(G, GroupPhase::Dissolving, "member lost while forming");
    if (Status == MemberStatus::Draining)
      return enterPhase(G, GroupPhase::Dissolving,
                        "member draining while forming");
    if (M.m_refused)
      return enterPhase(G, GroupPhase::Dissolving, "member refused to join");
    if (Status == MemberStatus::NotInGroup)
      queueOrder(G, M, GroupOrderKind::Join);
    const ServerRecord *Server = liveMember(G, M);
    bool Ready = Server != nullptr && Server->m_announcement.m_group->m_state !=
                                          MemberState::Joining;
    AllReady = AllReady && Ready;
  }
  if (AllReady) {
    enterPhase(G, GroupPhase::Opening, "all members ready");
    return stepOpening(G);
  }
  if (m_now - G.m_phaseSince >
      G.m_loadTime * m_options.m_formingTimeoutLoadTimes +
          m_options.m_formingTimeoutExtra)
    enterPhase(G, GroupPhase::Dissolving, "not ready in time");
}

bool GroupPlanner::isUnheardButServing(const Group &G, const Member &M) const {
  if (G.m_phase != GroupPhase::Serving)
    return false;
  auto LastProgress = m_input->m_progress.find(G.head());
  if (LastProgress == m_input->m_progress.end() ||
      m_now - LastProgress->second >= m_options.m_progressMaxAge)
    return false;
  const ServerRecord *Server = m_input->m_servers->find(M.m_id);
  return Server != nullptr &&
         Server->m_announcement.m_startMillis == M.m_startMillis &&
         !Server->m_announcement.m_draining && Server->m_announcement.m_group &&
         Server->m_announcement.m_group->isOf(G.m_name, G.m_epoch);
}

bool GroupPlanner::leavePhaseOnMemberLoss(Group &G) {
  for (const Member &M : G.m_members) {
    if (isUnheardButServing(G, M))
      continue;
    MemberStatus Status = memberStatus(G, M);
    if (Status == MemberStatus::Lost || Status == MemberStatus::NotInGroup) {
      enterPhase(G, GroupPhase::Dissolving,
                 fmt::format("member {} lost", M.m_id.str()));
      return true;
    }
    if (Status == MemberStatus::Draining) {
      enterPhase(G, GroupPhase::Closing,
                 fmt::format("member {} draining", M.m_id.str()));
      return true;
    }
  }
  return false;
}

void GroupPlanner::stepOpening(Group &G) {
  if (leavePhaseOnMemberLoss(G))
    return;
  const ServerRecord *Head = liveMember(G, G.m_members.front());
  if (Head->m_announcement.m_group->m_state == MemberState::Open)
    return enterPhase(G, GroupPhase::Serving, "head open");
  queueOrder(G, G.m_members.front(), GroupOrderKind::Open);
}

void GroupPlanner::stepServing(Group &G) {
  if (leavePhaseOnMemberLoss(G))
    return;
  MemberState State =
      m_input->m_servers->find(G.head())->m_announcement.m_group->m_state;
  if (State == MemberState::Broken)
    return enterPhase(G, GroupPhase::Dissolving,
                      "head gave up after losing a member");
  if (State == MemberState::Closing)
    return enterPhase(G, GroupPhase::Closing, "head is closing");
  if (State != MemberState::Open)
    enterPhase(G, GroupPhase::Opening, "head closed");
}

void GroupPlanner::stepClosing(Group &G) {
  for (const Member &M : G.m_members) {
    MemberStatus Status = memberStatus(G, M);
    if (Status == MemberStatus::Lost || Status == MemberStatus::NotInGroup)
      return enterPhase(G, GroupPhase::Dissolving, "member lost while closing");
  }
  const ServerRecord *Head = liveMember(G, G.m_members.front());
  if (Head == nullptr)
    return enterPhase(G, GroupPhase::Dissolving, "head lost while closing");
  MemberState State = Head->m_announcement.m_group->m_state;
  if (State != MemberState::Open && State != MemberState::Closing)
    return enterPhase(G, GroupPhase::Dissolving, "head closed");
  if (m_now - G.m_phaseSince > m_options.m_closeTimeout)
    return enterPhase(G, GroupPhase::Dissolving, "head did not close in time");
  if (State == MemberState::Open)
    queueOrder(G, G.m_members.front(), GroupOrderKind::Close);
}

void GroupPlanner::stepDissolving(Group &G) {
  Member &Head = G.m_members.front();
  if (liveMember(G, Head) != nullptr)
    return queueOrder(G, Head, GroupOrderKind::Leave);
  bool HeadLost = memberStatus(G, Head) == MemberStatus::Lost;
  if (!HeadLost)
    return;
  // An unreachable head stops serving once a member has left the group.
  for (std::size_t At = 1; At < G.m_members.size(); ++At) {
    Member &M = G.m_members[At];
    if (liveMember(G, M) != nullptr)
      queueOrder(G, M, GroupOrderKind::Leave);
    else if (memberStatus(G, M) == MemberStatus::NotInGroup)
      G.m_abandonedSince = std::min(G.m_abandonedSince, m_now);
  }
}

bool GroupPlanner::finished(const Group &G) const {
  if (G.m_phase != GroupPhase::Dissolving || headServes(G))
    return false;
  for (const auto &[Id, Server] : m_input->m_servers->all())
    if (Server.m_announcement.m_group &&
        Server.m_announcement.m_group->isOf(G.m_name, G.m_epoch))
      return false;
  return true;
}

GroupPlanner::ServersInGroups GroupPlanner::serversInGroups() const {
  ServersInGroups InGroups;
  for (const auto &[Epoch, G] : m_groups)
    if (G.m_phase != GroupPhase::Dissolving)
      for (const Member &M : G.m_members)
        InGroups.emplace(M.m_id, M.m_startMillis);
  return InGroups;
}

bool GroupPlanner::mayUse(const ServerRecord &Server) const {
  return m_input->m_evacuated == nullptr ||
         m_input->m_evacuated->mayUse(Server.m_announcement);
}

bool GroupPlanner::isEvacuated(const Group &G) const {
  const ServerRecord *Head = m_input->m_servers->find(G.head());
  return Head != nullptr && !mayUse(*Head);
}

bool GroupPlanner::isFree(const ServerRecord &Server,
                          const ServersInGroups &InGroups) const {
  const ServerAnnouncement &Announcement = Server.m_announcement;
  if (Announcement.m_draining || Server.isLost(m_now, m_options.m_lostAfter) ||
      !mayUse(Server))
    return false;
  if (InGroups.count({Announcement.m_id, Announcement.m_startMillis}) > 0)
    return false;
  if (!Announcement.m_group)
    return true;
  auto Found = m_groups.find(Announcement.m_group->m_epoch);
  return Found != m_groups.end() &&
         Found->second.m_phase == GroupPhase::Dissolving &&
         !headServes(Found->second);
}

GroupPlanner::FreeServers
GroupPlanner::freeServers(const ServiceId &Service) const {
  FreeServers Free;
  ServersInGroups InGroups = serversInGroups();
  for (const auto &[Id, Server] : m_input->m_servers->all())
    if (Server.m_announcement.m_service == Service && isFree(Server, InGroups))
      Free[Server.m_announcement.m_fabricDomain].push_back(&Server);
  return Free;
}

ModelBalance GroupPlanner::modelBalance(const ServiceEntry &Service) const {
  ModelBalance Balance = m_input->m_demand != nullptr
                             ? m_input->m_demand->balance(Service)
                             : ModelBalance(*Service.m_engine);
  countServers(Service, Balance);
  return Balance;
}

void GroupPlanner::countServers(const ServiceEntry &Service,
                                ModelBalance &Balance) const {
  for (const auto &[Epoch, G] : m_groups) {
    const EngineModel *Model = G.m_service == Service.m_id
                                   ? Service.m_engine->model(G.m_model)
                                   : nullptr;
    if (Model != nullptr && G.m_phase <= GroupPhase::Serving && !isEvacuated(G))
      Balance.add(*Model, G.m_members.size());
  }
  for (const auto &[Domain, Reserved] : m_reserved)
    if (const EngineModel *Model = Service.m_engine->model(Reserved.m_model))
      Balance.add(*Model, Model->m_members * Reserved.m_groups);
}

void GroupPlanner::formGroups(const ServiceEntry &Service) {
  FreeServers Free = freeServers(Service.m_id);
  bool Follows = followsDemand(Service);
  bool PreemptionTried = !m_input->m_trafficSeen || Follows ||
                         (m_input->m_demand != nullptr &&
                          m_input->m_demand->holdsGroups(Service.m_id));
  auto FormNext = [&] {
    for (const EngineModel *Model : modelBalance(Service).scarcestFirst()) {
      if (formGroup(Service, *Model, Free))
        return true;
      if (!std::exchange(PreemptionTried, true))
        preemptFor(Service, *Model, Free);
    }
    return false;
  };
  while (FormNext())
    ;
  std::vector<GroupMove> Moves;
  if (Follows && m_input->m_trafficSeen)
    Moves = moveGroups(Service, Free);
  stageWeights(Service, Free, Moves);
}

void GroupPlanner::stageWeights(const ServiceEntry &Service,
                                const FreeServers &Free,
                                absl::Span<const GroupMove> Moves) {
  StagingInput Input{&Service, m_input->m_servers,    Free,
                     {},       modelBalance(Service), m_input->m_trafficSeen};
  std::vector<const Group *> Serving;
  for (const auto &[Epoch, G] : m_groups)
    if (G.m_phase == GroupPhase::Serving && G.m_service == Service.m_id)
      Serving.push_back(&G);
  std::stable_sort(Serving.begin(), Serving.end(),
                   [](const Group *A, const Group *B) {
                     return A->m_members.size() > B->m_members.size();
                   });
  for (const Group *G : Serving)
    for (const Member &M : G->m_members)
      if (const ServerRecord *Server = liveMember(*G, M);
          Server != nullptr && mayUse(*Server))
        Input.m_serving.push_back(Server);
  addMoves(Moves, Input);
  for (const StagingOrder &Fetch : m_stager.planFetches(m_now, Input)) {
    GroupOrder Order;
    Order.m_kind = GroupOrderKind::Stage;
    Order.m_target = Fetch.m_server->m_announcement.m_id;
    Order.m_address = Fetch.m_server->m_announcement.m_address;
    Order.m_model = Fetch.m_model->m_name;
    m_orders.push_back(std::move(Order));
  }
}

bool GroupPlanner::wouldUseSpares(const ServiceEntry &Service,
                                  const EngineModel &Model,
                                  const FreeServers &Free,
                                  std::int64_t Loads) const {
  if (Loads <= 1)
    return false;
  std::size_t Servers = 0;
  for (const auto &[Id, Server] : m_input->m_servers->all())
    if (Server.m_announcement.m_service == Service.m_id && mayUse(Server))
      ++Servers;
  std::size_t Remaining = 0;
  for (const auto &[Domain, Members] : Free)
    Remaining += Members.size();
  double Spares =
      std::floor(static_cast<double>(Servers) * m_options.m_spareShare);
  return static_cast<double>(Remaining) - static_cast<double>(Model.m_members) <
         Spares;
}

GroupPlanner::ServingGroups
GroupPlanner::servingGroups(const ServiceEntry &Service) {
  ServingGroups Serving;
  for (auto &[Epoch, G] : m_groups) {
    const ServerRecord *Head = m_input->m_servers->find(G.head());
    if (G.m_phase == GroupPhase::Serving && G.m_service == Service.m_id &&
        Head != nullptr && mayUse(*Head))
      Serving[Head->m_announcement.m_fabricDomain].push_back(&G);
  }
  return Serving;
}

std::size_t GroupPlanner::serversWithWeights(const EngineModel &Model,
                                             const FabricDomainId &Domain,
                                             const FreeServers &Free) {
  auto InDomain = Free.find(Domain);
  if (InDomain == Free.end())
    return 0;
  return static_cast<std::size_t>(std::count_if(
      InDomain->second.begin(), InDomain->second.end(),
      [&](const ServerRecord *S) { return S->holdsWeights(Model.m_name); }));
}

GroupPlanner::Preemption GroupPlanner::findPreemption(
    const ServiceEntry &Service, const EngineModel &Model,
    absl::Span<Group *const> Serving, std::size_t Warm, ModelBalance Balance) {
  Preemption Found;
  for (Group *G : Serving) {
    if (Warm >= Model.m_members)
      break;
    const EngineModel *Other = Service.m_engine->model(G->m_model);
    if (Other == nullptr || Other == &Model)
      continue;
    // The donor model must stay better supplied than the receiving one.
    Balance.remove(*Other, G->m_members.size());
    if (Balance.serversPerShare(*Other) < Balance.serversPerShare(Model)) {
      Balance.add(*Other, G->m_members.size());
      continue;
    }
    std::size_t Before = Warm;
    for (const Member &M : G->m_members) {
      const ServerRecord *Server = liveMember(*G, M);
      Warm += Server != nullptr && Server->holdsWeights(Model.m_name) ? 1 : 0;
    }
    if (Warm == Before)
      continue;
    Found.m_closed.push_back(G);
    Found.m_servers += G->m_members.size();
  }
  if (Warm < Model.m_members)
    return {};
  return Found;
}

void GroupPlanner::preemptFor(const ServiceEntry &Service,
                              const EngineModel &Model,
                              const FreeServers &Free) {
  ModelBalance Balance = modelBalance(Service);
  const EngineModel *BestSupplied = Balance.scarcestFirst().back();
  if (Balance.serversPerShare(*BestSupplied) <
      Balance.serversPerShare(Model) * internal::MinDonorSurplus)
    return;
  Preemption Best;
  FabricDomainId BestDomain;
  for (const auto &[Domain, Serving] : servingGroups(Service)) {
    if (m_reserved.count(Domain) > 0)
      continue;
    Preemption Found =
        findPreemption(Service, Model, Serving,
                       serversWithWeights(Model, Domain, Free), Balance);
    if (Found.m_closed.empty() ||
        (!Best.m_closed.empty() && Found.m_servers >= Best.m_servers))
      continue;
    Best = std::move(Found);
    BestDomain = Domain;
  }
  if (Best.m_closed.empty())
    return;
  m_reserved[BestDomain] = {Model.m_name, m_now + m_options.m_reservationTime};
  for (Group *G : Best.m_closed)
    enterPhase(*G, GroupPhase::Closing,
               fmt::format("servers needed for a group of {}", Model.m_name));
}

void GroupPlanner::putHeadFirst(
    const ServiceEntry &Service,
    absl::Span<const ServerRecord *> Members) const {
  std::vector<Instant> ColdUntil;
  for (const ServerRecord *Server : Members)
    ColdUntil.push_back(coldUntil(*Server, Service, m_input->m_requestsSince));
  std::swap(Members.front(), Members[chooseHead(m_now, ColdUntil)]);
}

bool GroupPlanner::formGroup(const ServiceEntry &Service,
                             const EngineModel &Model, FreeServers &Free) {
  std::vector<const ServerRecord *> *Best = nullptr;
  FabricDomainId BestDomain;
  std::tuple<std::int64_t, std::size_t, std::size_t, std::size_t> BestScore;
  for (auto &[Domain, Servers] : Free) {
    if (Servers.size() < Model.m_members)
      continue;
    auto Reserved = m_reserved.find(Domain);
    if (Reserved != m_reserved.end() &&
        Reserved->second.m_model != Model.m_name)
      continue;
    std::int64_t Warm = std::count_if(
        Servers.begin(), Servers.end(), [&](const ServerRecord *Server) {
          return Server->holdsWeights(Model.m_name);
        });
    Warm = std::min<std::int64_t>(Warm,
                                  static_cast<std::int64_t>(Model.m_members));
    // Prefers the domain with the most copies of the weights, then the one
    // where the fewest servers are stranded, then the one that loses room for
    // the fewest larger groups, then the one with the fewest free servers.
    std::tuple Score{
        -Warm,
        internal::serversStranded(*Service.m_engine, Model, Servers.size()),
        internal::largerGroupsLost(*Service.m_engine, Model, Servers.size()),
        Servers.size()};
    if (Best == nullptr || Score < BestScore) {
      Best = &Servers;
      BestDomain = Domain;
      BestScore = Score;
    }
  }
  if (Best == nullptr)
    return false;
  std::int64_t Loads =
      static_cast<std::int64_t>(Model.m_members) + std::get<0>(BestScore);
  // One member that loads delays all the others. Once requests have run,
  // servers fetch weights before they join.
  if (Loads > 0 &&
      (m_input->m_trafficSeen || wouldUseSpares(Service, Model, Free, Loads)))
    return false;
  std::stable_sort(Best->begin(), Best->end(),
                   [&](const ServerRecord *A, const ServerRecord *B) {
                     return A->holdsWeights(Model.m_name) >
                            B->holdsWeights(Model.m_name);
                   });
  putHeadFirst(Service, absl::MakeSpan(*Best).first(Model.m_members));
  auto Reserved = m_reserved.find(BestDomain);
  if (Reserved != m_reserved.end() && --Reserved->second.m_groups == 0)
    m_reserved.erase(Reserved);
  Group G;
  G.m_epoch = m_nextEpoch++;
  G.m_name = fmt::format("g{}", G.m_epoch);
  G.m_service = Service.m_id;
  G.m_model = Model.m_name;
  G.m_loadTime = Model.m_loadTime;
  for (std::size_t At = 0; At < Model.m_members; ++At) {
    const ServerAnnouncement &Announcement = (*Best)[At]->m_announcement;
    Member M;
    M.m_id = Announcement.m_id;
    M.m_startMillis = Announcement.m_startMillis;
    G.m_members.push_back(std::move(M));
  }
  Best->erase(Best->begin(),
              Best->begin() + static_cast<std::ptrdiff_t>(Model.m_members));
  Group &Added = m_groups.emplace(G.m_epoch, std::move(G)).first->second;
  enterPhase(
      Added, GroupPhase::Forming,
      fmt::format("{} members, {} loads", Added.m_members.size(), Loads));
  for (Member &M : Added.m_members)
    queueOrder(Added, M, GroupOrderKind::Join);
  return true;
}

} // namespace turmericdyke
