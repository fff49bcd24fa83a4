#include <atomic>
#include <optional>
#include <string>
#include <thread>

#include <sys/socket.h>
#include <unistd.h>

#include <doctest/doctest.h>

#include "ScriptedServer.h"
#include "absl/time/clock.h"
#include "turmericdyke/Http"
#include "turmericdyke/src/Coordinator/ServerCalls.h"

namespace turmericdyke {

// Guards against a faulty server that takes the coordinator's processor with a
// response without end: the call must not read on until its timeout.
TEST_CASE("a call to a server ends when its response exceeds the bound") {
  internal::Descriptor Listener =
      std::move(internal::listenOn("127.0.0.1:0")).value();
  std::atomic<bool> Stop = false;
  std::thread Server([&] {
    int File = -1;
    while (File < 0 && !Stop)
      File = accept(Listener.get(), nullptr, nullptr);
    std::string Bytes =
        "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n" +
        std::string(64 << 10, 'x');
    while (!Stop && ::send(File, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) > 0)
      ;
    close(File);
  });
  EventLoop Loop;
  HttpClientPool Pool(Loop, {}, [] {});
  ServerCalls Calls(Loop, Pool);
  std::optional<ServerCallResult> Ended;
  constexpr absl::Duration Timeout = absl::Seconds(4);
  Instant Started = monotonicNow();
  Calls.call(internal::boundAddress(Listener), "GET / HTTP/1.1\r\n\r\n",
             Timeout, [&](const ServerCallResult &Result) {
               Ended = Result;
               Loop.stop();
             });
  Loop.run();
  Stop = true;
  Server.join();
  REQUIRE(Ended);
  CHECK(Ended->m_status == 0);
  CHECK_FALSE(Ended->m_refused);
  CHECK(monotonicNow() - Started < Timeout / 2);
}

// Guards against a server in trouble whose bytes pass for an accepted order or
// a report, or hold the call until its timeout.
TEST_CASE("a broken answer to an order or a probe ends the call without a "
          "status") {
  const std::string Body = "Content-Length: 2\r\n\r\n{}";
  struct Case {
    std::string m_answer;
    Ending m_end = Ending::Held;
    std::size_t m_orderBytes = 2;
  };
  // The first order is larger than the buffers of both sockets.
  for (const Case &Each :
       {Case{"HTTP/1.1 200 OK\r\n\r\n{\"staged\":[", Ending::Reset, 16 << 20},
        Case{"HTTP/1.1 000 Trouble\r\n" + Body},
        Case{"HTTP/1.1 200 OK\r\nBad Name: 1\r\n" + Body},
        Case{"HTTP/1.1 200 OK\r\nBad\x02Name: 1\r\n" + Body}}) {
    CAPTURE(Each.m_answer);
    ScriptedServer Server(Each.m_answer, Each.m_end, absl::Milliseconds(50));
    EventLoop Loop;
    HttpClientPool Pool(Loop, {}, [] {});
    ServerCalls Calls(Loop, Pool);
    std::optional<ServerCallResult> Ended;
    constexpr absl::Duration Timeout = absl::Seconds(4);
    Instant Started = monotonicNow();
    Calls.call(Server.address(),
               requestBytes("POST", "/order", {{"Host", "h"}},
                            std::string(Each.m_orderBytes, ' ')),
               Timeout, [&](const ServerCallResult &Result) {
                 Ended = Result;
                 Loop.stop();
               });
    Loop.run();
    REQUIRE(Ended);
    CHECK(Ended->m_status == 0);
    CHECK(monotonicNow() - Started < Timeout / 2);
  }
}

} // namespace turmericdyke
