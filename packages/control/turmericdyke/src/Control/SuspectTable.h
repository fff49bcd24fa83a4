#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include <nlohmann/json_fwd.hpp>

#include "turmericdyke/src/Control/Command.h"

namespace turmericdyke {

/// How a node must handle a request.
enum class SuspectState {
  /// Runs normally.
  Clear,
  /// Was running at a target that crashed; is retried alone, isolated from
  /// other traffic.
  Suspect,
  /// Was running at two targets that crashed; refused without being run.
  Refused,
};

namespace internal {

/// Requests that were running at targets when these crashed.
class SuspectTable {
public:
  void apply(const MarkSuspects &Command, absl::Time LogTime);
  void apply(const ClearSuspect &Command);
  void expire(absl::Time LogTime);

  /// Whether the run was granted. Repeating the same command is idempotent.
  bool apply(const BeginSuspectRun &Command);
  void apply(const EndSuspectRun &Command);
  void nodeLost(const NodeLost &Command);

  /// All marked requests.
  std::map<RequestIdentity, SuspectState> all() const;
  /// The marked requests of one customer.
  std::map<RequestIdentity, SuspectState> of(const CustomerId &Customer) const;
  /// The requests of one customer that were marked at `From` of log time or
  /// later.
  std::vector<RequestIdentity> markedSince(const CustomerId &Customer,
                                           absl::Time From) const;
  /// The first marked request that is not ordered before `From`.
  std::optional<RequestIdentity> firstFrom(const RequestIdentity &From) const;
  const std::optional<BeginSuspectRun> &run() const { return m_run; }
  SuspectState stateOf(const RequestIdentity &Request) const;
  /// Log time until which the request is refused; empty if it is not refused.
  std::optional<absl::Time> refusedUntil(const RequestIdentity &Request) const;
  std::size_t size() const { return m_marks.size(); }

  nlohmann::json toJson() const;
  /// Throws nlohmann exceptions on invalid content.
  void readJson(const nlohmann::json &Value);

private:
  struct Mark {
    /// The latest distinct crashes, at most two.
    std::vector<std::string> m_crashes;
    absl::Time m_refusedUntil = absl::InfinitePast();
    absl::Time m_expiresAt = absl::InfinitePast();
  };
  void setExpiry(const RequestIdentity &Request, Mark &Value, absl::Time At);

  std::map<RequestIdentity, Mark> m_marks;
  std::set<std::pair<absl::Time, RequestIdentity>> m_byExpiry;
  absl::Time m_logTime = absl::UnixEpoch();
  std::optional<BeginSuspectRun> m_run;
  absl::Time m_runExpiresAt = absl::UnixEpoch();
};

} // namespace internal
} // namespace turmericdyke
