#include "turmericdyke/src/Serving/MoveDecision.h"

#include <vector>

#include "turmericdyke/src/Base/SoundSilence.h"
#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Serving/Placement.h"
#include "turmericdyke/src/Serving/RetryDecision.h"

namespace turmericdyke {

namespace internal {
namespace {

/// While its target may be sound, an attempt leaves it only for a target that
/// keeps this fraction of its slots free: a rejection there may be the end of
/// the request.
constexpr double SpareSlotFraction = 0.25;
/// Retries that this node reserves for failures when streams leave a closing
/// target.
constexpr double RetriesReservedForFailures = 3;
/// A new attempt needs this long to connect, read a short prompt and send an
/// event.
constexpr absl::Duration MinTimeToMove = absl::Milliseconds(300);

bool mayBeSound(const MoveInput &Input) {
  return Input.m_cause == MoveCause::Closing ||
         Input.m_silence < MaxSoundSilence;
}

double neededRetries(MoveCause Cause) {
  return Cause == MoveCause::Closing ? RetriesReservedForFailures : 1;
}

MoveChoice chooseSuccessor(const MoveInput &Input,
                           absl::Span<const PlacementOption> Options,
                           absl::BitGenRef Random) {
  bool MayBeSound = mayBeSound(Input);
  std::vector<PlacementOption> Suitable;
  std::vector<std::size_t> Indexes;
  for (std::size_t At = 0; At < Options.size(); ++At) {
    // A silent target is no better than the present one.
    if (Options[At].m_quiet || (MayBeSound && Options[At].m_avoided))
      continue;
    Suitable.push_back(Options[At]);
    Indexes.push_back(At);
  }
  PlacementOptions Settings;
  if (MayBeSound)
    Settings.m_waitingPerSlot = -SpareSlotFraction;
  PlacementDecision Placement = place(Suitable, Settings, Random);
  if (Placement.m_outcome != PlacementOutcome::Placed)
    return {MoveDecision::KeepNoTarget, 0};
  return {MoveDecision::Move, Indexes[Placement.m_index]};
}

} // namespace
} // namespace internal

std::string_view nameOf(MoveCause Value) {
  constexpr std::string_view Names[] = {"closing", "silent"};
  return Names[static_cast<std::size_t>(Value)];
}

std::string_view nameOf(MoveDecision Value) {
  constexpr std::string_view Names[] = {
      "move",    "kind",      "not_permitted", "no_attempt",
      "no_time", "no_budget", "no_target"};
  return Names[static_cast<std::size_t>(Value)];
}

MoveChoice decideMove(const MoveInput &Input,
                      absl::Span<const PlacementOption> Options,
                      absl::BitGenRef Random) {
  // A response that is no stream is short, so a closing target finishes it.
  if (!mayRunAgain(Input.m_kind, Input.m_resumable) ||
      (Input.m_cause == MoveCause::Closing &&
       Input.m_kind != RouteKind::Stream))
    return {MoveDecision::KeepKind, 0};
  if (!Input.m_permitted)
    return {MoveDecision::KeepNotPermitted, 0};
  if (Input.m_attempts >= Input.m_maxAttempts)
    return {MoveDecision::KeepNoAttempt, 0};
  if (Input.m_timeLeft < internal::MinTimeToMove)
    return {MoveDecision::KeepNoTime, 0};
  if (Input.m_retries < internal::neededRetries(Input.m_cause))
    return {MoveDecision::KeepNoBudget, 0};
  if (Input.m_passesOn)
    return {MoveDecision::Move, 0};
  return internal::chooseSuccessor(Input, Options, Random);
}

} // namespace turmericdyke
