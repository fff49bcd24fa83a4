#include "turmericdyke/src/Groups/GroupPlanner.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "turmericdyke/src/Groups/GroupMoves.h"
#include "turmericdyke/src/Groups/ModelDemand.h"

namespace turmericdyke {

bool GroupPlanner::followsDemand(const ServiceEntry &Service) const {
  return m_input->m_demand != nullptr &&
         m_input->m_demand->isAdjusted(Service.m_id);
}

MoveInput GroupPlanner::moveInput(const ServiceEntry &Service,
                                  const FreeServers &Free) {
  const ModelDemand &Demand = *m_input->m_demand;
  MoveInput Input{Service.m_engine ? &*Service.m_engine : nullptr,
                  modelBalance(Service), Demand.measuredBalance(Service)};
  countServers(Service, Input.m_measured);
  for (const ModelNeed &Need : Demand.needs(Service.m_id))
    Input.m_kept[Need.m_model] = Need.m_servers * m_options.m_keptNeed;
  for (const auto &[Id, Groups] : servingGroups(Service)) {
    if (m_reserved.count(Id) > 0)
      continue;
    MoveDomain Domain;
    Domain.m_id = Id;
    if (auto InDomain = Free.find(Id); InDomain != Free.end())
      Domain.m_free = InDomain->second;
    for (const Group *G : Groups) {
      MoveDonor Donor;
      Donor.m_epoch = G->m_epoch;
      Donor.m_model = Service.m_engine->model(G->m_model);
      for (const Member &M : G->m_members)
        if (const ServerRecord *Server = liveMember(*G, M))
          Donor.m_members.push_back(Server);
      if (Donor.m_model != nullptr)
        Domain.m_groups.push_back(std::move(Donor));
    }
    Input.m_domains.push_back(std::move(Domain));
  }
  return Input;
}

std::vector<GroupMove> GroupPlanner::moveGroups(const ServiceEntry &Service,
                                                const FreeServers &Free) {
  MoveInput Input = moveInput(Service, Free);
  std::size_t Servers = 0;
  for (const auto &[Id, Server] : m_input->m_servers->all())
    Servers += Server.m_announcement.m_service == Service.m_id ? 1 : 0;
  std::size_t Changing = 0;
  for (const auto &[Id, Reserved] : m_reserved)
    if (const EngineModel *Model = Service.m_engine->model(Reserved.m_model))
      Changing += Model->m_members * Reserved.m_groups;
  for (const auto &[Epoch, G] : m_groups)
    if (G.m_service == Service.m_id && G.m_phase < GroupPhase::Serving)
      Changing += G.m_members.size();
  auto Limit = static_cast<std::size_t>(static_cast<double>(Servers) *
                                        m_options.m_movingShare);
  if (Changing == 0)
    for (const EngineModel &Model : Service.m_engine->m_models)
      Limit = std::max(Limit, Model.m_members);
  Input.m_changeLimit = Limit > Changing ? Limit - Changing : 0;
  std::vector<GroupMove> Moves = chooseMoves(
      Input, [this](const ServerRecord &Server, const EngineModel &Model) {
        return m_stager.willHold(Server, Model);
      });
  if (Moves.empty())
    m_wantedMoves.erase(Service.m_id);
  else if (!moveIsDue(Service, *Moves.front().m_model))
    return {};
  for (const GroupMove &Move : Moves)
    if (Move.m_ready)
      closeForMove(Move);
  std::erase_if(Moves, [](const GroupMove &Move) { return Move.m_ready; });
  return Moves;
}

bool GroupPlanner::moveIsDue(const ServiceEntry &Service,
                             const EngineModel &Receiver) {
  WantedMove &Wanted = m_wantedMoves[Service.m_id];
  Instant Changed = m_input->m_demand->lastChange(Service.m_id);
  if (Wanted.m_model != Receiver.m_name) {
    Wanted = {Receiver.m_name, m_now};
    if (m_now - Changed < m_options.m_moveDelay)
      Wanted.m_since = Changed;
  }
  return Wanted.m_since <= Changed ||
         m_now - Wanted.m_since >= m_options.m_moveDelay;
}

void GroupPlanner::closeForMove(const GroupMove &Move) {
  Reservation &Reserved = m_reserved[Move.m_domain];
  Reserved.m_model = Move.m_model->m_name;
  Reserved.m_until =
      m_now + m_options.m_closeTimeout + m_options.m_moveReservationTime;
  Reserved.m_groups = Move.m_groups;
  Reserved.m_move = true;
  for (std::uint64_t Epoch : Move.m_closed)
    enterPhase(m_groups.at(Epoch), GroupPhase::Closing,
               fmt::format("demand for {} needs its servers, for {} groups",
                           Move.m_model->m_name, Move.m_groups));
}

void GroupPlanner::addMoves(absl::Span<const GroupMove> Moves,
                            StagingInput &Input) const {
  std::erase_if(Input.m_idle, [this](const auto &Entry) {
    auto Reserved = m_reserved.find(Entry.first);
    return Reserved != m_reserved.end() && Reserved->second.m_move;
  });
  for (const GroupMove &Move : Moves)
    Input.m_moves.push_back({Move.m_model, Move.m_candidates, Move.m_members});
}

} // namespace turmericdyke
