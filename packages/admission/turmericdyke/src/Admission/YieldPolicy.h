#pragma once

#include <cstdint>

#include "turmericdyke/src/Base/Instant.h"

namespace turmericdyke {

struct YieldOptions {
  std::int64_t m_maxYields = 3;
  /// A long request runs at least this long between two yields, so that it
  /// makes up for the cost of resuming.
  absl::Duration m_minRun = absl::Seconds(2);
  /// A paused request goes before all borrowed work after this time.
  absl::Duration m_maxPause = absl::Seconds(5);
  /// Short requests must be at least this near to their deadline to stop a long
  /// one.
  absl::Duration m_urgentSlack = absl::Seconds(2);
};

/// Decides when a long request is asked to yield its slot to waiting short
/// work.
///
/// Starvation bound: a request yields at most `m_maxYields` times and is paused
/// each time for at most `m_maxPause` plus the wait for the next slot that the
/// long share and its customer's limit leave to it and that capacity held does
/// not claim. With the defaults that is 15 s in all plus three such waits.
/// After the last yield it is not stopped again.
class YieldPolicy {
public:
  explicit YieldPolicy(YieldOptions Options = {});

  /// `RunningSince` is the start of the current run of the long request,
  /// `Yields` how often it yielded before, `ShortDeadline` the time by which
  /// the most urgent waiting short request must start.
  bool shouldYield(Instant Now, Instant RunningSince, std::int64_t Yields,
                   Instant ShortDeadline) const;
  const YieldOptions &options() const { return m_options; }

private:
  YieldOptions m_options;
};

} // namespace turmericdyke
