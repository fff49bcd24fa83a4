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

/// Settings of a stand-in target. A request whose body contains one of the
/// fault texts fails in that way; empty texts never match.
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
  /// Nodes to announce to, as IP:port. If one does not answer, the next one is
  /// used.
  std::vector<std::string> m_nodes;
  std::string m_targetKey;
  absl::Duration m_announceInterval = absl::Milliseconds(500);
  absl::Duration m_loadTime = absl::Milliseconds(200);
  absl::Duration m_tokenInterval = absl::Milliseconds(5);
  std::int64_t m_tokens = 16;
  std::string m_crashText;
  /// Whether a crash ends the process instead of only this target.
  bool m_exitOnCrash = true;
  std::string m_earlyEndText;
  std::string m_stallText;
  std::string m_wrongAttemptText;
  /// Whether each token and each answer of a service contains the text of its
  /// request: the last user message or prompt, or the body of a service call.
  bool m_echo = false;
};

/// The record of one request that a target ran. Tests compare it with the
/// replies to callers.
struct StandInRun {
  AttemptId m_attempt;
  std::string m_path;
  std::string m_idempotencyKey;
  bool m_finished = false;
  RequestId m_request;
  /// The last user message or prompt, or the body of a service call.
  std::string m_text;
};

/// Returns token `Index` of the answer to `Text` from a target with
/// `StandInOptions::m_echo`.
std::string standInToken(std::int64_t Index, std::string_view Text);

/// A minimal target for tests and the demo. It announces itself, carries out
/// orders, and answers completions and plain service calls with fixed text. It
/// does not model the performance of an engine.
class StandInTarget {
public:
  explicit StandInTarget(StandInOptions Options);
  ~StandInTarget();
  StandInTarget(const StandInTarget &) = delete;
  StandInTarget &operator=(const StandInTarget &) = delete;

  /// Returns the IP:port on which it serves.
  std::string address() const;
  /// Stops announcing and serving immediately, as after a crash.
  void crash();
  /// Returns whether it has crashed.
  bool crashed() const;
  /// Starts or stops announcing; a target that stops acts like a paused one.
  void setAnnouncing(bool Announcing);
  /// Immediately announces that it is leaving.
  void leave();
  /// Changes the engine build, as after a vendor's patch.
  void setEngineBuild(std::string Build);
  std::vector<StandInRun> runs() const;
  /// Returns when the last request or service call arrived, including refused
  /// ones, or the infinite past if there was none.
  Instant lastArrival() const;
  std::size_t cancelled() const;
  TargetAnnouncement announcement() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace turmericdyke
