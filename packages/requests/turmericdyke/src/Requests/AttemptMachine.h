#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "turmericdyke/src/Requests/AttemptTypes.h"
#include "turmericdyke/src/Requests/EventStreamParser.h"

namespace turmericdyke {

/// State machine of one attempt to run a request at a target. It is bound to
/// one connection: an answer that names a different attempt is discarded
/// together with the connection. Nothing is forwarded before the head of the
/// answer was accepted. Events after the end of the attempt return no actions.
class AttemptMachine {
public:
  AttemptMachine(AttemptId Attempt, ResponseFormat Shape,
                 const AttemptLimits &Limits, Instant Start);

  /// Call before the request is written. From here on it may run at the target.
  void onSending();
  AttemptActions onHead(Instant Now, const ResponseHead &Head);
  AttemptActions onBody(Instant Now, std::string_view Bytes);
  AttemptActions onConnectionEnd(Instant Now, ConnectionEnd End);
  /// Checks the timeouts; must be called no later than `nextCheck`.
  AttemptActions onTick(Instant Now);
  AttemptActions onCallerGone(Instant Now);

  /// Time at which the next timeout expires.
  Instant nextCheck() const;
  bool ended() const { return m_ended; }
  /// Body of a complete answer; empty for event streams.
  const std::string &body() const { return m_body; }
  const ResponseHead &head() const { return m_head; }

private:
  AttemptActions end(AttemptEnd End, bool Cancel);
  AttemptActions onStreamBytes(std::string_view Bytes);
  AttemptActions onBufferedBytes(std::string_view Bytes);
  AttemptEnd endOfMessage() const;

  AttemptId m_attempt;
  ResponseFormat m_shape;
  AttemptLimits m_limits;
  EventStreamParser m_parser;
  ResponseHead m_head;
  std::string m_body;
  Instant m_lastProgress;
  bool m_headSeen = false;
  bool m_bodySeen = false;
  bool m_mayHaveBeenSent = false;
  bool m_forwarded = false;
  bool m_ended = false;
};

} // namespace turmericdyke
