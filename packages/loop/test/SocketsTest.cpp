#include <cerrno>
#include <utility>

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "absl/time/clock.h"
#include "turmericdyke/Base"
#include "turmericdyke/Loop"

using namespace turmericdyke;

namespace {

int option(const internal::Descriptor &Socket, int Name) {
  int Value = 0;
  socklen_t Size = sizeof Value;
  REQUIRE(getsockopt(Socket.get(), IPPROTO_TCP, Name, &Value, &Size) == 0);
  return Value;
}

} // namespace

TEST_CASE("neither one lost keep-alive probe nor a sound silence ends a "
          "connection") {
  for (int LimitSeconds : {4, 8, 30}) {
    CAPTURE(LimitSeconds);
    auto Socket = internal::listenOn("127.0.0.1:0");
    REQUIRE(Socket);
    internal::limitSilence(Socket.value(), absl::Seconds(LimitSeconds));
    absl::Duration Limit =
        absl::Milliseconds(option(Socket.value(), TCP_USER_TIMEOUT));
    absl::Duration First = absl::Seconds(option(Socket.value(), TCP_KEEPIDLE));
    absl::Duration Interval =
        absl::Seconds(option(Socket.value(), TCP_KEEPINTVL));
    CHECK(Limit == absl::Seconds(LimitSeconds));
    // Two probes after the first are due before the connection ends, and a
    // silence that covers the first ends before the last.
    CHECK(First + 2 * Interval < Limit);
    CHECK(2 * Interval > MaxSoundSilence);
  }
}

namespace {

/// A connection over loopback.
struct SocketPair {
  SocketPair() {
    auto Listener = internal::listenOn("127.0.0.1:0");
    REQUIRE(Listener);
    auto Opened = internal::connectTo(internal::boundAddress(Listener.value()));
    REQUIRE(Opened);
    m_client = std::move(Opened).value();
    for (int Try = 0; m_server.get() < 0 && Try < 1000; ++Try) {
      absl::SleepFor(absl::Milliseconds(1));
      m_server = internal::acceptFrom(Listener.value());
    }
    REQUIRE(m_server.get() >= 0);
  }
  void send() const { REQUIRE(::send(m_client.get(), "request", 7, 0) == 7); }
  /// Waits until the client has heard of the end of the connection.
  void awaitEnd() const {
    char Byte = 0;
    for (int Try = 0; Try < 1000; ++Try) {
      ssize_t Count = recv(m_client.get(), &Byte, 1, MSG_PEEK);
      if (Count == 0 || errno != EAGAIN)
        return;
      absl::SleepFor(absl::Milliseconds(1));
    }
  }

  internal::Descriptor m_client;
  internal::Descriptor m_server;
};

} // namespace

// Guards against a crash that is taken for a closed connection, or the reverse:
// only the acknowledgement of the request tells them apart.
TEST_CASE("a socket tells after its end whether its bytes were acknowledged") {
  SocketPair Crashed;
  Crashed.send();
  char Request[7];
  ssize_t Read = -1;
  for (int Try = 0; Read < 0 && Try < 1000; ++Try) {
    absl::SleepFor(absl::Milliseconds(1));
    Read = recv(Crashed.m_server.get(), Request, sizeof Request, 0);
  }
  REQUIRE(Read == sizeof Request);
  Crashed.m_server = internal::Descriptor();
  Crashed.awaitEnd();
  CHECK(internal::unacknowledgedBytes(Crashed.m_client) == 0);

  SocketPair Closed;
  Closed.m_server = internal::Descriptor();
  Closed.awaitEnd();
  Closed.send();
  absl::SleepFor(absl::Milliseconds(5));
  CHECK(internal::unacknowledgedBytes(Closed.m_client) == sizeof Request);
}
