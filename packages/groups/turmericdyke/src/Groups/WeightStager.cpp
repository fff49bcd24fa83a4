#include "turmericdyke/src/Groups/WeightStager.h"

#include <algorithm>
#include <utility>

#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Groups/GroupPlanner.h"

namespace turmericdyke {

namespace internal {
namespace {

/// What a server would lose by fetching another model: nothing, a copy on its
/// host that is also in its memory, or a copy of its own. A host keeps one
/// copy.
int lossByFetch(const ServerRecord &Server) {
  if (Server.m_said.m_stagedModels.empty())
    return 0;
  return Server.m_modelInMemory == Server.m_said.m_stagedModels.front() ? 1 : 2;
}

} // namespace
} // namespace internal

WeightStager::WeightStager(WeightStagerOptions Options) : m_options(Options) {}

void WeightStager::forgetEnded(Instant Now, const StagingInput &Input) {
  std::erase_if(m_fetches, [&](const auto &Entry) {
    const auto &[Id, State] = Entry;
    const ServerRecord *Server = Input.m_servers->find(Id);
    if (Server == nullptr || Server->m_said.m_bornMillis != State.m_bornMillis)
      return true;
    const std::vector<std::string> &Staged = Server->m_said.m_stagedModels;
    return Now >= State.m_until || std::find(Staged.begin(), Staged.end(),
                                             State.m_model) != Staged.end();
  });
}

bool WeightStager::fetches(const ServerRecord &Server) const {
  return m_fetches.count(Server.m_said.m_id) > 0;
}

bool WeightStager::willHold(const ServerRecord &Server,
                            const EngineModel &Model) const {
  auto Found = m_fetches.find(Server.m_said.m_id);
  if (Found != m_fetches.end())
    return Found->second.m_model == Model.m_name ||
           Server.m_modelInMemory == Model.m_name;
  return Server.holdsWeights(Model.m_name);
}

bool WeightStager::mayBegin(Instant Now, const StagingInput &Input,
                            std::int64_t Kept) {
  if (!Input.m_trafficSeen)
    return true;
  return static_cast<std::int64_t>(m_fetches.size()) + Kept <
             Input.m_service->m_engine->m_loadsAtOnce &&
         m_pacer.tryTake(Now, 1);
}

void WeightStager::begin(Instant Now, const ServerRecord &Server,
                         const EngineModel &Model) {
  m_fetches[Server.m_said.m_id] = {Server.m_said.m_bornMillis, Model.m_name,
                                   Now + Model.m_loadTime *
                                             m_options.m_patienceLoadTimes};
  m_orders.push_back({&Server, &Model});
}

bool WeightStager::stageIdle(Instant Now, const StagingInput &Input,
                             ModelBalance &Balance,
                             std::vector<const ServerRecord *> Idle) {
  while (!Idle.empty()) {
    const EngineModel *Wanted = nullptr;
    for (const EngineModel *Model : Balance.byNeed())
      if (Wanted == nullptr && Model->m_members <= Idle.size())
        Wanted = Model;
    // Too few for a group of any model: spares for the worst supplied one.
    if (Wanted == nullptr)
      Wanted = Balance.byNeed().front();
    auto Rank = [&](const ServerRecord *Server) {
      return std::pair(!willHold(*Server, *Wanted),
                       internal::lossByFetch(*Server));
    };
    std::stable_sort(Idle.begin(), Idle.end(),
                     [&](const ServerRecord *A, const ServerRecord *B) {
                       return Rank(A) < Rank(B);
                     });
    std::size_t Members = std::min(Wanted->m_members, Idle.size());
    bool Group = Members == Wanted->m_members;
    for (std::size_t At = 0; At < Members; ++At) {
      const ServerRecord &Server = *Idle[At];
      // A spare that holds some model already is left as it is.
      if (willHold(Server, *Wanted) || fetches(Server) ||
          (!Group && internal::lossByFetch(Server) > 0))
        continue;
      if (!mayBegin(Now, Input, 0))
        return false;
      begin(Now, Server, *Wanted);
    }
    Balance.add(*Wanted, Members);
    Idle.erase(Idle.begin(),
               Idle.begin() + static_cast<std::ptrdiff_t>(Members));
  }
  return true;
}

void WeightStager::stageSecondModels(Instant Now, const StagingInput &Input) {
  std::vector<const EngineModel *> ByNeed = Input.m_balance.byNeed();
  for (const ServerRecord *Server : Input.m_serving) {
    if (fetches(*Server) || Server->m_modelInMemory.empty() ||
        internal::lossByFetch(*Server) == 2)
      continue;
    auto Second = std::find_if(
        ByNeed.begin(), ByNeed.end(), [&](const EngineModel *Model) {
          return Model->m_name != Server->m_modelInMemory;
        });
    if (Second == ByNeed.end() || Server->holdsWeights((*Second)->m_name))
      continue;
    if (!mayBegin(Now, Input, m_options.m_keptForIdle))
      return;
    begin(Now, *Server, **Second);
  }
}

std::vector<StagingOrder> WeightStager::choose(Instant Now,
                                               const StagingInput &Input) {
  m_pacer.setRate(Input.m_service->m_engine->m_loadsPerSecond);
  forgetEnded(Now, Input);
  ModelBalance Balance = Input.m_balance;
  bool Room = true;
  for (const auto &[Domain, Idle] : Input.m_idle)
    Room = Room && stageIdle(Now, Input, Balance, Idle);
  if (Room)
    stageSecondModels(Now, Input);
  return std::exchange(m_orders, {});
}

void WeightStager::answered(Instant Now, const TargetId &Target,
                            OrderAnswer Answer) {
  auto Found = m_fetches.find(Target);
  if (Found != m_fetches.end() && Answer != OrderAnswer::Accepted)
    Found->second.m_until =
        std::min(Found->second.m_until, Now + m_options.m_resendAfter);
}

} // namespace turmericdyke
