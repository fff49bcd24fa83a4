#pragma once

#include <functional>

#include "turmericdyke/src/Edge/TargetConnection.h"
#include "turmericdyke/src/Requests/AttemptMachine.h"

namespace turmericdyke {

/// One running attempt: the decisions of its machine, performed on its own
/// connection. Used by one thread.
class AttemptRun {
public:
  AttemptRun(const AttemptId &Attempt, AnswerShape Shape,
             const AttemptLimits &Limits, TargetCall Call);

  /// Waits for something to hand on or for the end. `CallerAlive` is asked
  /// while the target is silent. Closes the connection where the machine says
  /// so, and tells the target of a cancelled attempt.
  AttemptActions next(const std::function<bool()> &CallerAlive);
  /// Ends the attempt because its caller is gone.
  AttemptActions abandon();
  const AttemptMachine &machine() const { return m_machine; }
  const std::string &contentType() const { return m_contentType; }

private:
  AttemptActions waitForEvent(const std::function<bool()> &CallerAlive);
  void perform(const AttemptActions &Actions);
  void cancelAtTarget();

  AttemptId m_attempt;
  std::string m_address;
  std::string m_contentType;
  AttemptMachine m_machine;
  TargetConnection m_connection;
};

} // namespace turmericdyke
