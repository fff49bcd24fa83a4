#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Fleet/CrashReport.h"

namespace turmericdyke {

struct CrashAttributionOptions {
  /// Points for one crash: of a request whose response had begun, and of one
  /// that may just have been waiting.
  int m_pointsIfBegun = 2;
  int m_pointsIfWaiting = 1;
  /// And of one that had got past its start, as all others at the target had.
  int m_pointsIfPastStart = 1;
  /// An exact request with so many points is guilty: it crashed three targets
  /// at the start of its response, or took part in five crashes of targets that
  /// respond at the end of a run. A sound request meets at most four of those:
  /// two attempts, and two more when its caller repeats it.
  int m_guiltyPointsOfRequest = 5;
  /// A part of a prompt with so many points is guilty, if at least two requests
  /// contribute, each at most half.
  int m_guiltyPointsOfPart = 8;
  /// The crashes of a guilty key are spread over at least this time: the hosts
  /// of a domain fail together, with the requests that they run, and callers
  /// send equal requests.
  absl::Duration m_minSpan = absl::Milliseconds(700);
  /// Points for a key that was refused before.
  int m_guiltyPointsAgain = 2;
  /// Time for all entry nodes to report that a key is sound, before it is
  /// refused: one interval of their requests and a margin.
  absl::Duration m_verdictDelay = absl::Milliseconds(300);
  /// Evidence is kept this long, as such requests may be rare.
  absl::Duration m_memory = absl::Hours(1);
  std::size_t m_maxReports = 256;
  /// Reports of attempts that had got past their start: one for each stream at
  /// a target that crashes, up to 34, until these streams get through.
  std::size_t m_maxReportsPastStart = 512;
  /// Bounds the list that is sent to the entry nodes.
  std::size_t m_maxSuspects = 64;
};

/// Finds out which part of a prompt, or which exact request, crashes the
/// targets that run it, from what entry nodes report of attempts that broke
/// off.
///
/// Load: up to a third of a route's requests crash their targets, while other
/// targets crash for reasons of their own, several at once. Sound requests on
/// the same targets break off with the guilty one and share its caller and most
/// of its parts, so a key is guilty only if it takes part in crashes at several
/// times and no request with it gets through in between. Among guilty keys the
/// most specific one is taken, and explains the crashes it took part in.
///
/// A request may crash its targets anywhere in its stream. What was relayed
/// before that point says nothing: only a response that ends whole, or gets
/// past the events at which the crashes came, clears it. Sound streams that run
/// at a target when it crashes are resumed behind what they delivered and get
/// past that.
class CrashAttribution {
public:
  explicit CrashAttribution(CrashAttributionOptions Options = {});

  void record(Instant Now, CrashReport Report);
  /// Clears the key of the crashes so far that a request with it got past.
  void markProgress(const KeyProgress &Progress);
  void reset();

  struct Verdict {
    SuspectKey m_key = 0;
    int m_points = 0;
    /// The targets whose crashes convict the key, oldest first.
    std::vector<std::string> m_crashes;
  };
  /// Returns the keys that were found guilty since the last call and forgets
  /// their evidence. `WasRefused` tells whether a key was refused before.
  std::vector<Verdict> judge(Instant Now,
                             const std::function<bool(SuspectKey)> &WasRefused);

  /// Keys of unexplained crashes that were not cleared since: newest first,
  /// those of attempts that had got past their start last.
  std::vector<SuspectKey> suspects() const;
  bool empty() const { return m_reports.empty(); }

private:
  struct Recorded {
    Instant m_at;
    CrashReport m_report;
    /// For each key of the report, whether it was cleared of this crash.
    std::vector<bool> m_cleared;

    /// Where in the stream the crash came, for the key at this position.
    std::uint64_t eventsAt(std::size_t At) const {
      return At + 1 == m_report.m_keys.size() ? m_report.m_events : 0;
    }
    bool allCleared() const;
  };
  /// The crashes that one key took part in, each of them once.
  struct Evidence {
    std::vector<const Recorded *> m_crashes;
    /// Position among the keys of its requests: higher is more specific.
    std::size_t m_position = 0;
    /// The key stands for an exact request.
    bool m_exact = false;
  };

  void expire(Instant Now);
  /// Makes room for a report of this kind.
  void evict(bool PastStart);
  /// Whether another request is known to have begun at this crash.
  bool isBystander(const Recorded &Value) const;
  std::map<SuspectKey, Evidence> evidence() const;
  int pointsOf(const Evidence &Value, int PointsIfPastStart) const;
  bool isGuilty(const Evidence &Value, bool WasRefused) const;
  /// Forgets what the verdict explains.
  void explain(SuspectKey Key, const Evidence &Guilty);

  CrashAttributionOptions m_options;
  std::deque<Recorded> m_reports;
  /// Since when the evidence against a key has been sufficient.
  std::map<SuspectKey, Instant> m_accused;
};

} // namespace turmericdyke
