#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "ScriptedServer.h"
#include "absl/time/clock.h"
#include "turmericdyke/Edge"

using namespace turmericdyke;

namespace {

/// An attempt whose answer can be judged ends within this time, far below the
/// limits of an attempt.
constexpr absl::Duration AtOnce = absl::Seconds(2);
constexpr std::size_t UploadBytes = 16 << 20;

std::string head(const std::string &StatusLine) {
  return "HTTP/1.1 " + StatusLine + "\r\nX-Turmericdyke-Attempt: a1\r\n";
}

struct EndedAttempt {
  AttemptResult m_result;
  std::string m_body;
  absl::Duration m_took;
};

/// Runs an attempt of a plain service call.
EndedAttempt attempt(const ScriptedServer &Target, std::size_t BodyBytes = 0) {
  TargetCall Call;
  Call.m_address = Target.address();
  Call.m_method = "POST";
  Call.m_path = "/bookings";
  Call.m_body = std::string(BodyBytes, 'u');
  Instant Started = monotonicNow();
  AttemptLimits Limits;
  Limits.m_deadline = Started + absl::Seconds(10);
  TargetLoop Loop;
  AttemptRun Run(Loop, AttemptId("a1"), ResponseFormat::Plain, Limits, Call);
  AttemptActions Actions = Run.next([] { return true; });
  return {*Actions.m_result, Run.machine().body(), monotonicNow() - Started};
}

} // namespace

// Guards against answers of a service in trouble that reach its caller as the
// outcome of a call.
TEST_CASE("a broken answer of a service is no answer, and may have run") {
  const std::string Body = "Content-Length: 6\r\n\r\nbroken";
  for (const std::string &Answer :
       {head("000 Trouble") + Body,
        head("000 Trouble") + "X-Turmericdyke-Outcome: not_run\r\n" + Body,
        head("999 Trouble") + Body, head("200 OK") + "Bad Name: 1\r\n" + Body,
        head("200 OK") + "Content-Type : text/html\r\n" + Body,
        head("200 OK") + "Bad Name:\r\n" + Body,
        head("200 OK") + "Bad\x01Name: 1\r\n" + Body,
        head("503 Full") +
            "X-Turmericdyke-Outcome: not_run\r\nBad\tName: 1\r\n" + Body,
        // The head need not be complete.
        head("200 OK") + "Bad Name", head("000 Trouble")}) {
    CAPTURE(Answer);
    ScriptedServer Target(Answer, Ending::Held);
    EndedAttempt Ended = attempt(Target);
    CHECK(Ended.m_result.m_end == AttemptEnd::Malformed);
    CHECK(Ended.m_result.outcome() == Outcome::MayHaveRun);
    CHECK(Ended.m_took < AtOnce);
  }
}

TEST_CASE("an answer without a length that is reset within the upload is not "
          "complete") {
  ScriptedServer Target(head("200 OK") + "\r\nbroken", Ending::Reset,
                        absl::Milliseconds(50));
  EndedAttempt Ended = attempt(Target, UploadBytes);
  CHECK(Ended.m_result.m_end == AttemptEnd::EndedEarly);
  CHECK(Ended.m_result.outcome() == Outcome::MayHaveRun);
  CHECK(Ended.m_took < AtOnce);
}

TEST_CASE("sound answers of a service arrive whole") {
  const std::string Ok =
      head("200 OK") + "!#$%&'*+-.^_`|~0123456789aZ: all\r\n";
  const std::string Length = "Content-Length: 5\r\n\r\nwhole";
  const std::string Chunks =
      "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n";
  const std::vector<std::string> Answers = {
      Ok + Length, Ok + Chunks + "\r\n", Ok + Chunks + "Trailer: 1\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
      "Link: </a>\r\n\r\n" +
          Ok + Length};
  for (const std::string &Answer : Answers)
    for (std::size_t BodyBytes : {std::size_t{0}, UploadBytes}) {
      CAPTURE(Answer);
      CAPTURE(BodyBytes);
      ScriptedServer Target(Answer, Ending::Held);
      EndedAttempt Ended = attempt(Target, BodyBytes);
      CHECK(Ended.m_result.m_end == AttemptEnd::Complete);
      CHECK(Ended.m_result.m_status == 200);
      CHECK(Ended.m_body == "whole");
      CHECK(Ended.m_took < AtOnce);
    }
}

// Guards against a body that outgrows the memory of the node, or is lost, while
// its caller is slow.
TEST_CASE("a long answer arrives whole at a slow reader") {
  const std::string Body(8 << 20, 'b');
  ScriptedServer Target(head("200 OK") + "Content-Length: " +
                            std::to_string(Body.size()) + "\r\n\r\n" + Body,
                        Ending::InOrder);
  TargetLoop Loop;
  TargetCall Call;
  Call.m_address = Target.address();
  Call.m_method = "GET";
  Call.m_path = "/";
  TargetConnection Connection(Loop, Call);
  std::size_t Received = 0;
  for (;;) {
    std::optional<ConnectionEvent> Event = Connection.next(AtOnce);
    REQUIRE(Event);
    Received += Event->m_bytes.size();
    if (Event->m_end) {
      CHECK(Event->m_end == ConnectionEnd::MessageComplete);
      break;
    }
    // Longer than the loop needs to fill the queue again.
    if (Received % (1 << 20) < (16 << 10))
      absl::SleepFor(absl::Milliseconds(5));
  }
  CHECK(Received == Body.size());
}
