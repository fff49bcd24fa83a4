#pragma once

#include <functional>

#include "turmericdyke/src/Edge/TargetConnection.h"
#include "turmericdyke/src/Requests/AttemptMachine.h"

namespace turmericdyke {

/// One running attempt on its own connection to a target. Carries out the
/// actions of its state machine. Not thread-safe.
class AttemptRun {
public:
  AttemptRun(TargetLoop &Loop, const AttemptId &Attempt, ResponseFormat Shape,
             const AttemptLimits &Limits, const TargetCall &Call);

  /// Waits for bytes to forward or for the end of the attempt.
  /// `IsCallerConnected` is polled while the target sends nothing. Closes the
  /// connection if the state machine requires it, and sends a cancelled
  /// attempt's cancellation to the target.
  AttemptActions next(const std::function<bool()> &IsCallerConnected);
  /// Ends the attempt because its caller has disconnected.
  AttemptActions abandon();
  const AttemptMachine &machine() const { return m_machine; }
  const std::string &contentType() const { return m_contentType; }

private:
  AttemptActions waitForEvent(const std::function<bool()> &IsCallerConnected);
  void applyActions(const AttemptActions &Actions);
  void cancelAtTarget();

  TargetLoop &m_loop;
  AttemptId m_attempt;
  std::string m_address;
  std::string m_contentType;
  AttemptMachine m_machine;
  TargetConnection m_connection;
};

} // namespace turmericdyke
