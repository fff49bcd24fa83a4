#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <doctest/doctest.h>

#include "ScriptedServer.h"
#include "absl/time/clock.h"
#include "turmericdyke/Base"
#include "turmericdyke/Http"

using namespace turmericdyke;

namespace {

/// A call whose response can be judged ends within this time. It is far below
/// any deadline, and above the pauses of a busy machine.
constexpr absl::Duration AtOnce = absl::Seconds(2);
constexpr absl::Duration TestLimit = absl::Seconds(8);
/// More than the buffers of both sockets take.
constexpr std::size_t UploadBytes = 16 << 20;

struct EndedCall : ClientCallEvents {
  explicit EndedCall(EventLoop &Loop) : m_loop(Loop) {}
  bool onResponseHead(const HttpResponseHead &Head) override {
    m_head = Head;
    return true;
  }
  void onResponseBody(std::string_view Bytes) override { m_body.append(Bytes); }
  void onCallEnd(ClientCallStatus End) override {
    m_end = End;
    m_loop.stop();
  }

  EventLoop &m_loop;
  std::optional<HttpResponseHead> m_head;
  std::string m_body;
  std::optional<ClientCallStatus> m_end;
  absl::Duration m_took;
};

struct CallOptions {
  std::size_t m_uploadBytes = 0;
  /// The client's loop stands still for this long, so that everything that the
  /// server does has arrived when it goes on.
  absl::Duration m_standstill = absl::ZeroDuration();
  /// Reading pauses for this long, as it does for a slow caller.
  absl::Duration m_readPause = absl::ZeroDuration();
};

EndedCall call(const ScriptedServer &Server, const CallOptions &Options = {}) {
  EventLoop Loop;
  EndedCall Ended(Loop);
  HttpClientConnection Connection(Loop, Server.address(), {});
  Instant Started = monotonicNow();
  Connection.call(requestBytes("POST", "/", {{"Host", "h"}},
                               std::string(Options.m_uploadBytes, 'u')),
                  false, Ended);
  EventLoop::Timer Standstill = Loop.after(absl::Milliseconds(20), [&Options] {
    absl::SleepFor(Options.m_standstill);
  });
  EventLoop::Timer Pause;
  EventLoop::Timer Resume;
  if (Options.m_readPause > absl::ZeroDuration()) {
    Pause = Loop.after(absl::Milliseconds(10),
                       [&Connection] { Connection.setReading(false); });
    Resume = Loop.after(Options.m_readPause,
                        [&Connection] { Connection.setReading(true); });
  }
  EventLoop::Timer Limit = Loop.after(TestLimit, [&Loop] { Loop.stop(); });
  Loop.run();
  Ended.m_took = monotonicNow() - Started;
  for (EventLoop::Timer *Each : {&Standstill, &Pause, &Resume, &Limit})
    Loop.cancel(*Each);
  Connection.cancel();
  return Ended;
}

/// The ways in which the end of a connection can meet a client that is still
/// sending.
const CallOptions Uploads[] = {
    {UploadBytes},
    {UploadBytes, absl::Milliseconds(300)},
    {UploadBytes, absl::ZeroDuration(), absl::Milliseconds(300)}};

const std::string Unframed = "HTTP/1.1 200 OK\r\nServer: s\r\n\r\n";

} // namespace

// Guards against part of a body that is taken for all of it: send(2) reports
// the reset while the client is still sending, and recv(2) then returns 0 as
// after an orderly close.
TEST_CASE("a body without a length is incomplete if its connection is reset "
          "while the request is sent") {
  ScriptedServer Server(Unframed + "half", Ending::Reset,
                        absl::Milliseconds(50));
  for (const CallOptions &Options : Uploads) {
    CAPTURE(Options.m_standstill);
    CAPTURE(Options.m_readPause);
    EndedCall Ended = call(Server, Options);
    CHECK(Ended.m_end == ClientCallStatus::Broken);
    CHECK(Ended.m_took < AtOnce);
  }
}

// Guards against a fix that takes every connection that fails while the client
// sends for a broken one: an early response may be whole.
TEST_CASE("a body without a length is complete if its connection ends in "
          "order, also while the request is sent") {
  for (Ending End : {Ending::InOrder, Ending::InOrderThenReset}) {
    ScriptedServer Server(Unframed + "whole", End, absl::Milliseconds(50));
    for (const CallOptions &Options : Uploads) {
      CAPTURE(static_cast<int>(End));
      CAPTURE(Options.m_standstill);
      CAPTURE(Options.m_readPause);
      EndedCall Ended = call(Server, Options);
      CHECK(Ended.m_end == ClientCallStatus::Complete);
      CHECK(Ended.m_body == "whole");
    }
  }
}

TEST_CASE("a body with a length or chunks is complete although its connection "
          "is reset behind it") {
  for (const char *Answer :
       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"
        "0\r\n\r\n"}) {
    ScriptedServer Server(Answer, Ending::Reset, absl::Milliseconds(50));
    for (const CallOptions &Options : Uploads) {
      EndedCall Ended = call(Server, Options);
      CHECK(Ended.m_end == ClientCallStatus::Complete);
      CHECK(Ended.m_body == "whole");
    }
  }
}

