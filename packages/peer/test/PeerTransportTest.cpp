#include <doctest/doctest.h>

#include <functional>

#include "RelaySocket.h"
#include "ScriptedServer.h"
#include "absl/time/clock.h"
#include "turmericdyke/Base"
#include "turmericdyke/Peer"

using namespace turmericdyke;

namespace {

PeerTransportOptions options(const std::string &Node) {
  PeerTransportOptions Options;
  Options.m_identity.m_node = NodeId(Node);
  Options.m_identity.m_incarnation = 1;
  Options.m_clusterSecret = "secret";
  return Options;
}

/// A transport that stores the messages it receives.
struct Endpoint {
  explicit Endpoint(PeerTransportOptions Options)
      : m_transport(std::move(
            PeerTransport::start(std::move(Options), [this](ReceivedMessage M) {
              absl::MutexLock Lock(&m_lock);
              m_received.push_back(std::move(M));
            }).value())) {}
  explicit Endpoint(const std::string &Node) : Endpoint(options(Node)) {}

  std::size_t received() const {
    absl::MutexLock Lock(&m_lock);
    return m_received.size();
  }
  ReceivedMessage last() const {
    absl::MutexLock Lock(&m_lock);
    return m_received.back();
  }
  std::uint64_t count(PeerCounter Counter) const {
    return m_transport->counters().value(Counter);
  }

