#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Fleet/TargetAnnouncement.h"

namespace turmericdyke {

/// Settings of a stand-in target. The fault texts make a request whose body
/// contains them fail in that way; empty ones never match.
struct StandInOptions {
  TargetId m_target;
  HostId m_host;
  FabricDomainId m_fabricDomain;
  FailureDomainId m_failureDomain;
  std::int64_t m_accelerators = 8;
  TargetKind m_kind = TargetKind::Model;
  ServiceId m_service;
  std::string m_engineBuild = "build-1";
  bool m_checksFencing = true;
  /// Nodes to announce to, as IP:port; the next one is used when one does not
  /// answer.
  std::vector<std::string> m_nodes;
  std::string m_targetKey;
  absl::Duration m_announceInterval = absl::Milliseconds(500);
  absl::Duration m_loadTime = absl::Milliseconds(200);
  absl::Duration m_tokenInterval = absl::Milliseconds(5);
  std::int64_t m_tokens = 16;
  std::string m_crashText;
  /// Whether a crash ends the process, or only this target.
  bool m_crashExits = true;
  std::string m_earlyEndText;
  std::string m_silentText;
  std::string m_crossedText;
  /// Whether each token and each answer of a service repeats the text of its
  /// request: the last user message or prompt, or the body of a service call.
  bool m_echo = false;
};

/// What a target did with one request, kept so that tests can compare it with
/// what callers were told.
struct StandInRun {
  AttemptId m_attempt;
  std::string m_path;
  std::string m_idempotencyKey;
  bool m_finished = false;
  RequestId m_request;
  /// The last user message or prompt, or the body of a service call.
  std::string m_text;
};

/// The text that a target with `StandInOptions::m_echo` sends as token `Index`
/// of the answer to `Text`.
std::string standInToken(std::int64_t Index, std::string_view Text);

/// A small target for tests and the demo: announces itself, follows orders,
/// serves completions and plain service calls with fixed text. Not a model of
/// an engine's speed.
class StandInTarget {
public:
  explicit StandInTarget(StandInOptions Options);
  ~StandInTarget();
  StandInTarget(const StandInTarget &) = delete;
  StandInTarget &operator=(const StandInTarget &) = delete;

  /// IP:port where it serves.
  std::string address() const;
  /// Stops announcing and serving at once, as a crash does.
  void crash();
  /// Whether it has crashed.
  bool crashed() const;
  /// Stops announcing only, as a paused target does.
  void setAnnouncing(bool Announcing);
  /// Announces that it leaves, at once.
  void leave();
  /// Changes the engine build, as a vendor's patch does.
  void setEngineBuild(std::string Build);
  std::vector<StandInRun> runs() const;
  /// When the last request or service call arrived, also if it was refused;
  /// the infinite past if there was none.
  Instant lastArrival() const;
  std::size_t cancelled() const;
  TargetAnnouncement announcement() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace turmericdyke
