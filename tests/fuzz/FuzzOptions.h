#pragma once

#include <cstdint>

#include "turmericdyke/Formation"
#include "turmericdyke/src/Consensus/RaftOptions.h"
#include "turmericdyke/src/Control/ControlState.h"

namespace turmericdyke::fuzz {

/// One run, and the guard that it breaks to prove that the oracle notices.
struct FuzzOptions {
  std::uint64_t m_seed = 1;
  bool m_trace = false;

  /// Starts work without looking at the read lease.
  bool m_skipLeaseCheck = false;
  /// Looks at the read lease and the age of the view when a request arrives,
  /// and not again when an attempt starts after a wait.
  bool m_skipRecheck = false;
  /// Starts work by a view of any age.
  bool m_skipViewAge = false;
  /// Makes a once-only call before its record is committed.
  bool m_skipCommitWait = false;
  /// Sends without having persisted anything.
  bool m_skipPersist = false;
  /// Targets that check fencing numbers follow every order.
  bool m_skipFenceCheck = false;
  /// Takes any answer for the own one.
  bool m_skipEchoCheck = false;
  /// Reports every failed attempt as not run.
  bool m_skipOutcome = false;
  /// Routes by the first view of a replica for good.
  bool m_keepOldView = false;
  /// The lease of one voter is longer than the election timeout of the others.
  bool m_longLease = false;
  internal::ControlTestHooks m_control;
  internal::PlannerTestHooks m_planner;
};

} // namespace turmericdyke::fuzz
