#include "turmericdyke/src/Entry/EntryProtocol.h"

namespace turmericdyke {

std::string_view nameOf(Refusal Reason) {
  constexpr std::string_view Names[] = {
      "no_route",  "no_key",       "bad_request",     "not_informed",
      "no_target", "overloaded",   "attempts_failed", "crashes_targets",
      "stopping",  "may_have_run", "timed_out",       "timed_out_not_run",
      "cut_off"};
  return Names[static_cast<std::size_t>(Reason)];
}

bool isNotRun(Refusal Reason) {
  return Reason != Refusal::MayHaveRun && Reason != Refusal::TimedOut;
}

} // namespace turmericdyke
