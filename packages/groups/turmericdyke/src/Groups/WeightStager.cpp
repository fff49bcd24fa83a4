#include "turmericdyke/src/Groups/WeightStager.h"

#include <algorithm>
#include <utility>

#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Groups/GroupPlanner.h"

namespace turmericdyke {

namespace internal {
namespace {

/// What a server loses by fetching another model, as a host keeps one copy: 0
/// for nothing, 1 for a copy on the host that is also in memory, 2 for the only
/// copy.
int evictionCost(const ServerRecord &Server) {
  if (Server.m_announcement.m_stagedModels.empty())
    return 0;
  return Server.m_modelInMemory == Server.m_announcement.m_stagedModels.front()
             ? 1
             : 2;
}

} // namespace
} // namespace internal

WeightStager::WeightStager(WeightStagerOptions Options) : m_options(Options) {}

void WeightStager::removeFinished(Instant Now, const StagingInput &Input) {
  std::erase_if(m_fetches, [&](const auto &Entry) {
    const auto &[Id, State] = Entry;
    const ServerRecord *Server = Input.m_servers->find(Id);
    if (Server == nullptr ||
        Server->m_announcement.m_startMillis != State.m_startMillis)
      return true;
    const std::vector<std::string> &Staged =
        Server->m_announcement.m_stagedModels;
    return Now >= State.m_deadline || std::find(Staged.begin(), Staged.end(),
                                                State.m_model) != Staged.end();
  });
}

bool WeightStager::isFetching(const ServerRecord &Server) const {
  return m_fetches.count(Server.m_announcement.m_id) > 0;
}

bool WeightStager::willHold(const ServerRecord &Server,
                            const EngineModel &Model) const {
  auto Found = m_fetches.find(Server.m_announcement.m_id);
  if (Found != m_fetches.end())
    return Found->second.m_model == Model.m_name ||
           Server.m_modelInMemory == Model.m_name;
  return Server.holdsWeights(Model.m_name);
}

bool WeightStager::tryAcquireFetch(Instant Now, const StagingInput &Input,
                                   std::int64_t Reserved) {
  if (!Input.m_trafficSeen)
    return true;
  return static_cast<std::int64_t>(m_fetches.size()) + Reserved <
             Input.m_service->m_engine->m_maxConcurrentLoads &&
         m_rateLimiter.tryTake(Now, 1);
}

void WeightStager::startFetch(Instant Now, const ServerRecord &Server,
                              const EngineModel &Model) {
  m_fetches[Server.m_announcement.m_id] = {
      Server.m_announcement.m_startMillis, Model.m_name,
      Now + Model.m_loadTime * m_options.m_fetchTimeoutLoadTimes};
  m_orders.push_back({&Server, &Model});
}

bool WeightStager::stageIdle(Instant Now, const StagingInput &Input,
                             ModelBalance &Balance,
                             std::vector<const ServerRecord *> Idle) {
  while (!Idle.empty()) {
    const EngineModel *Wanted = nullptr;
    for (const EngineModel *Model : Balance.scarcestFirst())
      if (Wanted == nullptr && Model->m_members <= Idle.size())
        Wanted = Model;
    // Too few servers for a group of any model: keep them as spares for the
    // worst supplied one.
    if (Wanted == nullptr)
      Wanted = Balance.scarcestFirst().front();
    auto Cost = [&](const ServerRecord *Server) {
      return std::pair(!willHold(*Server, *Wanted),
                       internal::evictionCost(*Server));
    };
    std::stable_sort(Idle.begin(), Idle.end(),
                     [&](const ServerRecord *A, const ServerRecord *B) {
                       return Cost(A) < Cost(B);
                     });
    std::size_t Members = std::min(Wanted->m_members, Idle.size());
    bool FillsGroup = Members == Wanted->m_members;
    for (std::size_t At = 0; At < Members; ++At) {
      const ServerRecord &Server = *Idle[At];
      // A spare that already holds some model keeps it.
      if (willHold(Server, *Wanted) || isFetching(Server) ||
          (!FillsGroup && internal::evictionCost(Server) > 0))
        continue;
      if (!tryAcquireFetch(Now, Input, 0))
        return false;
      startFetch(Now, Server, *Wanted);
    }
    Balance.add(*Wanted, Members);
    Idle.erase(Idle.begin(),
               Idle.begin() + static_cast<std::ptrdiff_t>(Members));
  }
  return true;
}

bool WeightStager::stageMove(Instant Now, const StagingInput &Input,
                             const StagingDemand &Move) {
  auto Missing = static_cast<std::int64_t>(Move.m_count);
  for (const ServerRecord *Server : Move.m_candidates)
    Missing -= willHold(*Server, *Move.m_model) ? 1 : 0;
  for (const ServerRecord *Server : Move.m_candidates) {
    if (Missing <= 0)
      break;
    if (willHold(*Server, *Move.m_model) || isFetching(*Server))
      continue;
    if (!tryAcquireFetch(Now, Input, 0))
      return false;
    startFetch(Now, *Server, *Move.m_model);
    --Missing;
  }
  return true;
}

void WeightStager::stageSecondModels(Instant Now, const StagingInput &Input) {
  std::vector<const EngineModel *> ScarcestFirst =
      Input.m_balance.scarcestFirst();
  for (const ServerRecord *Server : Input.m_serving) {
    if (isFetching(*Server) || Server->m_modelInMemory.empty() ||
        internal::evictionCost(*Server) == 2)
      continue;
    auto Second =
        std::find_if(ScarcestFirst.begin(), ScarcestFirst.end(),
                     [&](const EngineModel *Model) {
                       return Model->m_name != Server->m_modelInMemory;
                     });
    if (Second == ScarcestFirst.end() ||
        Server->holdsWeights((*Second)->m_name))
      continue;
    if (!tryAcquireFetch(Now, Input, m_options.m_fetchesReservedForIdle))
      return;
    startFetch(Now, *Server, **Second);
  }
}

std::vector<StagingOrder> WeightStager::planFetches(Instant Now,
                                                    const StagingInput &Input) {
  m_rateLimiter.setRate(Input.m_service->m_engine->m_loadsPerSecond);
  removeFinished(Now, Input);
  ModelBalance Balance = Input.m_balance;
  bool HasCapacity = true;
  for (const auto &[Domain, Idle] : Input.m_idle)
    HasCapacity = HasCapacity && stageIdle(Now, Input, Balance, Idle);
  for (const StagingDemand &Move : Input.m_moves)
    HasCapacity = HasCapacity && stageMove(Now, Input, Move);
  if (HasCapacity && Input.m_moves.empty())
    stageSecondModels(Now, Input);
  return std::exchange(m_orders, {});
}

void WeightStager::onOrderResult(Instant Now, const TargetId &Target,
                                 OrderResult Result) {
  auto Found = m_fetches.find(Target);
  if (Found != m_fetches.end() && Result != OrderResult::Accepted)
    Found->second.m_deadline =
        std::min(Found->second.m_deadline, Now + m_options.m_resendAfter);
}

} // namespace turmericdyke
