#include "turmericdyke/src/Groups/GroupMoves.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "absl/types/span.h"
#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Groups/ServerDirectory.h"

namespace turmericdyke {

namespace internal {
namespace {

/// A move must raise the supply of the worse supplied of its two models by this
/// factor. As every move raises it, no move can be followed by its reverse
/// while the shares stay.
constexpr double MinImprovement = 1.05;
/// Moves that are prepared at the same time.
constexpr std::size_t MaxPreparedMoves = 6;

using HoldsWeights =
    absl::FunctionRef<bool(const ServerRecord &, const EngineModel &)>;

/// Moves with a lower cost come first: servers left idle, members that nobody
/// fetches the weights for yet, and members that do not hold them yet.
using MoveCost = std::tuple<std::int64_t, std::size_t, std::size_t>;

struct PossibleMove {
  GroupMove m_move;
  const EngineModel *m_donor = nullptr;
  MoveCost m_cost;
  std::size_t m_released = 0;
};

std::size_t missingOf(std::size_t Wanted, std::size_t Present) {
  return Wanted > Present ? Wanted - Present : 0;
}

/// Groups of `Receiver` that take the place of groups of `Donor` in the domain;
/// nothing if it has too few of these.
std::optional<PossibleMove> moveIn(const MoveDomain &Domain,
                                   const EngineModel &Donor,
                                   const EngineModel &Receiver,
                                   HoldsWeights WillHold) {
  std::size_t Spare = Domain.m_free.size() % Receiver.m_members;
  std::size_t Closed = std::max<std::size_t>(
      1, (Receiver.m_members - Spare + Donor.m_members - 1) / Donor.m_members);
  std::vector<std::pair<std::size_t, const MoveDonor *>> Donors;
  for (const MoveDonor &Group : Domain.m_groups) {
    if (Group.m_model != &Donor)
      continue;
    std::int64_t Held = std::count_if(
        Group.m_members.begin(), Group.m_members.end(),
        [&](const ServerRecord *S) { return WillHold(*S, Receiver); });
    Donors.emplace_back(
        missingOf(Group.m_members.size(), static_cast<std::size_t>(Held)),
        &Group);
  }
  if (Donors.size() < Closed)
    return std::nullopt;
  std::stable_sort(
      Donors.begin(), Donors.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  PossibleMove Possible;
  GroupMove &Move = Possible.m_move;
  Move.m_domain = Domain.m_id;
  Move.m_model = &Receiver;
  Move.m_candidates = Domain.m_free;
  for (std::size_t At = 0; At < Closed; ++At) {
    const MoveDonor &Group = *Donors[At].second;
    Move.m_closed.push_back(Group.m_epoch);
    Move.m_candidates.insert(Move.m_candidates.end(), Group.m_members.begin(),
                             Group.m_members.end());
  }
  Possible.m_donor = &Donor;
  Possible.m_released = Closed * Donor.m_members;
  Move.m_groups = (Possible.m_released + Spare) / Receiver.m_members;
  Move.m_members = Move.m_groups * Receiver.m_members;
  std::size_t Coming = 0;
  std::size_t Holding = 0;
  for (const ServerRecord *Server : Move.m_candidates) {
    Coming += WillHold(*Server, Receiver) ? 1 : 0;
    Holding += Server->holdsWeights(Receiver.m_name) ? 1 : 0;
  }
  Move.m_ready = Holding >= Move.m_members;
  Possible.m_cost = {static_cast<std::int64_t>(Possible.m_released) -
                         static_cast<std::int64_t>(Move.m_members),
                     missingOf(Move.m_members, Coming),
                     missingOf(Move.m_members, Holding)};
  return Possible;
}

/// Whether the move raises the lesser supply of both models by this factor.
bool improves(ModelBalance Balance, const EngineModel &Donor,
              const EngineModel &Receiver, const PossibleMove &Possible,
              double Factor) {
  auto Least = [&] {
    return std::min(Balance.serversPerShare(Donor),
                    Balance.serversPerShare(Receiver));
  };
  double Before = Least();
  Balance.remove(Donor, Possible.m_released);
  Balance.add(Receiver, Possible.m_move.m_members);
  return Least() >= Before * Factor;
}

bool keepsNeed(const MoveInput &Input, const ModelBalance &Balance,
               const EngineModel &Donor, const PossibleMove &Possible) {
  double Remaining =
      Balance.servers(Donor) - static_cast<double>(Possible.m_released);
  auto Kept = Input.m_kept.find(Donor.m_name);
  return Remaining >= static_cast<double>(Donor.m_members) &&
         (Kept == Input.m_kept.end() || Remaining >= Kept->second);
}

/// The cheapest move to the worst supplied model; nothing if none helps.
std::optional<PossibleMove> nextMove(const MoveInput &Input,
                                     const ModelBalance &Balance,
                                     const ModelBalance &Measured,
                                     absl::Span<const GroupMove> Chosen,
                                     HoldsWeights WillHold) {
  std::vector<const EngineModel *> Models = Balance.scarcestFirst();
  const EngineModel &Receiver = *Models.front();
  for (auto Donor = Models.rbegin(); *Donor != &Receiver; ++Donor) {
    std::optional<PossibleMove> Best;
    for (const MoveDomain &Domain : Input.m_domains) {
      if (std::any_of(Chosen.begin(), Chosen.end(), [&](const GroupMove &M) {
            return M.m_domain == Domain.m_id;
          }))
        continue;
      std::optional<PossibleMove> Possible =
          moveIn(Domain, **Donor, Receiver, WillHold);
      if (Possible &&
          improves(Balance, **Donor, Receiver, *Possible, MinImprovement) &&
          improves(Measured, **Donor, Receiver, *Possible, 1) &&
          keepsNeed(Input, Balance, **Donor, *Possible) &&
          (!Best || Possible->m_cost < Best->m_cost))
        Best = std::move(Possible);
    }
    if (Best)
      return Best;
  }
  return std::nullopt;
}

} // namespace
} // namespace internal

std::vector<GroupMove>
chooseMoves(const MoveInput &Input,
            absl::FunctionRef<bool(const ServerRecord &, const EngineModel &)>
                WillHold) {
  std::vector<GroupMove> Chosen;
  if (Input.m_engine->m_models.size() < 2)
    return Chosen;
  ModelBalance Balance = Input.m_balance;
  ModelBalance Measured = Input.m_measured;
  std::size_t Changing = 0;
  while (Chosen.size() < internal::MaxPreparedMoves) {
    std::optional<internal::PossibleMove> Next =
        internal::nextMove(Input, Balance, Measured, Chosen, WillHold);
    if (!Next)
      break;
    GroupMove &Move = Next->m_move;
    for (ModelBalance *Each : {&Balance, &Measured}) {
      Each->remove(*Next->m_donor, Next->m_released);
      Each->add(*Move.m_model, Move.m_members);
    }
    std::size_t Servers = std::max(Next->m_released, Move.m_members);
    Move.m_ready = Move.m_ready && Changing + Servers <= Input.m_changeLimit;
    Changing += Move.m_ready ? Servers : 0;
    Chosen.push_back(std::move(Move));
  }
  return Chosen;
}

} // namespace turmericdyke
