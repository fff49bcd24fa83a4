#pragma once

#include <string_view>

namespace turmericdyke {

class EntryAttempt;
enum class AttemptOutcome;
struct HttpResponseHead;

/// Receives what an attempt yields, on the loop's thread.
class AttemptEvents {
public:
  virtual ~AttemptEvents() = default;
  /// The response is a valid stream of events. Returns whether its bytes are
  /// wanted; they are buffered otherwise.
  virtual bool onStreamBegun(const HttpResponseHead &Head) = 0;
  virtual void onStreamBytes(std::string_view Bytes) = 0;
  /// Whether the caller's response is complete with the one of this attempt,
  /// which has ended in an orderly way.
  virtual bool completesResponse(const EntryAttempt &Attempt) const = 0;
  /// The attempt has ended and released its connection.
  virtual void onAttemptEnded(AttemptOutcome Outcome) = 0;
};

} // namespace turmericdyke
