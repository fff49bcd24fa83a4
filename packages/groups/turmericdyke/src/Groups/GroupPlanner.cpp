#include "turmericdyke/src/Groups/GroupPlanner.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include <fmt/format.h>

namespace turmericdyke {

namespace internal {
namespace {

/// Groups that one term of leadership can form: 2^20. Epochs stay below 2^53,
/// the largest integer that every JSON reader keeps exact.
constexpr int EpochBits = 20;

/// A model gets no further group once it has this many times the supply of the
/// neediest one, and gives one up for it: a group of two servers more or less
/// must not move the balance back and forth.
constexpr double MostOversupply = 1.5;

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
  assert(Fence > 0 && "a leader needs a fencing number");
  m_fence = Fence;
  m_nextEpoch = (Fence << internal::EpochBits) + 1;
  m_groups.clear();
}

void GroupPlanner::stop() {
  m_fence = 0;
  m_groups.clear();
}

std::vector<GroupEvent> GroupPlanner::takeEvents() {
  return std::exchange(m_events, {});
}

GroupPlanner::MemberView GroupPlanner::look(const Group &G,
                                            const Member &M) const {
  const ServerRecord *Server = m_input->m_servers->find(M.m_id);
  if (Server == nullptr || Server->m_said.m_bornMillis != M.m_bornMillis ||
      Server->isLost(m_now, m_options.m_lostAfter))
    return MemberView::Lost;
  if (Server->m_said.m_draining)
    return MemberView::Draining;
  return present(G, M) != nullptr ? MemberView::Present : MemberView::Elsewhere;
}

const ServerRecord *GroupPlanner::present(const Group &G,
                                          const Member &M) const {
  const ServerRecord *Server = m_input->m_servers->find(M.m_id);
  if (Server == nullptr || Server->m_said.m_bornMillis != M.m_bornMillis ||
      Server->isLost(m_now, m_options.m_lostAfter))
    return nullptr;
  const std::optional<GroupMembership> &Said = Server->m_said.m_group;
  return Said && Said->isOf(G.m_name, G.m_epoch) ? Server : nullptr;
}

bool GroupPlanner::headServes(const Group &G) const {
  const Member &Head = G.m_members.front();
  const ServerRecord *Server = m_input->m_servers->find(Head.m_id);
  bool Reachable =
      Server != nullptr && !Server->isLost(m_now, m_options.m_lostAfter);
  if (!Reachable)
    return m_now - G.m_abandonedSince < m_options.m_headGivesUpAfter;
  if (Server->m_said.m_bornMillis != Head.m_bornMillis)
    return false;
  const std::optional<GroupMembership> &Said = Server->m_said.m_group;
  return Said && Said->isOf(G.m_name, G.m_epoch) &&
         Said->m_state != MemberState::Broken;
}

void GroupPlanner::enter(Group &G, GroupPhase Phase, std::string_view Reason) {
  G.m_phase = Phase;
  G.m_since = m_now;
  for (Member &M : G.m_members)
    M.m_ordered = absl::InfinitePast();
  m_events.push_back(
      {G.m_name, G.m_epoch, G.m_model, Phase, std::string(Reason)});
}

void GroupPlanner::order(Group &G, Member &M, GroupOrderKind Kind) {
  if (m_now - M.m_ordered < m_options.m_resendAfter)
    return;
  const ServerRecord *Server = m_input->m_servers->find(M.m_id);
  if (Server == nullptr)
    return;
  M.m_ordered = m_now;
  GroupOrder Order;
  Order.m_kind = Kind;
  Order.m_target = M.m_id;
  Order.m_address = Server->m_said.m_address;
  Order.m_group = G.m_name;
  Order.m_epoch = G.m_epoch;
  if (Kind == GroupOrderKind::Join) {
    Order.m_model = G.m_model;
    for (const Member &Other : G.m_members)
      Order.m_members.push_back(Other.m_id);
  }
  m_orders.push_back(std::move(Order));
}

void GroupPlanner::answered(Instant Now, const GroupOrder &Order,
                            OrderAnswer Answer) {
  auto Found = m_groups.find(Order.m_epoch);
  if (Found == m_groups.end())
    return;
  for (Member &M : Found->second.m_members) {
    if (M.m_id != Order.m_target)
      continue;
    if (Answer == OrderAnswer::Unknown)
      M.m_ordered = Now - m_options.m_resendAfter;
    if (Answer == OrderAnswer::Fenced || Answer == OrderAnswer::WrongServer)
      M.m_refused = true;
  }
}

std::vector<GroupOrder> GroupPlanner::step(Instant Now,
                                           const GroupPlannerInput &Input) {
  assert(leading() && "only a leader plans");
  m_now = Now;
  m_input = &Input;
  std::erase_if(m_reserved, [Now](const auto &Entry) {
    return Now >= Entry.second.m_until;
  });
  adoptStrays();
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

void GroupPlanner::adoptStrays() {
  std::map<std::uint64_t, std::vector<const ServerRecord *>> Strays;
  for (const auto &[Id, Server] : m_input->m_servers->all()) {
    const std::optional<GroupMembership> &Said = Server.m_said.m_group;
    if (Said && m_groups.count(Said->m_epoch) == 0)
      Strays[Said->m_epoch].push_back(&Server);
  }
  for (const auto &[Epoch, Servers] : Strays) {
    const ServerAnnouncement &First = Servers.front()->m_said;
    const ServiceEntry *Service = m_input->m_catalog->service(First.m_service);
    const EngineModel *Model = Service != nullptr && Service->m_engine
                                   ? Service->m_engine->model(First.m_model)
                                   : nullptr;
    Group G;
    G.m_name = First.m_group->m_group;
    G.m_epoch = Epoch;
    G.m_service = First.m_service;
    G.m_model = First.m_model;
    G.m_since = m_now;
    if (Model != nullptr) {
      G.m_members.resize(Model->m_members);
      G.m_loadTime = Model->m_loadTime;
    }
    for (const ServerRecord *Server : Servers) {
      std::size_t Rank =
          static_cast<std::size_t>(Server->m_said.m_group->m_rank);
      if (Rank >= G.m_members.size())
        G.m_members.resize(Rank + 1);
      G.m_members[Rank].m_id = Server->m_said.m_id;
      G.m_members[Rank].m_bornMillis = Server->m_said.m_bornMillis;
      if (Server->m_said.m_group->m_state != MemberState::Joining)
        m_inMemory[Server->m_said.m_id] = {Server->m_said.m_bornMillis,
                                           First.m_model};
    }
    bool Whole = Model != nullptr && G.m_members.size() == Model->m_members &&
                 Servers.size() == Model->m_members;
    const ServerRecord *Head =
        Whole ? present(G, G.m_members.front()) : nullptr;
    GroupPhase Phase = GroupPhase::Dissolving;
    if (Head != nullptr) {
      constexpr GroupPhase PhaseOf[] = {
          GroupPhase::Forming, GroupPhase::Forming, GroupPhase::Serving,
          GroupPhase::Closing, GroupPhase::Dissolving};
      Phase = PhaseOf[static_cast<std::size_t>(Head->m_said.m_group->m_state)];
    }
    if (!m_input->m_settled && Phase != GroupPhase::Serving)
      continue;
    Group &Taken = m_groups.emplace(Epoch, std::move(G)).first->second;
    enter(Taken, Phase, Head != nullptr ? "adopted" : "adopted in part");
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
    MemberView View = look(G, M);
    if (View == MemberView::Lost)
      return enter(G, GroupPhase::Dissolving, "member lost while forming");
    if (View == MemberView::Draining)
      return enter(G, GroupPhase::Dissolving, "member leaves while forming");
    if (M.m_refused)
      return enter(G, GroupPhase::Dissolving, "member refused to join");
    if (View == MemberView::Elsewhere)
      order(G, M, GroupOrderKind::Join);
    const ServerRecord *Server = present(G, M);
    bool Ready = Server != nullptr &&
                 Server->m_said.m_group->m_state != MemberState::Joining;
    if (Ready)
      m_inMemory[M.m_id] = {M.m_bornMillis, G.m_model};
    AllReady = AllReady && Ready;
  }
  if (AllReady) {
    enter(G, GroupPhase::Opening, "all members ready");
    return stepOpening(G);
  }
  if (m_now - G.m_since >
      G.m_loadTime * m_options.m_formingLoadTimes + m_options.m_formingSlack)
    enter(G, GroupPhase::Dissolving, "not ready in time");
}

bool GroupPlanner::isOnlyUnheard(const Group &G, const Member &M) const {
  if (G.m_phase != GroupPhase::Serving)
    return false;
  auto Moved = m_input->m_progress.find(G.head());
  if (Moved == m_input->m_progress.end() ||
      m_now - Moved->second >= m_options.m_progressFresh)
    return false;
  const ServerRecord *Server = m_input->m_servers->find(M.m_id);
  return Server != nullptr && Server->m_said.m_bornMillis == M.m_bornMillis &&
         !Server->m_said.m_draining && Server->m_said.m_group &&
         Server->m_said.m_group->isOf(G.m_name, G.m_epoch);
}

bool GroupPlanner::leaveIfBroken(Group &G) {
  for (const Member &M : G.m_members) {
    if (isOnlyUnheard(G, M))
      continue;
    MemberView View = look(G, M);
    if (View == MemberView::Lost || View == MemberView::Elsewhere) {
      enter(G, GroupPhase::Dissolving,
            fmt::format("member {} lost", M.m_id.str()));
      return true;
    }
    if (View == MemberView::Draining) {
      enter(G, GroupPhase::Closing,
            fmt::format("member {} leaves", M.m_id.str()));
      return true;
    }
  }
  return false;
}

void GroupPlanner::stepOpening(Group &G) {
  if (leaveIfBroken(G))
    return;
  const ServerRecord *Head = present(G, G.m_members.front());
  if (Head->m_said.m_group->m_state == MemberState::Open)
    return enter(G, GroupPhase::Serving, "head open");
  order(G, G.m_members.front(), GroupOrderKind::Open);
}

void GroupPlanner::stepServing(Group &G) {
  if (leaveIfBroken(G))
    return;
  MemberState State =
      m_input->m_servers->find(G.head())->m_said.m_group->m_state;
  if (State == MemberState::Broken)
    return enter(G, GroupPhase::Dissolving, "head broke");
  if (State == MemberState::Closing)
    return enter(G, GroupPhase::Closing, "head closes");
  if (State != MemberState::Open)
    enter(G, GroupPhase::Opening, "head closed");
}

void GroupPlanner::stepClosing(Group &G) {
  for (const Member &M : G.m_members) {
    MemberView View = look(G, M);
    if (View == MemberView::Lost || View == MemberView::Elsewhere)
      return enter(G, GroupPhase::Dissolving, "member lost while closing");
  }
  const ServerRecord *Head = present(G, G.m_members.front());
  if (Head == nullptr)
    return enter(G, GroupPhase::Dissolving, "head lost while closing");
  MemberState State = Head->m_said.m_group->m_state;
  if (State != MemberState::Open && State != MemberState::Closing)
    return enter(G, GroupPhase::Dissolving, "head closed");
  if (m_now - G.m_since > m_options.m_closeLimit)
    return enter(G, GroupPhase::Dissolving, "head did not close in time");
  if (State == MemberState::Open)
    order(G, G.m_members.front(), GroupOrderKind::Close);
}

void GroupPlanner::stepDissolving(Group &G) {
  Member &Head = G.m_members.front();
  if (present(G, Head) != nullptr)
    return order(G, Head, GroupOrderKind::Leave);
  bool HeadLost = look(G, Head) == MemberView::Lost;
  if (!HeadLost)
    return;
  // A head that cannot be asked stands still once a member has left it.
  for (std::size_t At = 1; At < G.m_members.size(); ++At) {
    Member &M = G.m_members[At];
    if (present(G, M) != nullptr)
      order(G, M, GroupOrderKind::Leave);
    else if (look(G, M) == MemberView::Elsewhere)
      G.m_abandonedSince = std::min(G.m_abandonedSince, m_now);
  }
}

bool GroupPlanner::finished(const Group &G) const {
  if (G.m_phase != GroupPhase::Dissolving || headServes(G))
    return false;
  for (const auto &[Id, Server] : m_input->m_servers->all())
    if (Server.m_said.m_group &&
        Server.m_said.m_group->isOf(G.m_name, G.m_epoch))
      return false;
  return true;
}

bool GroupPlanner::isFree(const ServerRecord &Server) const {
  const ServerAnnouncement &Said = Server.m_said;
  if (Said.m_draining || Server.isLost(m_now, m_options.m_lostAfter))
    return false;
  for (const auto &[Epoch, G] : m_groups)
    if (G.m_phase != GroupPhase::Dissolving)
      for (const Member &M : G.m_members)
        if (M.m_id == Said.m_id && M.m_bornMillis == Said.m_bornMillis)
          return false;
  if (!Said.m_group)
    return true;
  auto Found = m_groups.find(Said.m_group->m_epoch);
  return Found != m_groups.end() &&
         Found->second.m_phase == GroupPhase::Dissolving &&
         !headServes(Found->second);
}

GroupPlanner::FreeServers
GroupPlanner::freeServers(const ServiceId &Service) const {
  FreeServers Free;
  for (const auto &[Id, Server] : m_input->m_servers->all())
    if (Server.m_said.m_service == Service && isFree(Server))
      Free[Server.m_said.m_fabricDomain].push_back(&Server);
  return Free;
}

double GroupPlanner::supplyRatio(const ServiceEntry &Service,
                                 const EngineModel &Model) const {
  double Supply = 0;
  for (const auto &[Epoch, G] : m_groups)
    if (G.m_service == Service.m_id && G.m_model == Model.m_name &&
        G.m_phase <= GroupPhase::Serving)
      Supply += static_cast<double>(G.m_members.size());
  auto Asked = m_input->m_demand.find(Model.m_name);
  double Demand =
      Asked == m_input->m_demand.end() ? Model.m_share : Asked->second;
  for (const auto &[Domain, Held] : m_reserved)
    if (Held.m_model == Model.m_name)
      Supply += static_cast<double>(Model.m_members);
  constexpr double LeastDemand = 1e-3;
  return Supply / std::max(Demand, LeastDemand);
}

const EngineModel *
GroupPlanner::neediest(const ServiceEntry &Service,
                       const std::set<std::string> &Without) const {
  const EngineModel *Best = nullptr;
  double Least = 0;
  double LeastOfAll = -1;
  for (const EngineModel &Model : Service.m_engine->m_models) {
    double Ratio = supplyRatio(Service, Model);
    if (LeastOfAll < 0 || Ratio < LeastOfAll)
      LeastOfAll = Ratio;
    if (Without.count(Model.m_name) > 0)
      continue;
    if (Best == nullptr || Ratio < Least) {
      Best = &Model;
      Least = Ratio;
    }
  }
  if (Best != nullptr && LeastOfAll > 0 &&
      Least > LeastOfAll * internal::MostOversupply)
    return nullptr;
  return Best;
}

bool GroupPlanner::holdsWeights(const ServerRecord &Server,
                                std::string_view Model) const {
  const ServerAnnouncement &Said = Server.m_said;
  const std::vector<std::string> &Staged = Said.m_stagedModels;
  if (std::find(Staged.begin(), Staged.end(), Model) != Staged.end())
    return true;
  auto Last = m_inMemory.find(Said.m_id);
  return Last != m_inMemory.end() && Last->second.first == Said.m_bornMillis &&
         Last->second.second == Model;
}

std::int64_t GroupPlanner::loadsRunning() const {
  std::int64_t Running = 0;
  for (const auto &[Epoch, G] : m_groups) {
    if (G.m_phase != GroupPhase::Forming)
      continue;
    for (const Member &M : G.m_members) {
      const ServerRecord *Server = m_input->m_servers->find(M.m_id);
      if (Server != nullptr && !holdsWeights(*Server, G.m_model))
        ++Running;
    }
  }
  return Running;
}

void GroupPlanner::formGroups(const ServiceEntry &Service) {
  FreeServers Free = freeServers(Service.m_id);
  std::set<std::string> Without;
  while (const EngineModel *Model = neediest(Service, Without)) {
    if (formOne(Service, *Model, Free))
      continue;
    if (Without.empty() && m_input->m_trafficSeen)
      borrowFor(Service, *Model, Free);
    Without.insert(Model->m_name);
  }
  stageSpares(Service, Free);
  if (!m_input->m_trafficSeen)
    stageSecondModels(Service);
}

void GroupPlanner::stage(const ServerRecord &Server, const EngineModel &Model) {
  m_staging[Server.m_said.m_id] = m_now;
  GroupOrder Order;
  Order.m_kind = GroupOrderKind::Stage;
  Order.m_target = Server.m_said.m_id;
  Order.m_address = Server.m_said.m_address;
  Order.m_model = Model.m_name;
  m_orders.push_back(std::move(Order));
}

void GroupPlanner::stageSecondModels(const ServiceEntry &Service) {
  for (const auto &[Epoch, G] : m_groups) {
    if (G.m_phase != GroupPhase::Serving || G.m_service != Service.m_id)
      continue;
    const EngineModel *Second = nullptr;
    for (const EngineModel &Model : Service.m_engine->m_models)
      if (Model.m_name != G.m_model &&
          (Second == nullptr || Model.m_members > Second->m_members))
        Second = &Model;
    if (Second == nullptr)
      return;
    for (const Member &M : G.m_members) {
      const ServerRecord *Server = present(G, M);
      if (Server != nullptr && !holdsWeights(*Server, Second->m_name) &&
          m_staging.count(M.m_id) == 0)
        stage(*Server, *Second);
    }
  }
}

bool GroupPlanner::eatsSpares(const ServiceEntry &Service,
                              const EngineModel &Model, const FreeServers &Free,
                              std::int64_t Warm) const {
  if (Warm + 1 >= static_cast<std::int64_t>(Model.m_members))
    return false;
  std::size_t Servers = 0;
  for (const auto &[Id, Server] : m_input->m_servers->all())
    if (Server.m_said.m_service == Service.m_id)
      ++Servers;
  std::size_t Left = 0;
  for (const auto &[Domain, Members] : Free)
    Left += Members.size();
  double Spares =
      std::floor(static_cast<double>(Servers) * m_options.m_spareShare);
  return static_cast<double>(Left) - static_cast<double>(Model.m_members) <
         Spares;
}

std::size_t GroupPlanner::warmServers(const EngineModel &Model,
                                      const FreeServers &Free,
                                      const FabricDomainId &Domain,
                                      const Group &Closed) const {
  std::size_t Warm = 0;
  auto Here = Free.find(Domain);
  if (Here != Free.end())
    for (const ServerRecord *Server : Here->second)
      Warm += holdsWeights(*Server, Model.m_name) ? 1 : 0;
  for (const Member &M : Closed.m_members) {
    const ServerRecord *Server = present(Closed, M);
    Warm += Server != nullptr && holdsWeights(*Server, Model.m_name) ? 1 : 0;
  }
  return Warm;
}

void GroupPlanner::borrowFor(const ServiceEntry &Service,
                             const EngineModel &Model,
                             const FreeServers &Free) {
  Group *Best = nullptr;
  std::size_t MostWarm = 0;
  FabricDomainId BestDomain;
  for (auto &[Epoch, G] : m_groups) {
    const EngineModel *Other = Service.m_engine->model(G.m_model);
    if (G.m_phase != GroupPhase::Serving || G.m_service != Service.m_id ||
        Other == nullptr || Other == &Model)
      continue;
    if (supplyRatio(Service, *Other) <
        supplyRatio(Service, Model) * internal::MostOversupply)
      continue;
    const ServerRecord *Head = m_input->m_servers->find(G.head());
    if (Head == nullptr || m_reserved.count(Head->m_said.m_fabricDomain) > 0)
      continue;
    std::size_t Warm = warmServers(Model, Free, Head->m_said.m_fabricDomain, G);
    if (Warm < Model.m_members || Warm < MostWarm)
      continue;
    Best = &G;
    MostWarm = Warm;
    BestDomain = Head->m_said.m_fabricDomain;
  }
  if (Best == nullptr)
    return;
  m_reserved[BestDomain] = {Model.m_name, m_now + m_options.m_reserveFor};
  enter(*Best, GroupPhase::Closing,
        fmt::format("servers for a group of {}", Model.m_name));
}

const EngineModel *
GroupPlanner::modelToStage(const ServiceEntry &Service,
                           const FabricDomainId &Domain) const {
  // The largest groups of the domain are the ones that a spare repairs most
  // often, and the hardest to form anew.
  const EngineModel *Best = nullptr;
  for (const auto &[Epoch, G] : m_groups) {
    const ServerRecord *Head = m_input->m_servers->find(G.head());
    if (Head == nullptr || Head->m_said.m_fabricDomain != Domain)
      continue;
    const EngineModel *Model = Service.m_engine->model(G.m_model);
    if (Model != nullptr &&
        (Best == nullptr || Model->m_members > Best->m_members))
      Best = Model;
  }
  return Best;
}

void GroupPlanner::stageSpares(const ServiceEntry &Service,
                               const FreeServers &Free) {
  std::int64_t Running = loadsRunning();
  for (const auto &[Domain, Servers] : Free) {
    const EngineModel *Model = modelToStage(Service, Domain);
    if (Model == nullptr)
      continue;
    for (const ServerRecord *Server : Servers) {
      const ServerAnnouncement &Said = Server->m_said;
      if (!Said.m_stagedModels.empty() || Said.m_group)
        continue;
      auto [Told, New] = m_staging.try_emplace(Said.m_id, absl::InfinitePast());
      if (m_now - Told->second < Model->m_loadTime + m_options.m_formingSlack)
        continue;
      if (m_input->m_trafficSeen &&
          (Running >= Service.m_engine->m_loadsAtOnce ||
           !m_pacer.tryTake(m_now, 1)))
        return;
      ++Running;
      stage(*Server, *Model);
    }
  }
  auto Unknown = [this](const auto &Entry) {
    return m_input->m_servers->find(Entry.first) == nullptr;
  };
  std::erase_if(m_staging, Unknown);
  std::erase_if(m_inMemory, Unknown);
}

bool GroupPlanner::formOne(const ServiceEntry &Service,
                           const EngineModel &Model, FreeServers &Free) {
  std::vector<const ServerRecord *> *Best = nullptr;
  FabricDomainId BestDomain;
  std::pair<std::int64_t, std::size_t> BestScore;
  for (auto &[Domain, Servers] : Free) {
    if (Servers.size() < Model.m_members)
      continue;
    auto Held = m_reserved.find(Domain);
    if (Held != m_reserved.end() && Held->second.m_model != Model.m_name)
      continue;
    std::int64_t Warm = std::count_if(
        Servers.begin(), Servers.end(), [&](const ServerRecord *Server) {
          return holdsWeights(*Server, Model.m_name);
        });
    Warm = std::min<std::int64_t>(Warm,
                                  static_cast<std::int64_t>(Model.m_members));
    // Most copies at hand first, then the domain that is left with the fewest
    // free servers.
    std::pair Score{-Warm, Servers.size()};
    if (Best == nullptr || Score < BestScore) {
      Best = &Servers;
      BestDomain = Domain;
      BestScore = Score;
    }
  }
  if (Best == nullptr || eatsSpares(Service, Model, Free, -BestScore.first))
    return false;
  std::stable_sort(Best->begin(), Best->end(),
                   [&](const ServerRecord *A, const ServerRecord *B) {
                     return holdsWeights(*A, Model.m_name) >
                            holdsWeights(*B, Model.m_name);
                   });
  double Loads = static_cast<double>(Model.m_members) +
                 static_cast<double>(BestScore.first);
  m_pacer.setRate(Service.m_engine->m_loadsPerSecond);
  if (Loads > 0 && m_input->m_trafficSeen &&
      (loadsRunning() >= Service.m_engine->m_loadsAtOnce ||
       !m_pacer.tryTake(m_now, Loads)))
    return false;
  m_reserved.erase(BestDomain);
  Group G;
  G.m_epoch = m_nextEpoch++;
  G.m_name = fmt::format("g{}", G.m_epoch);
  G.m_service = Service.m_id;
  G.m_model = Model.m_name;
  G.m_loadTime = Model.m_loadTime;
  for (std::size_t At = 0; At < Model.m_members; ++At) {
    const ServerAnnouncement &Said = (*Best)[At]->m_said;
    Member M;
    M.m_id = Said.m_id;
    M.m_bornMillis = Said.m_bornMillis;
    G.m_members.push_back(std::move(M));
  }
  Best->erase(Best->begin(),
              Best->begin() + static_cast<std::ptrdiff_t>(Model.m_members));
  Group &Added = m_groups.emplace(G.m_epoch, std::move(G)).first->second;
  enter(Added, GroupPhase::Forming,
        fmt::format("{} members, {} loads", Added.m_members.size(), Loads));
  for (Member &M : Added.m_members)
    order(Added, M, GroupOrderKind::Join);
  return true;
}

} // namespace turmericdyke
