#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"
#include "absl/types/span.h"

namespace turmericdyke {

enum class RouteKind;
struct PlacementOption;

/// Why a running attempt may be given up for another target.
enum class MoveCause {
  /// The target accepts no new requests and finishes the running ones.
  Closing,
  /// The streams of the target are silent.
  Silent
};

std::string_view nameOf(MoveCause Value);

/// Whether a running attempt is given up for another target, or why it is kept.
enum class MoveDecision {
  Move,
  /// The request may not run again, or is no stream and its target only closes.
  KeepKind,
  /// No further attempt may be sent: the node has no lease, or the request is
  /// refused.
  KeepNotPermitted,
  /// All attempts of the route are used.
  KeepNoAttempt,
  /// Too little time is left for another attempt.
  KeepNoTime,
  /// The retry budget is spent.
  KeepNoBudget,
  /// No other target can take over.
  KeepNoTarget
};

std::string_view nameOf(MoveDecision Value);

/// Input of `decideMove`.
struct MoveInput {
  MoveCause m_cause = MoveCause::Silent;
  RouteKind m_kind{};
  bool m_resumable = false;
  bool m_permitted = true;
  /// Attempts so far, including the running one.
  std::int64_t m_attempts = 1;
  std::int64_t m_maxAttempts = 1;
  /// Retries that the budget of this node holds.
  double m_retries = 0;
  absl::Duration m_timeLeft = absl::ZeroDuration();
  /// For how long the target has sent nothing although it should have.
  absl::Duration m_silence = absl::ZeroDuration();
  /// This node is cut off from the targets, and another entry node would take
  /// over.
  bool m_passesOn = false;
};

struct MoveChoice {
  MoveDecision m_decision = MoveDecision::KeepNoTarget;
  /// Index of the target that takes over, unless another entry node does.
  std::size_t m_index = 0;
};

/// Decides whether a running attempt may be given up for one of the other
/// targets. It is kept unless another target can take over, because its own
/// target may go on.
MoveChoice decideMove(const MoveInput &Input,
                      absl::Span<const PlacementOption> Options,
                      absl::BitGenRef Random);

} // namespace turmericdyke
