#include "turmericdyke/src/Edge/AttemptRun.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace turmericdyke {

namespace internal {
namespace {

/// How often the caller's connection is checked while the target sends nothing.
constexpr absl::Duration CallerCheckInterval = absl::Milliseconds(100);
constexpr absl::Duration CancelTimeout = absl::Milliseconds(200);

} // namespace
} // namespace internal

AttemptRun::AttemptRun(TargetLoop &Loop, const AttemptId &Attempt,
                       ResponseFormat Shape, const AttemptLimits &Limits,
                       const TargetCall &Call)
    : m_loop(Loop), m_attempt(Attempt), m_address(Call.m_address),
      m_machine(Attempt, Shape, Limits, monotonicNow()),
      m_connection(Loop, Call) {
  m_machine.onSending();
}

AttemptActions
AttemptRun::waitForEvent(const std::function<bool()> &IsCallerConnected) {
  for (;;) {
    absl::Duration Wait = std::min(m_machine.nextCheck() - monotonicNow(),
                                   internal::CallerCheckInterval);
    std::optional<ConnectionEvent> Event =
        m_connection.next(std::max(Wait, absl::ZeroDuration()));
    Instant Now = monotonicNow();
    if (Event) {
      if (Event->m_head) {
        m_contentType = Event->m_contentType;
        return m_machine.onHead(Now, *Event->m_head);
      }
      if (Event->m_end)
        return m_machine.onConnectionEnd(Now, *Event->m_end);
      return m_machine.onBody(Now, Event->m_bytes);
    }
    if (!IsCallerConnected())
      return m_machine.onCallerGone(Now);
    AttemptActions Actions = m_machine.onTick(Now);
    if (Actions.m_result)
      return Actions;
  }
}

AttemptActions
AttemptRun::next(const std::function<bool()> &IsCallerConnected) {
  for (;;) {
    AttemptActions Actions = waitForEvent(IsCallerConnected);
    if (!Actions.m_result && Actions.m_forward.empty())
      continue;
    applyActions(Actions);
    return Actions;
  }
}

AttemptActions AttemptRun::abandon() {
  AttemptActions Actions = m_machine.onCallerGone(monotonicNow());
  applyActions(Actions);
  return Actions;
}

void AttemptRun::applyActions(const AttemptActions &Actions) {
  if (Actions.m_closeConnection)
    m_connection.close();
  if (Actions.m_cancelAtTarget)
    cancelAtTarget();
}

void AttemptRun::cancelAtTarget() {
  // Most engines notice the closed connection; the message is for those that
  // detect it late.
  TargetCall Call;
  Call.m_address = m_address;
  Call.m_method = "POST";
  Call.m_path = "/v1/cancel";
  Call.m_fields = {{"Content-Type", "application/json"}};
  Call.m_body = nlohmann::json{{"attempt", m_attempt.str()}}.dump();
  Call.m_connectTimeout = internal::CancelTimeout;
  TargetConnection Cancel(m_loop, Call);
  Instant Until = monotonicNow() + 2 * internal::CancelTimeout;
  while (monotonicNow() < Until) {
    std::optional<ConnectionEvent> Event = Cancel.next(Until - monotonicNow());
    if (Event && Event->m_end)
      return;
  }
}

} // namespace turmericdyke
