#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Catalog/CatalogValidation.h"
#include "turmericdyke/src/Http/HttpMessage.h"
#include "turmericdyke/src/Serving/TargetSignal.h"

namespace turmericdyke {

struct Catalog;

/// Metadata of a caller's request.
struct CallerRequest {
  /// Empty if the caller sent none.
  RequestId m_id;
  std::string m_host;
  /// How long the caller waits for the response.
  std::optional<absl::Duration> m_timeout;
  /// Empty if the request has no key.
  std::string m_key;
  /// Empty unless the request is for an engine.
  std::string m_model;
  std::int64_t m_promptTokens = 0;
  std::int64_t m_maxOutputTokens = 0;
  /// Identifiers of the parts of the prompt, in order. Requests share parts;
  /// the last one belongs to this request or to its session.
  std::vector<std::string> m_promptParts;
  /// The number of the last event that the caller has of a stream that it
  /// resumes, or that another node has relayed to it.
  std::optional<std::int64_t> m_resumeAfter;
};

/// Metadata that an attempt sends to the target in addition to the caller's
/// request.
struct AttemptInfo {
  TargetId m_target;
  /// Empty on public routes without keys.
  CustomerId m_customer;
  absl::Duration m_timeLeft;
  /// 0 is the most urgent. Not set for requests that engines do not prioritize.
  std::optional<std::int64_t> m_priority;
  /// Identifier of the last event that earlier attempts delivered to the
  /// caller.
  std::optional<std::string> m_resumeAfter;
};

/// Metadata from the header of a target's response.
struct ResponseInfo {
  /// The request that the response belongs to; empty if not stated.
  RequestId m_id;
  /// The target states that it did not run the request.
  bool m_notRun = false;
  /// The response carries the signature of the server that produced it.
  bool m_signed = false;
  /// The body is a stream of events.
  bool m_events = false;
  /// The body was re-encoded by an intermediary.
  bool m_recoded = false;
  TargetSignal m_signal;
};

/// Why an entry node rejects a request or fails it.
enum class Refusal {
  /// No route matches the host and path.
  NoRoute,
  /// The key is missing or unknown.
  NoKey,
  /// The request is malformed.
  BadRequest,
  /// The node does not know for sure which routes and keys are in force. Not
  /// run.
  NotInformed,
  /// No target serves the request now. Not run.
  NoTarget,
  /// All targets are at capacity. Not run.
  Overloaded,
  /// Every attempt failed before the request ran. Not run.
  AttemptsFailed,
  /// Requests like this one crash the targets that run them. Not run.
  CrashesTargets,
  /// This node stops before the request could be expected to end. Not run.
  Stopping,
  /// The request may have run, and its response is lost.
  MayHaveRun,
  /// The deadline has passed; the request may have run.
  TimedOut,
  /// The deadline has passed; the request has not run.
  TimedOutNotRun,
  /// This node reaches no target of the service, and no other node takes the
  /// request. Not run.
  CutOff
};

std::string_view nameOf(Refusal Reason);

/// Whether a request that is rejected for this reason has not run and never
/// will.
bool isNotRun(Refusal Reason);

/// Translates between the entry node and the formats of callers, targets and
/// the operator's document. Contains names and formats only.
class EntryProtocol {
public:
  virtual ~EntryProtocol() = default;

  virtual CallerRequest readRequest(const HttpRequest &Request) const = 0;
  /// Header fields of an attempt, without those for framing.
  virtual HttpFields attemptFields(const HttpRequest &Request,
                                   const AttemptInfo &Attempt) const = 0;
  /// Header fields of a request that is passed on to another entry node, which
  /// handles it like one of its own callers.
  virtual HttpFields
  forwardFields(const HttpRequest &Request, absl::Duration TimeLeft,
                const std::optional<std::string> &ResumeAfter) const = 0;
  virtual ResponseInfo readResponse(const HttpResponseHead &Head) const = 0;
  /// Header fields of the response to the caller, without those for framing.
  virtual HttpFields responseFields(const HttpResponseHead &Head) const = 0;
  /// `RetryAfter` is set if the caller should retry.
  virtual HttpResponse
  refusal(Refusal Reason, const RequestId &Id,
          std::optional<absl::Duration> RetryAfter) const = 0;
  virtual bool isReadinessProbe(const HttpRequest &Request) const = 0;
  virtual Result<Catalog, CatalogError>
  readCatalog(std::string_view Document) const = 0;
};

} // namespace turmericdyke
