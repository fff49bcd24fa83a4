#include "turmericdyke/src/Requests/AttemptTypes.h"

namespace turmericdyke {

std::string_view nameOf(Outcome Value) {
  constexpr std::string_view Names[] = {"not_run", "may_have_run", "ran"};
  return Names[static_cast<std::size_t>(Value)];
}

std::string_view nameOf(AttemptEnd Value) {
  constexpr std::string_view Names[] = {
      "complete",    "connect_failed",   "refused_by_target", "target_error",
      "crossed",     "ended_early",      "malformed",         "timed_out",
      "caller_gone", "crashing_request", "suspect_waiting"};
  return Names[static_cast<std::size_t>(Value)];
}

Outcome AttemptResult::outcome() const {
  if (m_end == AttemptEnd::Complete)
    return Outcome::Ran;
  if (m_earlierMayHaveRun)
    return Outcome::MayHaveRun;
  if (!m_mayHaveBeenSent || m_end == AttemptEnd::RefusedByTarget)
    return Outcome::NotRun;
  return Outcome::MayHaveRun;
}

} // namespace turmericdyke
