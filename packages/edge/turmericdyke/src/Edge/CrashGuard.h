#pragma once

#include <string>

#include "turmericdyke/src/Control/Command.h"
#include "turmericdyke/src/Edge/ClusterView.h"

namespace turmericdyke {

class ControlPort;
struct EdgeServices;

/// Keeps a request that crashes targets from taking down one replica after the
/// other. A request whose target died is marked in the replicated log before it
/// runs again; it then runs alone; a second crash has it refused.
class CrashGuard {
public:
  CrashGuard(EdgeServices &Services, ControlPort &Control,
             RequestIdentity Request, std::string Pool);
  /// Gives back a permission that is still held.
  ~CrashGuard();
  CrashGuard(const CrashGuard &) = delete;
  CrashGuard &operator=(const CrashGuard &) = delete;

  SuspectState state() const;
  /// After a connection broke: waits up to 3 s for evidence, and marks the
  /// request if the target died. Returns whether it did.
  bool noteBroken(const ServingReplica &Replica);
  /// Waits until the suspect request may run, and for the replica that is kept
  /// free for it. False at the deadline, or when the request is refused.
  bool acquireRun(Instant Deadline);
  /// The request finished; it is no suspect any more.
  void noteFinished();

private:
  bool died(const ServingReplica &Replica, Instant BrokenAt) const;
  bool isolatedReplicaIsIdle(Instant Since) const;
  void releaseRun();

  EdgeServices &m_services;
  ControlPort &m_control;
  RequestIdentity m_request;
  std::string m_pool;
  bool m_holdsRun = false;
  bool m_marked = false;
};

} // namespace turmericdyke
