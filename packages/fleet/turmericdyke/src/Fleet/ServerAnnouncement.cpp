#include "turmericdyke/src/Fleet/ServerAnnouncement.h"

namespace turmericdyke {

std::string_view nameOf(MemberState State) {
  constexpr std::string_view Names[] = {"joining", "ready", "open", "closing",
                                        "broken"};
  return Names[static_cast<std::size_t>(State)];
}

} // namespace turmericdyke
