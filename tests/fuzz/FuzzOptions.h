#pragma once

#include <cstdint>

#include "turmericdyke/Formation"
#include "turmericdyke/src/Consensus/RaftOptions.h"
#include "turmericdyke/src/Control/ControlState.h"

namespace turmericdyke::fuzz {

/// Options of one run. Each of the switches below disables a safety check, to
/// prove that the oracle detects the violations that result.
struct FuzzOptions {
  std::uint64_t m_seed = 1;
  bool m_trace = false;

  /// Starts work without checking the read lease.
  bool m_skipLeaseCheck = false;
  /// Checks the read lease and the age of the view only when a request arrives,
  /// and not again when an attempt starts after a wait.
  bool m_skipRecheck = false;
  /// Starts work based on a view of any age.
  bool m_skipViewAge = false;
  /// Sends a once-only call before its record is committed.
  bool m_skipCommitWait = false;
  /// Sends messages without persisting anything first.
  bool m_skipPersist = false;
  /// Targets that check fencing tokens carry out every order.
  bool m_skipFenceCheck = false;
  /// Accepts answers that belong to another attempt.
  bool m_skipEchoCheck = false;
  /// Reports every failed attempt as not run.
  bool m_skipOutcome = false;
  /// Keeps routing by the first view that contains replicas.
  bool m_keepOldView = false;
  /// Gives one voter a leader lease that is longer than the election timeout of
  /// the others.
  bool m_longLease = false;
  internal::ControlTestHooks m_control;
  internal::PlannerTestHooks m_planner;
};

} // namespace turmericdyke::fuzz
