#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "turmericdyke/src/Admission/ClassEstimate.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Edge/ClusterView.h"
#include "turmericdyke/src/Edge/CrashGuard.h"
#include "turmericdyke/src/Requests/RetryPolicy.h"
#include "turmericdyke/src/Routing/Candidate.h"

namespace turmericdyke {

struct EdgeServices;
class AttemptRun;
class ControlPort;

/// A completion request with its limits.
struct CompletionCall {
  RequestId m_request;
  CustomerId m_customer;
  std::string m_pool;
  std::int64_t m_rank = 0;
  std::string m_path;
  std::string m_body;
  bool m_stream = false;
  RequestClass m_class = RequestClass::Short;
  RequestSize m_size;
  std::int64_t m_longTokens = 0;
  std::vector<std::uint64_t> m_prefixHashes;
  Instant m_received;
  Instant m_firstTokenBy;
  Instant m_deadline;
};

/// The next output of an exchange: bytes to forward to the caller, the end, or
/// both.
struct ExchangeStep {
  std::string m_forward;
  std::optional<AttemptResult> m_end;
};

/// Runs the attempts of one admitted completion request, including retries, and
/// forwards the answer. The destructor releases the admission slot. Used only
/// by the thread of the caller's connection.
class Exchange {
public:
  Exchange(EdgeServices &Services, ControlPort &Control, CompletionCall Call);
  /// Cancels a running attempt.
  ~Exchange();

  /// Waits for the next bytes or the end. `IsCallerConnected` is polled while
  /// the target sends nothing.
  ExchangeStep next(const std::function<bool()> &IsCallerConnected);
  /// The body of a complete answer that is not streamed.
  const std::string &body() const { return m_body; }
  std::int64_t attempts() const { return m_attempts; }
  const CompletionCall &call() const { return m_call; }

private:
  bool startAttempt();
  /// Whether the attempt may start. Blocks until a suspect request may run.
  bool mayStart();
  RouteRequest routeRequest(const ClusterView &View) const;
  AttemptResult result(AttemptResult Last) const;
  void finishAttempt(const AttemptResult &Result);
  void recordProgress();
  void correctClass();
  std::optional<double> secondsPerToken() const;
  bool retry(const AttemptResult &Result);

  EdgeServices &m_services;
  CompletionCall m_call;
  std::int64_t m_attempts = 0;
  RouteRequest m_route;
  CrashGuard m_guard;
  bool m_earlierMayHaveRun = false;
  std::optional<ServingReplica> m_replica;
  AttemptId m_attempt;
  std::unique_ptr<AttemptRun> m_run;
  std::string m_body;
  /// The result that is reported if no replica is left to try.
  AttemptResult m_lastResult{AttemptEnd::ConnectFailed, 0, false, false, 0};
  std::optional<Instant> m_firstToken;
  Instant m_lastToken;
  std::int64_t m_tokens = 0;
};

} // namespace turmericdyke
