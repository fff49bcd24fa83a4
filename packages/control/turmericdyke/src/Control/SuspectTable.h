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

/// How each node must treat a request.
enum class SuspectState {
  /// Runs as usual.
  Clear,
  /// Ran at a target that died; reruns alone, apart from healthy traffic.
  Suspect,
  /// Ran at two targets that died; refused as not run.
  Refused,
};

namespace internal {

/// Requests that ran at targets that died.
class SuspectTable {
public:
  void apply(const MarkSuspects &Command, absl::Time LogTime);
  void apply(const ClearSuspect &Command);
  void expire(absl::Time LogTime);

  /// Whether the run was granted; asking again for the same run is granted.
  bool apply(const BeginSuspectRun &Command);
  void apply(const EndSuspectRun &Command);
  void nodeLost(const NodeLost &Command);

  /// All marked requests.
  std::map<RequestIdentity, SuspectState> all() const;
  const std::optional<BeginSuspectRun> &run() const { return m_run; }
  SuspectState stateOf(const RequestIdentity &Request) const;
  /// Log time at which the refusal ends; nothing when not refused.
  std::optional<absl::Time> refusedUntil(const RequestIdentity &Request) const;
  std::size_t size() const { return m_marks.size(); }

  nlohmann::json toJson() const;
  /// Throws nlohmann's exceptions on wrong content.
  void readJson(const nlohmann::json &Value);

private:
  struct Mark {
    /// Distinct crashes, at most two; later ones change nothing but the times.
    std::vector<std::string> m_crashes;
    absl::Time m_refusedUntil = absl::InfinitePast();
    absl::Time m_expiresAt = absl::InfinitePast();
  };
  void setExpiry(const RequestIdentity &Request, Mark &Value, absl::Time At);

  std::map<RequestIdentity, Mark> m_marks;
  std::set<std::pair<absl::Time, RequestIdentity>> m_byExpiry;
  absl::Time m_logTime = absl::UnixEpoch();
  std::optional<BeginSuspectRun> m_run;
  absl::Time m_runEnds = absl::UnixEpoch();
};

} // namespace internal
} // namespace turmericdyke
