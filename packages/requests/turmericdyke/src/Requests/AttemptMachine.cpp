#include "turmericdyke/src/Requests/AttemptMachine.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmericdyke {

namespace internal {
namespace {

constexpr int FirstErrorStatus = 400;

} // namespace
} // namespace internal

AttemptMachine::AttemptMachine(AttemptId Attempt, ResponseFormat Shape,
                               const AttemptLimits &Limits, Instant Start)
    : m_attempt(std::move(Attempt)), m_shape(Shape), m_limits(Limits),
      m_parser(Limits.m_maxEventBytes), m_lastProgress(Start) {
  assert(!m_attempt.empty() &&
         "an attempt needs an identifier to detect mismatched answers");
}

void AttemptMachine::onSending() { m_mayHaveBeenSent = true; }

AttemptActions AttemptMachine::onHead(Instant Now, const ResponseHead &Head) {
  if (m_ended)
    return {};
  assert(m_mayHaveBeenSent &&
         "an answer cannot arrive before the request was sent");
  m_head = Head;
  m_headSeen = true;
  m_lastProgress = Now;
  // An answer without the identifier of the attempt could belong to another
  // one.
  if (Head.m_attempt != m_attempt)
    return end(AttemptEnd::AttemptMismatch, true);
  if (Head.m_statesNotRun)
    return end(AttemptEnd::RefusedByTarget, false);
  if (Head.m_status >= internal::FirstErrorStatus &&
      m_shape != ResponseFormat::Plain)
    return end(AttemptEnd::TargetError, false);
  return {};
}

AttemptActions AttemptMachine::onBody(Instant Now, std::string_view Bytes) {
  if (m_ended)
    return {};
  if (!m_headSeen)
    return end(AttemptEnd::Malformed, true);
  m_lastProgress = Now;
  m_bodySeen = m_bodySeen || !Bytes.empty();
  return m_shape == ResponseFormat::EventStream ? onStreamBytes(Bytes)
                                                : onBufferedBytes(Bytes);
}

AttemptActions AttemptMachine::onStreamBytes(std::string_view Bytes) {
  std::string Events = m_parser.feed(Bytes);
  if (m_parser.malformed()) {
    AttemptActions Actions = end(AttemptEnd::Malformed, true);
    return Actions;
  }
  // `[DONE]` without a finish reason does not end a complete answer, so it must
  // not reach the caller.
  if (m_parser.done() && !m_parser.complete())
    return end(AttemptEnd::EndedEarly, true);
  m_forwarded = m_forwarded || !Events.empty();
  if (m_parser.complete()) {
    AttemptActions Actions = end(AttemptEnd::Complete, false);
    Actions.m_forward = std::move(Events);
    return Actions;
  }
  AttemptActions Actions;
  Actions.m_forward = std::move(Events);
  return Actions;
}

AttemptActions AttemptMachine::onBufferedBytes(std::string_view Bytes) {
  if (m_body.size() + Bytes.size() > m_limits.m_maxBodyBytes)
    return end(AttemptEnd::Malformed, true);
  m_body.append(Bytes);
  return {};
}

AttemptEnd AttemptMachine::endOfMessage() const {
  switch (m_shape) {
  case ResponseFormat::EventStream:
    return AttemptEnd::EndedEarly;
  case ResponseFormat::Completion:
    return isCompleteCompletion(m_body) ? AttemptEnd::Complete
                                        : AttemptEnd::EndedEarly;
  case ResponseFormat::Plain:
    return AttemptEnd::Complete;
  }
  return AttemptEnd::Malformed;
}

AttemptActions AttemptMachine::onConnectionEnd(Instant, ConnectionEnd End) {
  if (m_ended)
    return {};
  if (End == ConnectionEnd::ConnectFailed) {
    m_mayHaveBeenSent = false;
    return end(AttemptEnd::ConnectFailed, false);
  }
  if (End == ConnectionEnd::Malformed)
    return end(AttemptEnd::Malformed, true);
  if (End == ConnectionEnd::Broken || !m_headSeen)
    return end(AttemptEnd::EndedEarly, false);
  return end(endOfMessage(), false);
}

AttemptActions AttemptMachine::onTick(Instant Now) {
  if (m_ended || Now < nextCheck())
    return {};
  return end(AttemptEnd::TimedOut, true);
}

AttemptActions AttemptMachine::onCallerGone(Instant) {
  if (m_ended)
    return {};
  return end(AttemptEnd::CallerGone, true);
}

Instant AttemptMachine::nextCheck() const {
  absl::Duration Bound =
      m_bodySeen ? m_limits.m_progress : m_limits.m_firstByte;
  return std::min(m_lastProgress + Bound, m_limits.m_deadline);
}

AttemptActions AttemptMachine::end(AttemptEnd End, bool Cancel) {
  m_ended = true;
  AttemptActions Actions;
  // The connection can be reused only after the whole message was read.
  Actions.m_closeConnection = End != AttemptEnd::Complete;
  Actions.m_cancelAtTarget = Cancel && m_mayHaveBeenSent;
  AttemptResult Result;
  Result.m_end = End;
  Result.m_status = m_head.m_status;
  Result.m_mayHaveBeenSent = m_mayHaveBeenSent;
  Result.m_forwarded = m_forwarded;
  Result.m_tokens = m_parser.tokens();
  Actions.m_result = Result;
  return Actions;
}

} // namespace turmericdyke
