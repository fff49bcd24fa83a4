#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "turmericdyke/src/Base/Result.h"
#include "turmericdyke/src/Base/StringId.h"
#include "turmericdyke/src/Catalog/CatalogValidation.h"
#include "turmericdyke/src/Http/HttpMessage.h"

namespace turmericdyke {

struct Catalog;

/// What a caller's request says beside method, target and body.
struct CallerRequest {
  /// Empty if the caller gave none.
  RequestId m_id;
  std::string m_host;
  /// How long the caller waits.
  std::optional<absl::Duration> m_patience;
  /// Empty if the request carries no key.
  std::string m_key;
  /// Empty unless the request is for an engine.
  std::string m_model;
  std::int64_t m_promptTokens = 0;
  std::int64_t m_answerTokens = 0;
};

/// What an attempt tells the target beside the caller's request.
struct AttemptStatement {
  TargetId m_target;
  /// Empty on public routes without keys.
  CustomerId m_customer;
  absl::Duration m_timeLeft;
  /// 0 is the most urgent; nothing for requests that engines do not rank.
  std::optional<std::int64_t> m_priority;
  /// The last event that the caller was given by earlier attempts.
  std::optional<std::string> m_resumeAfter;
};

/// What the header of a target's answer says.
struct TargetStatement {
  /// The request that the answer belongs to; empty if it does not say.
  RequestId m_id;
  /// The target states that it did not run the request.
  bool m_notRun = false;
  /// The answer carries the mark of a server that produced it.
  bool m_signed = false;
  /// The body is a stream of events.
  bool m_events = false;
  /// The body was recoded on the way.
  bool m_recoded = false;
};

/// Why an entry node answers a request by itself.
enum class Refusal {
  /// No route has this host and path.
  NoRoute,
  /// The key is missing or nobody holds it.
  NoKey,
  /// The request itself is wrong.
  BadRequest,
  /// This node does not know for sure what is in force. Not run.
  NotInformed,
  /// No target serves this now. Not run.
  NoTarget,
  /// All targets have what they can take. Not run.
  Overloaded,
  /// Every attempt ended before the request ran. Not run.
  AttemptsFailed,
  /// The request may have run, and its answer is lost.
  MayHaveRun,
  /// The time is over; the request may have run.
  TimedOut,
  /// The time is over; the request has not run.
  TimedOutNotRun
};

std::string_view nameOf(Refusal Reason);

/// How callers, targets and the operator's document speak. Holds names and
/// formats only.
class EntryDialect {
public:
  virtual ~EntryDialect() = default;

  virtual CallerRequest readRequest(const HttpRequest &Request) const = 0;
  /// The header of an attempt, without framing.
  virtual HttpFields attemptFields(const HttpRequest &Request,
                                   const AttemptStatement &Attempt) const = 0;
  virtual TargetStatement readAnswer(const HttpResponseHead &Head) const = 0;
  /// The header of an answer as the caller gets it, without framing.
  virtual HttpFields answerFields(const HttpResponseHead &Head) const = 0;
  /// `RetryAfter` is set where the caller should come back.
  virtual HttpResponse
  refusal(Refusal Reason, const RequestId &Id,
          std::optional<absl::Duration> RetryAfter) const = 0;
  virtual bool asksReadiness(const HttpRequest &Request) const = 0;
  virtual Result<Catalog, CatalogError>
  readCatalog(std::string_view Document) const = 0;
};

} // namespace turmericdyke
