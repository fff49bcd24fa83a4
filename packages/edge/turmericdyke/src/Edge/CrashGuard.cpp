#include "turmericdyke/src/Edge/CrashGuard.h"

#include <algorithm>

#include <fmt/format.h>
#include <httplib.h>

#include "absl/time/clock.h"
#include "turmericdyke/src/Base/Bytes.h"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Edge/ControlPort.h"
#include "turmericdyke/src/Edge/EdgeServices.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr absl::Duration PollInterval = absl::Milliseconds(50);
/// A dead target is removed from the view 2.5 s after its last announcement.
constexpr absl::Duration CrashDetectionTimeout = absl::Seconds(3);
constexpr std::chrono::milliseconds ProbeTimeout(100);

const ServingReplica *findReplica(const ClusterView &View,
                                  const std::string &Pool,
                                  const ReplicaId &Replica) {
  auto Found = View.m_pools.find(Pool);
  if (Found == View.m_pools.end())
    return nullptr;
  for (const ServingReplica &Serving : Found->second)
    if (Serving.m_replica == Replica)
      return &Serving;
  return nullptr;
}

/// Whether the address refuses connections.
bool refusesConnections(const std::string &Address) {
  httplib::Client Client("http://" + Address);
  Client.set_connection_timeout(ProbeTimeout);
  Client.set_read_timeout(ProbeTimeout);
  httplib::Result Answer = Client.Get("/healthz");
  return !Answer && Answer.error() == httplib::Error::Connection;
}

} // namespace
} // namespace internal

CrashGuard::CrashGuard(EdgeServices &Services, ControlPort &Control,
                       RequestIdentity Request, std::string Pool)
    : m_services(Services), m_control(Control), m_request(std::move(Request)),
      m_pool(std::move(Pool)) {
  m_marked = state() != SuspectState::Clear;
}

CrashGuard::~CrashGuard() { releaseExclusiveRun(); }

SuspectState CrashGuard::state() const {
  std::shared_ptr<const ClusterView> View = m_services.m_views.get();
  auto Found = View->m_suspects.find(m_request);
  return Found == View->m_suspects.end() ? SuspectState::Clear : Found->second;
}

bool CrashGuard::targetDied(const ServingReplica &Replica,
                            Instant BrokenAt) const {
  Instant Until = BrokenAt + internal::CrashDetectionTimeout;
  while (monotonicNow() < Until) {
    std::shared_ptr<const ClusterView> View = m_services.m_views.get();
    const ServingReplica *Now =
        internal::findReplica(*View, m_pool, Replica.m_replica);
    if (Now == nullptr || Now->m_headIncarnation != Replica.m_headIncarnation)
      return true;
    if (internal::refusesConnections(Replica.m_headAddress))
      return true;
    if (Now->m_loadTime > BrokenAt)
      return false;
    absl::SleepFor(internal::PollInterval);
  }
  return true;
}

bool CrashGuard::onConnectionBroken(const ServingReplica &Replica) {
  if (!targetDied(Replica, monotonicNow()))
    return false;
  MarkSuspects Mark;
  Mark.m_crashId =
      fmt::format("{}/{}", Replica.m_head.str(), Replica.m_headIncarnation);
  Mark.m_requests = {m_request};
  // The request is retried only after the mark is committed; without a commit
  // it is not retried.
  SubmitResult Done = m_control.submit(Mark);
  m_marked = true;
  m_services.m_metrics.increment("turmericdyke_suspects_total",
                                 {{"customer", m_request.m_customer.str()}});
  LogLine(LogLevel::Warning, "suspect_marked")
      .field("customer", m_request.m_customer)
      .field("digest", toHex(m_request.m_digest))
      .field("crash", Mark.m_crashId)
      .field("committed", Done.m_status == SubmitStatus::Committed);
  return true;
}

bool CrashGuard::isolatedReplicaIsIdle(Instant Since) const {
  std::shared_ptr<const ClusterView> View = m_services.m_views.get();
  auto Isolated = View->m_isolated.find(m_pool);
  if (Isolated == View->m_isolated.end())
    return false;
  const ServingReplica *Replica =
      internal::findReplica(*View, m_pool, Isolated->second);
  return Replica != nullptr && Replica->m_loadTime > Since &&
         Replica->m_load.m_running == 0 && Replica->m_load.m_waiting == 0;
}

bool CrashGuard::acquireExclusiveRun(Instant Deadline) {
  BeginSuspectRun Begin{m_request, m_services.m_node, m_services.m_incarnation};
  while (!m_holdsExclusiveRun && monotonicNow() < Deadline) {
    SubmitResult Done = m_control.submit(Begin);
    const auto *Refused = std::get_if<CommandRefused>(&Done.m_result);
    if (Refused != nullptr &&
        Refused->m_reason == CommandRefusalReason::RequestRefused)
      return false;
    m_holdsExclusiveRun = Done.m_status == SubmitStatus::Committed &&
                          std::holds_alternative<CommandApplied>(Done.m_result);
    if (!m_holdsExclusiveRun)
      absl::SleepFor(internal::PollInterval);
  }
  Instant Granted = monotonicNow();
  while (m_holdsExclusiveRun && monotonicNow() < Deadline) {
    if (isolatedReplicaIsIdle(Granted))
      return true;
    absl::SleepFor(internal::PollInterval);
  }
  return false;
}

void CrashGuard::onRequestFinished() {
  if (!m_marked)
    return;
  (void)m_control.submit(ClearSuspect{m_request});
  m_marked = false;
  releaseExclusiveRun();
}

void CrashGuard::releaseExclusiveRun() {
  if (!m_holdsExclusiveRun)
    return;
  m_holdsExclusiveRun = false;
  (void)m_control.submit(
      EndSuspectRun{m_request, m_services.m_node, m_services.m_incarnation});
}

} // namespace turmericdyke
