#pragma once

#include "turmericdyke/src/Entry/EntryAttempt.h"

namespace turmericdyke {

struct TargetSignal;

/// An attempt at a target, which this node reaches itself.
class TargetAttempt final : public EntryAttempt {
public:
  using EntryAttempt::EntryAttempt;

protected:
  HttpFields requestFields(const AttemptRequest &Request) const override;
  void recordBegin(const AttemptRequest &Request) override;
  void recordProgress(Instant Now, bool First) override;
  void recordRelease(bool Flowing) override;
  void recordOutcome(Instant Now, AttemptOutcome Outcome) override;
  void recordConnection(bool Works) override;
  void readStatements(HttpResponseHead &Head,
                      const ResponseInfo &Info) override;

private:
  void onSignal(const TargetSignal &Signal);
  void logLimit() const;

  /// The stall detector counts this attempt.
  bool m_stallTracked = false;
};

} // namespace turmericdyke
