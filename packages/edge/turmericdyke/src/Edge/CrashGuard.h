#pragma once

#include <string>

#include "turmericdyke/src/Control/Command.h"
#include "turmericdyke/src/Edge/ClusterView.h"

namespace turmericdyke {

class ControlPort;
struct EdgeServices;

/// Prevents a request that crashes its target from crashing one replica after
/// another. A request whose target died is marked as a suspect in the
/// replicated log before it is retried. A suspect request runs alone on its
/// replica, and is refused after a second crash.
class CrashGuard {
public:
  CrashGuard(EdgeServices &Services, ControlPort &Control,
             RequestIdentity Request, std::string Pool);
  /// Releases the exclusive run if it is still held.
  ~CrashGuard();
  CrashGuard(const CrashGuard &) = delete;
  CrashGuard &operator=(const CrashGuard &) = delete;

  SuspectState state() const;
  /// Called after the connection to `Replica` broke. Waits up to 3 s to find
  /// out whether the target died, and marks the request if so. Returns whether
  /// the target died.
  bool onConnectionBroken(const ServingReplica &Replica);
  /// Waits until this suspect request may run alone and its reserved replica is
  /// idle. Returns false at the deadline, or if the request is refused.
  bool acquireExclusiveRun(Instant Deadline);
  /// Called when the request has finished. It is then no longer a suspect.
  void onRequestFinished();

private:
  bool targetDied(const ServingReplica &Replica, Instant BrokenAt) const;
  bool isolatedReplicaIsIdle(Instant Since) const;
  void releaseExclusiveRun();

  EdgeServices &m_services;
  ControlPort &m_control;
  RequestIdentity m_request;
  std::string m_pool;
  bool m_holdsExclusiveRun = false;
  bool m_marked = false;
};

} // namespace turmericdyke