  mutable absl::Mutex m_lock;
  std::vector<ReceivedMessage> m_received;
  std::unique_ptr<PeerTransport> m_transport;
};

bool eventually(const std::function<bool()> &Holds,
                absl::Duration Within = absl::Seconds(5)) {
  Instant End = monotonicNow() + Within;
  while (monotonicNow() < End) {
    if (Holds())
      return true;
    absl::SleepFor(absl::Milliseconds(2));
  }
  return Holds();
}

/// A raw client of a listening socket.
struct RawClient {
  explicit RawClient(const std::string &Address)
      : m_socket(std::move(internal::connectTo(Address).value())) {
    pollfd Ready{m_socket.get(), POLLOUT, 0};
    poll(&Ready, 1, 1000);
  }
  void send(std::string_view Bytes) const {
    (void)!::send(m_socket.get(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }
  bool closedWithin(absl::Duration Within) const {
    return eventually(
        [&] {
          char Buffer[4096];
          ssize_t Count =
              recv(m_socket.get(), Buffer, sizeof Buffer, MSG_DONTWAIT);
          return Count == 0 || (Count < 0 && errno != EAGAIN);
        },
        Within);
  }
  internal::Descriptor m_socket;
};

/// A frame of HTTP/2 on stream `Stream`.
std::string frame(char Type, char Flags, char Stream,
                  const std::string &Payload) {
  std::string Bytes = {
      0, 0, static_cast<char>(Payload.size()), Type, Flags, 0, 0, 0, Stream};
  return Bytes + Payload;
}

/// A header field whose name and value are literals.
std::string literal(const std::string &Name, const std::string &Value) {
  return std::string(1, 0) + static_cast<char>(Name.size()) + Name +
         static_cast<char>(Value.size()) + Value;
}

struct QuietLog {
  QuietLog() { setLogLevel(LogLevel::Error); }
};
const QuietLog Quiet;

} // namespace

TEST_CASE("three transports exchange messages of each kind unchanged, also "
          "empty and large ones") {
  Endpoint A("a"), B("b"), C("c");
  Endpoint *All[] = {&A, &B, &C};
  for (Endpoint *From : All)
    for (Endpoint *To : All)
      if (From != To)
        REQUIRE(From->m_transport
                    ->sendTo(To->m_transport->address(), PeerMessageKind::Raft,
                             "first")
                    .has_value());
  for (Endpoint *Each : All)
    CHECK(eventually([&] { return Each->received() == 2; }));
  std::string Large(5 << 20, 'x');
  for (const std::string &Body : {std::string(), Large})
    for (std::size_t Kind = 1; Kind < PeerMessageKinds; ++Kind) {
      std::size_t Before = B.received();
      REQUIRE(A.m_transport
                  ->send(NodeId("b"), static_cast<PeerMessageKind>(Kind), Body)
                  .has_value());
      REQUIRE(eventually([&] { return B.received() == Before + 1; }));
      CHECK(B.last().m_kind == static_cast<PeerMessageKind>(Kind));
      CHECK(B.last().m_from == NodeId("a"));
      CHECK(B.last().m_fromAddress == A.m_transport->address());
      CHECK((B.last().m_bytes == Body));
    }
}

TEST_CASE("a transport that restarts at its address is reconnected, and "
          "queued messages are not lost with the old connection") {
  Endpoint A("a");
  auto B = std::make_unique<Endpoint>("b");
  std::string Address = B->m_transport->address();
  A.m_transport->setPeer(NodeId("b"), Address);
  REQUIRE(A.m_transport->send(NodeId("b"), PeerMessageKind::Propose, "1")
              .has_value());
  REQUIRE(eventually([&] { return B->received() == 1; }));
  B.reset();
  absl::SleepFor(absl::Milliseconds(50));
  REQUIRE(A.m_transport->send(NodeId("b"), PeerMessageKind::Propose, "2")
              .has_value());
  absl::SleepFor(absl::Milliseconds(200));
  PeerTransportOptions Again = options("b");
  Again.m_listenAddress = Address;
  Again.m_identity.m_incarnation = 2;
  Endpoint Restarted(Again);
  CHECK(eventually([&] { return Restarted.received() == 1; }));
  CHECK(Restarted.last().m_bytes == "2");
}

TEST_CASE("a connection that stops responding without closing is replaced, and "
          "messages arrive over the new one within 3 s") {
  Endpoint A("a"), B("b");
  RelaySocket Relay(B.m_transport->address());
  auto Send = [&] {
    return A.m_transport->sendTo(Relay.address(), PeerMessageKind::Swim, "x")
        .has_value();
  };
  REQUIRE(Send());
  REQUIRE(eventually([&] { return B.received() == 1; }));
  absl::SleepFor(absl::Milliseconds(1100)); // past an answered PING
  Relay.freeze();
  absl::SleepFor(absl::Milliseconds(30));
  std::size_t Before = B.received();
  Instant Frozen = monotonicNow();
  bool Arrived = eventually(
      [&] {
        Send();
        absl::SleepFor(absl::Milliseconds(50));
        return B.received() > Before;
      },
      absl::Seconds(6));
  CHECK(Arrived);
  CHECK(monotonicNow() - Frozen < absl::Seconds(3));
  CHECK(A.count(PeerCounter::ReplacedSilent) == 1);
  CHECK(Relay.accepted() == 2);
}

TEST_CASE("an idle but responsive connection is not replaced") {
  Endpoint A("a"), B("b");
  REQUIRE(A.m_transport
              ->sendTo(B.m_transport->address(), PeerMessageKind::Swim, "x")
              .has_value());
  absl::SleepFor(absl::Milliseconds(3500));
  CHECK(A.count(PeerCounter::Connections) == 1);
  CHECK(A.count(PeerCounter::ReplacedSilent) == 0);
}

TEST_CASE("transports with different secrets exchange no message in either "
          "direction") {
  PeerTransportOptions Wrong = options("b");
  Wrong.m_clusterSecret = "other";
  Endpoint A("a"), B(Wrong);
  (void)A.m_transport->sendTo(B.m_transport->address(), PeerMessageKind::Swim,
                              "x");
  (void)B.m_transport->sendTo(A.m_transport->address(), PeerMessageKind::Swim,
                              "x");
  CHECK(eventually([&] {
    return A.count(PeerCounter::HandshakeFailures) > 0 &&
           B.count(PeerCounter::HandshakeFailures) > 0;
  }));
  absl::SleepFor(absl::Milliseconds(300));
  CHECK(A.received() + B.received() == 0);
  CHECK(A.count(PeerCounter::Connections) + B.count(PeerCounter::Connections) ==
        0);
}

TEST_CASE("a connection to an address where another node answers carries no "
          "message meant for the first") {
  Endpoint A("a"), B("b");
  A.m_transport->setPeer(NodeId("c"), B.m_transport->address());
  REQUIRE(A.m_transport->send(NodeId("c"), PeerMessageKind::Propose, "x")
              .has_value());
  CHECK(
      eventually([&] { return A.count(PeerCounter::HandshakeFailures) > 0; }));
  CHECK(B.received() == 0);
}

TEST_CASE("the recorded bytes of a handshake and message, replayed, deliver "
          "nothing") {
  Endpoint A("a"), B("b");
  RelaySocket Relay(B.m_transport->address());
  REQUIRE(
      A.m_transport->sendTo(Relay.address(), PeerMessageKind::Propose, "once")
          .has_value());
  REQUIRE(eventually([&] { return B.received() == 1; }));
  absl::SleepFor(absl::Milliseconds(100));
  RawClient Replay(B.m_transport->address());
  Replay.send(Relay.recorded());
  CHECK(Replay.closedWithin(absl::Seconds(4)));
  CHECK(B.count(PeerCounter::HandshakeFailures) == 1);
  CHECK(B.received() == 1);
}

TEST_CASE("two versions agree on the older one, and versions without overlap "
          "do not connect") {
  PeerTransportOptions Newer = options("b");
  Newer.m_identity.m_version = 2;
  PeerTransportOptions TooNew = options("c");
  TooNew.m_identity.m_version = 3;
  TooNew.m_identity.m_minVersion = 2;
  Endpoint A("a"), B(Newer), C(TooNew);
  for (Endpoint *To : {&A, &C})
    REQUIRE(B.m_transport
                ->sendTo(To->m_transport->address(), PeerMessageKind::Swim, "x")
                .has_value());
  REQUIRE(eventually([&] { return A.received() + C.received() == 2; }));
  CHECK(A.last().m_version == 1);
  CHECK(C.last().m_version == 2);
  REQUIRE(A.m_transport
              ->sendTo(C.m_transport->address(), PeerMessageKind::Swim, "x")
              .has_value());
  CHECK(
      eventually([&] { return A.count(PeerCounter::HandshakeFailures) > 0; }));
  CHECK(C.received() == 1);
}

TEST_CASE("a message over the receiver's limit is dropped without affecting "
          "others, and one over the sender's limit is rejected by send") {
  PeerTransportOptions Small = options("b");
  Small.m_maxMessageBytes = 1000;
  Endpoint A("a"), B(Small);
  std::string Address = B.m_transport->address();
  for (std::size_t Size : {100000u, 1001u, 1000u})
    REQUIRE(
        A.m_transport
            ->sendTo(Address, PeerMessageKind::Propose, std::string(Size, 'x'))
            .has_value());
  REQUIRE(eventually([&] { return B.received() == 1; }));
  CHECK(B.last().m_bytes.size() == 1000);
  Result<void, PeerError> Refused = A.m_transport->sendTo(
      Address, PeerMessageKind::Propose, std::string((16 << 20) + 1, 'x'));
  REQUIRE_FALSE(Refused.has_value());
  CHECK(Refused.error().m_code == PeerErrorCode::TooLarge);
}

TEST_CASE(
    "an unreachable peer uses bounded memory and never blocks the caller") {
  PeerTransportOptions Bounded = options("a");
  Bounded.m_queueLimits.m_messages = 10;
  Endpoint A(Bounded);
  RelaySocket Hole("127.0.0.1:1");
  std::size_t Refused = 0;
  Instant Start = monotonicNow();
  for (int Count = 0; Count < 1000; ++Count) {
    (void)A.m_transport->sendTo(Hole.address(), PeerMessageKind::Raft, "x");
    if (!A.m_transport->sendTo(Hole.address(), PeerMessageKind::Propose, "x"))
      ++Refused;
  }
  CHECK(monotonicNow() - Start < absl::Seconds(1));
  CHECK(Refused >= 990);
  CHECK(A.count(PeerCounter::DroppedOlder) > 900);
  CHECK(A.m_transport->send(NodeId("nobody"), PeerMessageKind::Raft, "x")
            .error()
            .m_code == PeerErrorCode::UnknownPeer);
}

TEST_CASE("messages queued just before a stop still arrive, and a stopped "
          "transport rejects messages") {
  Endpoint A("a"), B("b");
  for (int Count = 0; Count < 500; ++Count)
    REQUIRE(A.m_transport
                ->sendTo(B.m_transport->address(), PeerMessageKind::Raft, "x")
                .has_value());
  A.m_transport->stop();
  CHECK(B.received() == 500);
  CHECK(A.m_transport->send(NodeId("b"), PeerMessageKind::Raft, "x")
            .error()
            .m_code == PeerErrorCode::Stopped);
}

TEST_CASE("random and mutated bytes on the listening socket neither crash the "
          "transport nor block other peers") {
  Endpoint A("a"), B("b");
  RelaySocket Relay(B.m_transport->address());
  REQUIRE(A.m_transport->sendTo(Relay.address(), PeerMessageKind::Raft, "x")
              .has_value());
  REQUIRE(eventually([&] { return B.received() == 1; }));
  absl::SleepFor(absl::Milliseconds(50));
  std::string Valid = Relay.recorded();
  std::uint64_t Seed = 20261204;
  auto Random = [&] { return (Seed = Seed * 6364136223846793005u + 1) >> 33; };
  for (int Round = 0; Round < 300; ++Round) {
    std::string Bytes = Valid;
    for (std::uint64_t Count = Random() % 20; Count > 0; --Count)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    if (Round % 3 == 0)
      for (char &C : Bytes)
        C = static_cast<char>(Random());
    RawClient(B.m_transport->address()).send(Bytes);
  }
  CHECK(B.received() == 1);
  Endpoint C("c");
  REQUIRE(C.m_transport
              ->sendTo(B.m_transport->address(), PeerMessageKind::Raft, "y")
              .has_value());
  CHECK(eventually([&] { return B.received() == 2; }));
}

// Guards against bytes of a process in trouble that pass for an acknowledgement
// or for the answer of another node.
TEST_CASE("a broken answer of a peer neither authenticates it nor acknowledges "
          "a message") {
  constexpr char Data = 0, Headers = 1, Settings = 4;
  constexpr char EndStream = 1, EndHeaders = 4;
  const std::string Begin = frame(Settings, 0, 0, "");
  auto Head = [&](const std::string &Fields, char Flags) {
    return Begin +
           frame(Headers, static_cast<char>(EndHeaders | Flags), 1, Fields);
  };
  const std::string Ok = literal(":status", "200");
  struct Case {
    std::string m_name;
    std::string m_answer;
    Ending m_end = Ending::Held;
  };
  for (const Case &Each :
       {Case{"status 000", Head(literal(":status", "000"), EndStream)},
        Case{"status 999", Head(literal(":status", "999"), EndStream)},
        Case{"blank in a name", Head(Ok + literal("bad name", "1"), EndStream)},
        Case{"control byte in a name",
             Head(Ok + literal("bad\x01name", "1"), EndStream)},
        Case{"reset within a body", Head(Ok, 0) + frame(Data, 0, 1, "half"),
             Ending::Reset},
        Case{"HTTP/1.1",
             "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n"}}) {
    CAPTURE(Each.m_name);
    ScriptedServer Peer(Each.m_answer, Each.m_end);
    Endpoint A("a");
    REQUIRE(A.m_transport->sendTo(Peer.address(), PeerMessageKind::Raft, "x")
                .has_value());
    CHECK(
        eventually([&] { return A.count(PeerCounter::ConnectionFailures) > 0; },
                   absl::Seconds(2)));
    CHECK(A.count(PeerCounter::Connections) == 0);
    CHECK(A.count(PeerCounter::Delivered) == 0);
  }
}
