#pragma once

#include <map>
#include <set>
#include <vector>

#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/StringId.h"

namespace turmericdyke {

struct StallDetectorOptions {
  /// A target with active streams that has sent nothing for this long gets new
  /// requests only if there is no other target. Events come every 50 ms at full
  /// batches.
  absl::Duration m_quietAfter = absl::Milliseconds(180);
  /// If active streams send no event for this long, a coordinator is asked to
  /// probe the target. The probe is cheap if the target is only slow.
  absl::Duration m_suspectAfter = absl::Milliseconds(350);
  /// A target whose streams are all silent for this long is stalled. Events
  /// come every 50 ms at full batches, and every 400 ms from a server that is
  /// eight times too slow.
  absl::Duration m_stalledAfter = absl::Milliseconds(600);
  /// After this time the streams may move to another target, whether or not a
  /// coordinator has found a fault. `decideMove` decides whether they do.
  absl::Duration m_abandonAfter = absl::Milliseconds(1200);
  /// The same for a target that accepts no new requests. A target that leaves
  /// or closes goes on sending and keeps its streams; one that has lost a
  /// member is silent by then.
  absl::Duration m_abandonEndedAfter = absl::Milliseconds(400);
  /// A target is reported again after this time if it is still stalled.
  absl::Duration m_reportAgainAfter = absl::Milliseconds(400);
};

/// Detects stalled targets. A group that has lost a member still accepts
/// requests but sends nothing. Its silent streams show this earlier than the
/// missing announcements of the member do.
class StallDetector {
public:
  explicit StallDetector(StallDetectorOptions Options = {});

  /// A request for a stream was sent to the target. Its first event is not
  /// expected before `FirstEvent`: a long prompt takes seconds to read, and a
  /// node whose only stream there is such a one sees no other event.
  void streamStarted(Instant Now, const TargetId &Target,
                     absl::Duration FirstEvent = absl::ZeroDuration());
  /// A stream of the target has sent data. `First` is set for the first event
  /// of the stream.
  void streamProgressed(Instant Now, const TargetId &Target, bool First);
  /// The target accepts no new requests any more.
  void closedToNew(const TargetId &Target);
  /// The target accepts new requests again.
  void openedToNew(const TargetId &Target);
  /// A stream has ended. `Flowing` is set if it had sent data.
  void streamEnded(const TargetId &Target, bool Flowing);
  /// Whether new requests should prefer other targets.
  bool isQuiet(Instant Now, const TargetId &Target) const;

  struct Stall {
    TargetId m_target;
    /// The target is stalled; otherwise it is only suspect.
    bool m_silent = false;
    /// Its streams may move to other targets.
    bool m_abandon = false;
  };
  /// Returns the stalled and suspect targets that were not reported lately.
  std::vector<Stall> stalled(Instant Now);
  /// For how long the target has sent nothing although an event was due.
  absl::Duration silence(Instant Now, const TargetId &Target) const;
  /// Returns the targets that have sent data since the last call.
  std::vector<TargetId> takeProgress();
  bool hasStreams() const { return !m_targets.empty(); }

private:
  struct TargetState;
  bool mayAbandon(Instant Now, const TargetState &State) const;
  /// Whether the target may still be reading the prompts of all its streams.
  static bool isReading(Instant Now, const TargetState &State);

  struct TargetState {
    int m_streams = 0;
    /// Streams that have sent data.
    int m_flowing = 0;
    Instant m_progress;
    /// When the first events of all streams are due.
    Instant m_firstEventsBy = absl::InfinitePast();
    Instant m_lastReported = absl::InfinitePast();
    /// The present silence was reported as one that lets streams move.
    bool m_abandonReported = false;
    bool m_closedToNew = false;
  };

  StallDetectorOptions m_options;
  std::map<TargetId, TargetState> m_targets;
  std::set<TargetId> m_progressed;
};

} // namespace turmericdyke
