#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "ScriptedServer.h"
#include "turmericdyke/Base"
#include "turmericdyke/Ctl"

using namespace turmericdyke;

namespace {

constexpr absl::Duration AtOnce = absl::Seconds(2);

CtlOptions optionsFor(const ScriptedServer &Node) {
  CtlOptions Options;
  Options.m_nodes = {Node.address()};
  Options.m_retries = 0;
  Options.m_timeout = absl::Seconds(10);
  return Options;
}

} // namespace

// Guards against bytes of a node in trouble that an operator reads as the
// outcome of a change, or as "not made" although it may have been made.
TEST_CASE("a broken answer of a node is no answer, and leaves a change "
          "uncertain") {
  const std::string Refused =
      "Content-Type: application/json\r\nContent-Length: 21\r\n\r\n"
      "{\"outcome\":\"not_run\"}\n";
  for (const std::string &Answer :
       {"HTTP/1.1 000 Trouble\r\n" + Refused,
        "HTTP/1.1 099 Trouble\r\n" + Refused,
        "HTTP/1.1 999 Trouble\r\n" + Refused,
        "HTTP/1.1 200 OK\r\nBad Name: 1\r\n" + Refused,
        "HTTP/1.1 409 Conflict\r\nBad\x01Name: 1\r\n" + Refused,
        "HTTP/1.1 503 Stopping\r\nTrailing : 1\r\n" + Refused}) {
    CAPTURE(Answer);
    ScriptedServer Node(Answer, Ending::InOrder);
    CtlOptions Options = optionsFor(Node);
    OperatorClient Client(Options);
    Instant Started = monotonicNow();
    CHECK(
        Client.change("/v1/declaration", nlohmann::json::object()).m_outcome ==
        SendOutcome::Lost);
    CHECK(Client.get("/v1/status").m_outcome != SendOutcome::Answered);
    CHECK(monotonicNow() - Started < AtOnce);
  }
}

TEST_CASE("an answer without a length that is reset within the request leaves "
          "a change uncertain") {
  ScriptedServer Node("HTTP/1.1 200 OK\r\n\r\n{\"result\":\"accepted\"}",
                      Ending::Reset, absl::Milliseconds(50));
  CtlOptions Options = optionsFor(Node);
  OperatorClient Client(Options);
  Instant Started = monotonicNow();
  nlohmann::json Change = {{"document", std::string(16 << 20, 'd')}};
  CHECK(Client.change("/v1/declaration", Change).m_outcome ==
        SendOutcome::Lost);
  CHECK(monotonicNow() - Started < AtOnce);
}

TEST_CASE("a sound answer of a node is read whole") {
  const std::string Accepted = "{\"result\":\"accepted\"}";
  const std::string Ok = "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0aZ: 1\r\n";
  const std::vector<std::string> Answers = {
      Ok + "Content-Length: 21\r\n\r\n" + Accepted, Ok + "\r\n" + Accepted,
      Ok + "Transfer-Encoding: chunked\r\n\r\n15\r\n" + Accepted +
          "\r\n0\r\n\r\n"};
  for (const std::string &Answer : Answers) {
    CAPTURE(Answer);
    ScriptedServer Node(Answer, Ending::InOrder);
    CtlOptions Options = optionsFor(Node);
    OperatorAnswer Got = OperatorClient(Options).change(
        "/v1/declaration", nlohmann::json::object());
    CHECK(Got.m_outcome == SendOutcome::Answered);
    CHECK(textField(Got.m_body, "result") == "accepted");
  }
}
