#include "turmericdyke/src/Serving/StopSchedule.h"

#include <algorithm>

namespace turmericdyke {

namespace internal {
namespace {

/// The load balancer probes once a second and stops sending after two failed
/// probes. If too few other nodes are left, it goes on sending, so after this
/// time new connections are refused and their callers try another node at once.
constexpr absl::Duration BalancerNoticeTime = absl::Milliseconds(2700);
/// Requests are ended this long before the process would be killed.
constexpr absl::Duration EndingMargin = absl::Milliseconds(300);
/// The process exits this long before it would be killed.
constexpr absl::Duration ExitMargin = absl::Milliseconds(100);
/// An at-most-once request is not retried by its caller if it is ended after it
/// may have run, so it must end in time even if it runs far longer than others.
constexpr double AtMostOnceRunTimes = 4;

} // namespace
} // namespace internal

void StopSchedule::begin(Instant Now, absl::Duration Grace) {
  if (hasBegun())
    return;
  m_began = Now;
  m_closing = Now + std::min(internal::BalancerNoticeTime, Grace / 2);
  m_over = std::max(m_closing, Now + Grace - internal::ExitMargin);
  m_ending = std::max(m_closing, Now + Grace - internal::EndingMargin);
}

StopPhase StopSchedule::phase(Instant Now) const {
  if (Now < m_began)
    return StopPhase::Serving;
  if (Now < m_closing)
    return StopPhase::Leaving;
  if (Now < m_ending)
    return StopPhase::Closing;
  return Now < m_over ? StopPhase::Ending : StopPhase::Over;
}

bool StopSchedule::mayBegin(Instant Now, const StopRequest &Request) const {
  if (!hasBegun())
    return true;
  if (Now >= m_ending)
    return false;
  if (Request.m_deadline <= m_ending)
    return true;
  // It may last until its deadline. If it is ended before, its caller can still
  // repeat it at another node, so it is worth a try while most of the grace is
  // left.
  if (Request.m_runTime <= absl::ZeroDuration())
    return Request.m_repeatable && Now < m_closing;
  double RunTimes = Request.m_repeatable ? 1 : internal::AtMostOnceRunTimes;
  return Now + Request.m_runTime * RunTimes <= m_ending;
}

} // namespace turmericdyke
