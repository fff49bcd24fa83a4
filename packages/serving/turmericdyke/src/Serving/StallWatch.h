#pragma once

#include <map>
#include <set>
#include <vector>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

struct StallWatchOptions {
  /// A target that has sent nothing for this long, though streams were flowing,
  /// gets new requests only if there is no other. Events come every 50 ms at
  /// full batches.
  absl::Duration m_quiet = absl::Milliseconds(180);
  /// After this long without an event of streams that were flowing, a
  /// coordinator is asked to look at the target; the question costs little if
  /// the target is only slow.
  absl::Duration m_doubtful = absl::Milliseconds(350);
  /// A target whose streams are all silent for this long stands still. Events
  /// come every 50 ms at full batches and every 400 ms from a server that is
  /// eight times too slow.
  absl::Duration m_silence = absl::Milliseconds(600);
  /// After this long the streams are worth more at another target, whether or
  /// not a coordinator can say what is wrong.
  absl::Duration m_abandonAfter = absl::Milliseconds(1200);
  /// The same for a target that takes no new requests any more. One that leaves
  /// or closes goes on sending and keeps its streams; one that has lost a
  /// member is silent by then.
  absl::Duration m_abandonEndedAfter = absl::Milliseconds(400);
  /// A target is named again after this time if it still stands still.
  absl::Duration m_repeatAfter = absl::Milliseconds(400);
};

/// Notices targets that stand still. A group that has lost a member goes on
/// taking requests and sends nothing any more; its streams show that before the
/// missing announcements of the member do.
class StallWatch {
public:
  explicit StallWatch(StallWatchOptions Options = {});

  /// A stream was sent to the target.
  void begun(Instant Now, const TargetId &Target);
  /// Any stream of the target has sent something. `First` tells that it is the
  /// first event of its stream.
  void progressed(Instant Now, const TargetId &Target, bool First);
  /// The target takes no new requests any more.
  void closedToNew(const TargetId &Target);
  /// A stream has ended. `Flowing` tells that it had sent something.
  void ended(const TargetId &Target, bool Flowing);
  /// Whether new requests are better sent elsewhere.
  bool quiet(Instant Now, const TargetId &Target) const;

  struct Stall {
    TargetId m_target;
    /// It stands still; before, it is only doubtful.
    bool m_silent = false;
    /// Its streams should go on elsewhere.
    bool m_abandon = false;
  };
  /// The targets that stand still and were not named lately.
  std::vector<Stall> stalled(Instant Now);
  /// The targets that have sent something since the last call.
  std::vector<TargetId> takeProgress();
  bool watches() const { return !m_targets.empty(); }

private:
  struct Watched;
  bool mayAbandon(Instant Now, const Watched &State) const;

  struct Watched {
    int m_streams = 0;
    /// Streams that have sent something.
    int m_flowing = 0;
    Instant m_progress;
    Instant m_named = absl::InfinitePast();
    bool m_closedToNew = false;
  };

  StallWatchOptions m_options;
  std::map<TargetId, Watched> m_targets;
  std::set<TargetId> m_progressed;
};

} // namespace turmericdyke
