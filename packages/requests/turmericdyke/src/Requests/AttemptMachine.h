#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "turmericdyke/src/Requests/AttemptTypes.h"
#include "turmericdyke/src/Requests/EventStreamParser.h"

namespace turmericdyke {

/// One try of a request at a target. It is bound to one connection: an answer
/// that names another attempt is dropped together with that connection. Nothing
/// is handed on before the head of the answer was accepted. Events after the
/// end return no actions.
class AttemptMachine {
public:
  AttemptMachine(AttemptId Attempt, AnswerShape Shape,
                 const AttemptLimits &Limits, Instant Start);

  /// The request is about to be written; from here on it may run.
  void onSending();
  AttemptActions onHead(Instant Now, const AnswerHead &Head);
  AttemptActions onBody(Instant Now, std::string_view Bytes);
  AttemptActions onConnectionEnd(Instant Now, ConnectionEnd End);
  /// Checks the bounds on time; call at `nextCheck` at the latest.
  AttemptActions onTick(Instant Now);
  AttemptActions onCallerGone(Instant Now);

  /// When the next bound on time runs out.
  Instant nextCheck() const;
  bool ended() const { return m_ended; }
  /// Body of a complete answer that is not an event stream.
  const std::string &body() const { return m_body; }
  const AnswerHead &head() const { return m_head; }

private:
  AttemptActions end(AttemptEnd End, bool Cancel);
  AttemptActions onStreamBytes(std::string_view Bytes);
  AttemptActions onWholeBytes(std::string_view Bytes);
  AttemptEnd endOfMessage() const;

  AttemptId m_attempt;
  AnswerShape m_shape;
  AttemptLimits m_limits;
  EventStreamParser m_parser;
  AnswerHead m_head;
  std::string m_body;
  Instant m_lastProgress;
  bool m_headSeen = false;
  bool m_bodySeen = false;
  bool m_leftProcess = false;
  bool m_forwarded = false;
  bool m_ended = false;
};

} // namespace turmericdyke