// Guards against bytes that are no response and reach a caller as one, or hold
// the call until its deadline. The server keeps its connection open, so that
// only the client can end the call.
TEST_CASE("a response whose status is no HTTP status ends the call") {
  const std::string Whole = "\r\nContent-Length: 3\r\n\r\nbad";
  for (const std::string &Answer :
       {"HTTP/1.1 000 Trouble" + Whole, "HTTP/1.1 000" + Whole,
        "HTTP/1.1 000 " + Whole, "HTTP/1.1 042 Trouble" + Whole,
        "HTTP/1.1 20 OK" + Whole, "HTTP/1.1 600 Trouble" + Whole,
        "HTTP/1.1 999 Trouble" + Whole,
        // The head need not be complete.
        std::string("HTTP/1.1 000 Trouble\r\n"),
        std::string("HTTP/1.1 000 Tro"),
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble" + Whole,
        // The client has not asked for another protocol.
        std::string("HTTP/1.1 101 Switching Protocols\r\nConnection: "
                    "upgrade\r\nUpgrade: x\r\n\r\n")}) {
    CAPTURE(Answer);
    ScriptedServer Server(Answer, Ending::Held);
    EndedCall Ended = call(Server);
    CHECK(Ended.m_end == ClientCallStatus::Malformed);
    CHECK_FALSE(Ended.m_head);
    CHECK(Ended.m_took < AtOnce);
  }
}

TEST_CASE("a response with a field name that is no token ends the call") {
  const std::string Begin = "HTTP/1.1 200 OK\r\n";
  const std::string End = "Content-Length: 3\r\n\r\nbad";
  std::vector<std::string> Names = {
      "Bad Name",  " Leading",   "Trailing ",
      "Tab\tName", "Trailing\t", "Transfer-Encoding ",
      "Bad\rName", "Bad\nName",  "",
      "Name\x7f",  "Name\x80",   "Name\"",
      "Name(",     "Name/",      "Name[",
      "Name{"};
  for (char Control = 0; Control < ' '; ++Control)
    Names.push_back(std::string("Control") + Control + "Name");
  auto AnswersWith = [&](const std::string &Name) {
    return std::vector<std::string>{
        Begin + Name + ": 1\r\n" + End, Begin + Name + ":\r\n" + End,
        Begin + "Sound: 1\r\n" + Name + ": 1\r\n" + End,
        // The head need not be complete.
        Begin + Name + ": 1"};
  };
  for (const std::string &Name : Names)
    for (const std::string &Answer : AnswersWith(Name)) {
      CAPTURE(Answer);
      ScriptedServer Server(Answer, Ending::Held);
      EndedCall Ended = call(Server);
      CHECK(Ended.m_end == ClientCallStatus::Malformed);
      CHECK_FALSE(Ended.m_head);
      CHECK(Ended.m_took < AtOnce);
    }
}

TEST_CASE("an interim response or a trailer with a field name that is no token "
          "ends the call") {
  const std::string Final = "HTTP/1.1 200 OK\r\n";
  for (const std::string &Answer :
       {"HTTP/1.1 103 Early Hints\r\nBad Name: 1\r\n\r\n" + Final +
            "Content-Length: 5\r\n\r\nwhole",
        Final + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
                "Bad Name: 1\r\n\r\n",
        Final + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
                "Bad\x01Name: 1\r\n\r\n"}) {
    CAPTURE(Answer);
    ScriptedServer Server(Answer, Ending::Held);
    EndedCall Ended = call(Server);
    CHECK(Ended.m_end == ClientCallStatus::Malformed);
    CHECK(Ended.m_took < AtOnce);
  }
}

TEST_CASE("interim responses, trailers and every field name that is a token "
          "are accepted") {
  const std::string Token = "!#$%&'*+-.^_`|~0123456789"
                            "abcdefghijklmnopqrstuvwxyz"
                            "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
  std::string Head = "HTTP/1.1 200 OK\r\n" + Token + ": all\r\n";
  for (char Each : Token)
    Head += std::string(1, Each) + ":" + Each + "\r\n";
  const std::string Interim =
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 102 Processing\r\n" +
      Token + ": 1\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  const std::vector<std::string> Answers = {
      Interim + Head + "Content-Length: 5\r\n\r\nwhole",
      Interim + Head +
          "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nwhole\r\n"
          "0\r\n" +
          Token + ": 1\r\nLast: 2\r\n\r\n"};
  for (const std::string &Answer : Answers) {
    ScriptedServer Server(Answer, Ending::Held);
    EndedCall Ended = call(Server);
    CHECK(Ended.m_end == ClientCallStatus::Complete);
    CHECK(Ended.m_body == "whole");
    REQUIRE(Ended.m_head);
    CHECK(Ended.m_head->m_fields.find(Token) == "all");
    CHECK(Ended.m_head->m_fields.find("~") == "~");
    CHECK(Ended.m_took < AtOnce);
  }
}

TEST_CASE("every status from 200 to 599 is that of a response") {
  for (int Status : {200, 203, 299, 302, 418, 499, 500, 599}) {
    ScriptedServer Server("HTTP/1.1 " + std::to_string(Status) +
                              "\r\nContent-Length: 5\r\n\r\nwhole",
                          Ending::Held);
    EndedCall Ended = call(Server);
    CHECK(Ended.m_end == ClientCallStatus::Complete);
    REQUIRE(Ended.m_head);
    CHECK(Ended.m_head->m_status == Status);
  }
}
