#pragma once

#include <map>
#include <set>
#include <vector>

#include "absl/types/span.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Feed/ProgressByKey.h"
#include "turmericdyke/src/Fleet/CrashReport.h"

namespace turmericdyke {

struct FeedRequest;

/// How far a request has got without a crash, in events; see `KeyProgress`.
struct RequestProgress {
  std::uint64_t m_ofAttempt = 0;
  std::uint64_t m_ofStream = 0;

  static RequestProgress whole() {
    return {KeyProgress::Whole, KeyProgress::Whole};
  }
};

/// The entry node's side of `CrashAttribution`: which requests are refused, and
/// what this node has to report on crashes and on suspect keys.
class SuspectWatch {
public:
  /// Takes over the lists of the leader. Returns whether a key was added to the
  /// refused ones.
  bool update(const SuspectLists &Lists);
  std::uint64_t version() const { return m_version; }

  /// Whether any key is suspect or refused. If not, the keys of a request need
  /// not be worked out.
  bool active() const {
    return !m_suspects.empty() || !m_refused.empty() || !m_ownSuspects.empty();
  }
  bool isRefused(absl::Span<const SuspectKey> Keys) const;

  /// An attempt broke off as if its target had crashed.
  void attemptCrashed(Instant Now, CrashReport Report);
  /// A request has got past the start of its response. The last of `Keys` is
  /// the exact request.
  void requestProgressed(Instant Now, absl::Span<const SuspectKey> Keys,
                         const RequestProgress &Progress);

  bool hasReports() const { return !m_reports.empty() || !m_progress.empty(); }
  /// Moves the reports into a request to the leader.
  void takeReports(Instant Now, FeedRequest &Request);

private:
  std::uint64_t m_version = 0;
  std::set<SuspectKey> m_suspects;
  /// Keys of this node's crashes, which the leader may not know yet.
  std::map<SuspectKey, Instant> m_ownSuspects;
  std::set<SuspectKey> m_refused;
  std::vector<CrashReport> m_reports;
  ProgressByKey m_progress;
  /// When the progress of each suspect key was last reported, and how far it
  /// was.
  struct Reported {
    Instant m_at;
    std::uint64_t m_events = 0;
  };
  std::map<SuspectKey, Reported> m_reported;
};

} // namespace turmericdyke
