#pragma once

#include <optional>

#include "turmericdyke/src/Entry/EntryAttempt.h"
#include "turmericdyke/src/Entry/RelayHeader.h"

namespace turmericdyke {

struct EntryPeer;

/// An attempt by way of another entry node, which reaches the targets while
/// this one does not. That node chooses the targets, counts the request in its
/// own permissions and retries, and keeps to the attempts and the time left.
class PeerAttempt final : public EntryAttempt {
public:
  PeerAttempt(EntryServices &Services, EntryExchange &Owner,
              AttemptEvents &Events, const EntryPeer &Peer,
              const ServiceId &Service);

  bool isPeer() const override { return true; }
  /// What the other node stated, once its response has begun.
  const RelayedResponse &stated() const { return m_stated; }

protected:
  HttpFields requestFields(const AttemptRequest &Request) const override;
  void recordBegin(const AttemptRequest &Request) override;
  void recordProgress(Instant Now, bool First) override;
  void recordRelease(bool Flowing) override;
  void recordOutcome(Instant Now, AttemptOutcome Outcome) override;
  void recordConnection(bool /*Works*/) override {}
  void readStatements(HttpResponseHead &Head,
                      const ResponseInfo &Info) override;
  std::optional<AttemptOutcome> statedOutcome() const override;

private:
  bool m_stallTracked = false;
  RelayedResponse m_stated;
};

} // namespace turmericdyke
