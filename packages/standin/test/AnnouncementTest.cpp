#include <string>

#include <doctest/doctest.h>

#include "ScriptedServer.h"
#include "absl/time/clock.h"
#include "turmericdyke/StandIn"

using namespace turmericdyke;

// Guards against a stand-in that goes on announcing itself to a node in
// trouble, whose bytes it takes for an acknowledgement.
TEST_CASE("a broken answer to an announcement is no acknowledgement") {
  const std::string Body = "Content-Length: 2\r\n\r\n{}";
  for (const std::string &Answer :
       {"HTTP/1.1 000 Trouble\r\n" + Body,
        "HTTP/1.1 200 OK\r\nBad Name: 1\r\n" + Body,
        "HTTP/1.1 200 OK\r\nBad\x01Name: 1\r\n" + Body}) {
    CAPTURE(Answer);
    ScriptedServer InTrouble(Answer, Ending::InOrder);
    ScriptedServer Sound("HTTP/1.1 200 OK\r\n" + Body, Ending::InOrder);
    StandInOptions Options;
    Options.m_target = TargetId("t");
    Options.m_nodes = {InTrouble.address(), Sound.address()};
    Options.m_announceInterval = absl::Milliseconds(20);
    StandInTarget Target(Options);
    constexpr int MaxTries = 500;
    for (int Try = 0; Try < MaxTries && Sound.requests() < 3; ++Try)
      absl::SleepFor(absl::Milliseconds(10));
    CHECK(Sound.requests() >= 3);
    CHECK(InTrouble.requests() >= 1);
  }
}
