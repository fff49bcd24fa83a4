#include "turmericdyke/src/Fleet/ValueChecker.h"

#include <algorithm>

#include <fmt/format.h>

#include "turmericdyke/src/Base/SocketAddress.h"
#include "turmericdyke/src/Fleet/ServerAnnouncement.h"

namespace turmericdyke::internal {

ValueChecker &ValueChecker::name(std::string_view Field,
                                 std::string_view Text) {
  return check(Text.size() <= MaxNameBytes, Field, "is longer than 256 bytes");
}

ValueChecker &ValueChecker::requiredName(std::string_view Field,
                                         std::string_view Text) {
  return check(!Text.empty(), Field, "is empty").name(Field, Text);
}

ValueChecker &ValueChecker::headerText(std::string_view Field,
                                       std::string_view Text) {
  bool Printable = std::all_of(Text.begin(), Text.end(),
                               [](char C) { return C > ' ' && C < 0x7f; });
  return requiredName(Field, Text)
      .check(Printable, Field, "has a character that no header field can hold");
}

ValueChecker &ValueChecker::address(std::string_view Field,
                                    std::string_view Text) {
  return check(isServerAddress(Text), Field,
               "is not IP:port with a port of 1 to 65535");
}

ValueChecker &ValueChecker::atMost(std::string_view Field, std::uint64_t Value,
                                   std::uint64_t Max) {
  return check(Value <= Max, Field, "is below 0 or too large");
}

ValueChecker &ValueChecker::check(bool Valid, std::string_view Field,
                                  std::string_view Message) {
  if (!Valid && !m_error)
    m_error = FleetError{fmt::format("/{}", Field), std::string(Message)};
  return *this;
}

} // namespace turmericdyke::internal
