#include "turmericdyke/src/Loop/TurnLog.h"

#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Base/LogSink.h"

namespace turmericdyke {

namespace internal {
namespace {

/// A quarter of the shortest election timeout.
constexpr absl::Duration LongTurn = absl::Milliseconds(250);

} // namespace
} // namespace internal

void logTurn(absl::Duration Busy) {
  if (Busy >= internal::LongTurn)
    LogLine(LogLevel::Warning, "loop_turn_long")
        .field("ms", absl::ToInt64Milliseconds(Busy));
  LogSink::standard().flush();
}

} // namespace turmericdyke
