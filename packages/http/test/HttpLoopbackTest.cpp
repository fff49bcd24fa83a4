#include <algorithm>
#include <atomic>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "absl/time/clock.h"
#include "turmericdyke/Base"
#include "turmericdyke/Http"

using namespace turmericdyke;

namespace {

constexpr absl::Duration TestLimit = absl::Seconds(5);

/// A blocking connection to a loopback address.
struct RawClient {
  explicit RawClient(const std::string &Address)
      : m_file(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Where{};
    Where.sin_family = AF_INET;
    Where.sin_port = htons(static_cast<std::uint16_t>(
        std::stoi(Address.substr(Address.rfind(':') + 1))));
    inet_pton(AF_INET, "127.0.0.1", &Where.sin_addr);
    REQUIRE(connect(m_file, reinterpret_cast<sockaddr *>(&Where),
                    sizeof Where) == 0);
    timeval Limit{5, 0};
    setsockopt(m_file, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  }
  ~RawClient() { close(m_file); }
  void write(std::string_view Bytes) const {
    REQUIRE(::send(m_file, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(Bytes.size()));
  }
  /// Reads until the other side closes.
  std::string readToEnd() const {
    std::string Read;
    char Buffer[4096];
    for (;;) {
      ssize_t Count = recv(m_file, Buffer, sizeof Buffer, 0);
      if (Count <= 0)
        return Read;
      Read.append(Buffer, static_cast<std::size_t>(Count));
    }
  }

  int m_file;
};

/// An HTTP server on its own thread.
struct TestServer {
  explicit TestServer(HttpServer::Handler OnRequest,
                      HttpServerLimits Limits = {})
      : m_server(m_loop, std::move(OnRequest),
                 [this](HttpServerEvent Event) { m_events.push_back(Event); }) {
    m_server.setLimits(Limits);
    REQUIRE(m_server.listen("127.0.0.1:0"));
    m_address = m_server.address();
    m_thread = std::thread([this] { m_loop.run(); });
  }
  ~TestServer() {
    m_loop.stop();
    m_thread.join();
  }

  EventLoop m_loop;
  std::vector<HttpServerEvent> m_events;
  HttpServer m_server;
  std::string m_address;
  std::thread m_thread;
};

void echo(const std::shared_ptr<ServerExchange> &Exchange) {
  HttpResponse Response;
  Response.m_body = Exchange->request().m_target + Exchange->request().m_body;
  Exchange->respond(Response);
}

/// Records the result of a client call and stops the loop at its end.
struct RecordedCall : ClientCallEvents {
  explicit RecordedCall(EventLoop &Loop) : m_loop(Loop) {}
  bool onResponseHead(const HttpResponseHead &Head) override {
    if (Head.m_fields.find("Request-Id") != m_expectedId)
      return false;
    m_status = Head.m_status;
    return true;
  }
  void onResponseBody(std::string_view Bytes) override { m_body.append(Bytes); }
  void onCallEnd(ClientCallStatus End) override {
    m_end = End;
    m_loop.stop();
  }

  EventLoop &m_loop;
  std::string_view m_expectedId = "mine";
  int m_status = 0;
  std::string m_body;
  std::optional<ClientCallStatus> m_end;
};

/// Calls a server that sends the given bytes and then closes the connection.
RecordedCall callServerThatSends(EventLoop &Loop, const std::string &Answer,
                                 bool Reset = false) {
  internal::Descriptor Listener =
      std::move(internal::listenOn("127.0.0.1:0")).value();
  std::string Address = internal::boundAddress(Listener);
  std::thread Server([&Listener, &Answer, Reset] {
    int File = -1;
    while (File < 0)
      File = accept(Listener.get(), nullptr, nullptr);
    char Buffer[1024];
    (void)!recv(File, Buffer, sizeof Buffer, 0);
    (void)!::send(File, Answer.data(), Answer.size(), MSG_NOSIGNAL);
    // Lets the response arrive before the connection ends.
    absl::SleepFor(absl::Milliseconds(50));
    linger Now{1, 0};
    if (Reset)
      setsockopt(File, SOL_SOCKET, SO_LINGER, &Now, sizeof Now);
    close(File);
  });
  RecordedCall Log(Loop);
  HttpClientConnection Connection(Loop, Address, {});
  Connection.call("GET / HTTP/1.1\r\n\r\n", false, Log);
  EventLoop::Timer Limit = Loop.after(TestLimit, [&Loop] { Loop.stop(); });
  Loop.run();
  Loop.cancel(Limit);
  Server.join();
  return Log;
}

} // namespace

TEST_CASE("pipelined requests are answered in order") {
  TestServer Server(echo);
  RawClient Client(Server.m_address);
  Client.write("GET /one HTTP/1.1\r\n\r\nPOST /two HTTP/1.1\r\n"
               "Content-Length: 2\r\nConnection: close\r\n\r\nxy");
  std::string Read = Client.readToEnd();
  CHECK(Read.find("/one") < Read.find("/twoxy"));
  CHECK(Read.find("Connection: close") != std::string::npos);
}

TEST_CASE("malformed requests and bodies over the limit are rejected") {
  HttpServerLimits Limits;
  Limits.m_bodyBytes = 8;
  TestServer Server(echo, Limits);
  RawClient Wrong(Server.m_address);
  Wrong.write("\x01\x02 nonsense\r\n\r\n");
  CHECK(Wrong.readToEnd().substr(0, 12) == "HTTP/1.1 400");
  RawClient Large(Server.m_address);
  Large.write("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n123456789");
  CHECK(Large.readToEnd().substr(0, 12) == "HTTP/1.1 413");
}

TEST_CASE(
    "an incomplete header times out with 408 and the connection is closed") {
  HttpServerLimits Limits;
  Limits.m_headTime = absl::Milliseconds(100);
  TestServer Server(echo, Limits);
  RawClient Slow(Server.m_address);
  Slow.write("GET / HT");
  CHECK(Slow.readToEnd().substr(0, 12) == "HTTP/1.1 408");
}

// Guards against a truncated response that looks complete.
TEST_CASE("an aborted response has no final chunk") {
  TestServer Server([](const std::shared_ptr<ServerExchange> &Exchange) {
    Exchange->start(200, {});
    Exchange->write("part");
    Exchange->abort();
  });
  RawClient Client(Server.m_address);
  Client.write("GET / HTTP/1.1\r\n\r\n");
  CHECK(Client.readToEnd().find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("a response that its caller reads slowly is not cut by the limit of "
          "idle connections") {
  HttpServerLimits Limits;
  Limits.m_idleTime = absl::Milliseconds(300);
  const std::string Body(32 << 20, 'x');
  TestServer Server(
      [&](const std::shared_ptr<ServerExchange> &Exchange) {
        HttpResponse Response;
        Response.m_body = Body;
        Exchange->respond(Response);
      },
      Limits);
  RawClient Client(Server.m_address);
  Client.write("GET / HTTP/1.1\r\n\r\n");
  absl::SleepFor(absl::Milliseconds(1200));
  CHECK(Client.readToEnd().size() > Body.size());
}

TEST_CASE(
    "a request that has arrived on an idle connection is not dropped with "
    "it") {
  HttpServerLimits Limits;
  Limits.m_idleTime = absl::Milliseconds(600);
  TestServer Server(&echo, Limits);
  RawClient Client(Server.m_address);
  absl::SleepFor(absl::Milliseconds(200));
  // A long turn of the loop, as when a large routing document is applied.
  Server.m_loop.post([] { absl::SleepFor(absl::Milliseconds(1000)); });
  absl::SleepFor(absl::Milliseconds(100));
  Client.write("GET /late HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK(Client.readToEnd().find("/late") != std::string::npos);
}

// Guards against bodies that are read to the limit although their head says
// that they are over it.
TEST_CASE("an announced body over the limit is refused before it is sent") {
  HttpServerLimits Limits;
  Limits.m_bodyBytes = 1000;
  TestServer Server(&echo, Limits);
  RawClient Client(Server.m_address);
  Client.write("POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
               "Content-Length: 1001\r\n\r\n");
  CHECK(Client.readToEnd().substr(0, 12) == "HTTP/1.1 413");
}

// Guards against callers that hold a request open with a byte now and then.
TEST_CASE("a body that goes on in single bytes ends after the time limit") {
  HttpServerLimits Limits;
  Limits.m_bodyTime = absl::Milliseconds(800);
  TestServer Server(&echo, Limits);
  RawClient Client(Server.m_address);
  Client.write("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  Instant Until = monotonicNow() + TestLimit;
  while (monotonicNow() < Until &&
         ::send(Client.m_file, "1\r\nx\r\n", 6, MSG_NOSIGNAL) == 6)
    absl::SleepFor(absl::Milliseconds(100));
  CHECK(monotonicNow() < Until);
}

// Guards against requests that begin to run without room for their copy, and
// against refusals of requests that have run.
TEST_CASE("a complete request without room to run is refused before it runs") {
  std::atomic<int> Runs = 0;
  std::atomic<std::size_t> Left = 1;
  auto Budget = std::make_shared<ConnectionBudget>(1 << 20);
  TestServer Server([&](const std::shared_ptr<ServerExchange> &Exchange) {
    ++Runs;
    echo(Exchange);
  });
  Server.m_loop.post([&] { Server.m_server.shareBudget(Budget); });
  absl::SleepFor(absl::Milliseconds(100));
  for (auto [Size, Status] :
       {std::pair{800 << 10, "503"}, {300 << 10, "200"}}) {
    RawClient Client(Server.m_address);
    Client.write("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: " +
                 std::to_string(Size) + "\r\n\r\n");
    Client.write(std::string(static_cast<std::size_t>(Size), 'x'));
    std::string Answer = Client.readToEnd();
    CHECK(Answer.substr(9, 3) == Status);
    CHECK((Answer.find("Retry-After: 1") != std::string::npos) ==
          (Answer.substr(9, 3) == "503"));
  }
  CHECK(Runs == 1);
  // A closed connection lingers until its caller has closed it too.
  Instant Until = monotonicNow() + TestLimit;
  while (Left > 0 && monotonicNow() < Until) {
    Server.m_loop.post([&] { Left = Budget->total(); });
    absl::SleepFor(absl::Milliseconds(50));
  }
  CHECK(Left == 0);
}

TEST_CASE("a caller that reads nothing of a response is cut off") {
  HttpServerLimits Limits;
  Limits.m_unreadTime = absl::Milliseconds(600);
  TestServer Server(
      [](const std::shared_ptr<ServerExchange> &Exchange) {
        HttpResponse Response;
        Response.m_body.assign(32 << 20, 'x');
        Exchange->respond(Response);
      },
      Limits);
  RawClient Client(Server.m_address);
  Client.write("GET / HTTP/1.1\r\n\r\n");
  absl::SleepFor(absl::Milliseconds(2500));
  CHECK(Client.readToEnd().size() < (32 << 20));
}

// Guards against a reset that discards what the kernel has not yet delivered.
TEST_CASE("a caller that is still sending receives the responses to the end") {
  constexpr std::size_t Bytes = 1000000;
  HttpServerLimits Limits;
  Limits.m_bodyBytes = 1000;
  TestServer Server(
      [](const std::shared_ptr<ServerExchange> &Exchange) {
        HttpResponse Response;
        Response.m_body.assign(Bytes, 'x');
        Exchange->respond(Response);
      },
      Limits);
  RawClient Client(Server.m_address);
  Client.write("GET /first HTTP/1.1\r\n\r\n"
               "POST /second HTTP/1.1\r\nContent-Length: 8000000\r\n\r\n");
  std::thread Sender([&] {
    const std::string Body(8000000, 'x');
    (void)!::send(Client.m_file, Body.data(), Body.size(), MSG_NOSIGNAL);
  });
  absl::SleepFor(absl::Milliseconds(300));
  std::string Read = Client.readToEnd();
  shutdown(Client.m_file, SHUT_RDWR);
  Sender.join();
  CHECK(Read.size() > Bytes);
  CHECK(Read.find("HTTP/1.1 413") != std::string::npos);
}

// Guards against a request that is dropped although the header of the response
// before it said that the connection would be kept.
TEST_CASE("a request behind a response that began before a stop is answered") {
  EventLoop *Loop = nullptr;
  HttpServer *Stopping = nullptr;
  TestServer Server([&](const std::shared_ptr<ServerExchange> &Exchange) {
    if (Exchange->request().m_target != "/first")
      return echo(Exchange);
    Exchange->start(200, {});
    Stopping->closeAfterResponses();
    Loop->after(absl::Milliseconds(50), [Exchange] { Exchange->finish(); });
  });
  Loop = &Server.m_loop;
  Stopping = &Server.m_server;
  RawClient Client(Server.m_address);
  Client.write("GET /first HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\n\r\n");
  CHECK(Client.readToEnd().find("/second") != std::string::npos);
}

TEST_CASE(
    "a long body that arrives during another request is read to its end") {
  EventLoop *Loop = nullptr;
  TestServer Server([&](const std::shared_ptr<ServerExchange> &Exchange) {
    Loop->after(absl::Milliseconds(300), [Exchange] { echo(Exchange); });
  });
  Loop = &Server.m_loop;
  RawClient Client(Server.m_address);
  Client.write("GET /first HTTP/1.1\r\n\r\n"
               "POST /second HTTP/1.1\r\nConnection: close\r\n"
               "Content-Length: 3000000\r\n\r\n");
  const std::string Body(3000000, 'x');
  std::thread Sender([&] {
    (void)!::send(Client.m_file, Body.data(), Body.size(), MSG_NOSIGNAL);
  });
  std::string Read = Client.readToEnd();
  shutdown(Client.m_file, SHUT_RDWR);
  Sender.join();
  CHECK(Read.find("/second") != std::string::npos);
}

TEST_CASE("a request that has arrived is answered before its idle connection "
          "is closed") {
  TestServer Server(echo);
  RawClient Client(Server.m_address);
  absl::SleepFor(absl::Milliseconds(50));
  Server.m_loop.post([&] {
    Client.write("GET /arrived HTTP/1.1\r\n\r\n");
    absl::SleepFor(absl::Milliseconds(20));
    Server.m_server.closeAfterResponses();
    Server.m_server.closeIdle();
  });
  CHECK(Client.readToEnd().find("/arrived") != std::string::npos);
}

// Guards against work for callers that have disconnected.
TEST_CASE("the disconnect of a caller is detected") {
  std::atomic<bool> Gone = false;
  std::shared_ptr<ServerExchange> Held;
  TestServer Server([&](const std::shared_ptr<ServerExchange> &Exchange) {
    Held = Exchange;
    Exchange->onDisconnect([&Gone] { Gone = true; });
  });
  {
    RawClient Client(Server.m_address);
    Client.write("GET / HTTP/1.1\r\n\r\n");
    absl::SleepFor(absl::Milliseconds(100));
  }
  Instant Until = monotonicNow() + TestLimit;
  while (!Gone && monotonicNow() < Until)
    absl::SleepFor(absl::Milliseconds(5));
  CHECK(Gone);
}

// Guards against delivering the response of another request.
TEST_CASE("a response that belongs to another request is skipped") {
  EventLoop Loop;
  RecordedCall Log = callServerThatSends(
      Loop, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: "
            "3\r\n\r\nbad"
            "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: "
            "4\r\n\r\ngood");
  CHECK(Log.m_end == ClientCallStatus::Complete);
  CHECK(Log.m_body == "good");
}

TEST_CASE("the end of the connection completes only a body without a length") {
  EventLoop First;
  CHECK(callServerThatSends(First,
                            "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\nall")
            .m_end == ClientCallStatus::Complete);
  EventLoop Second;
  CHECK(callServerThatSends(
            Second, "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n\r\nhalf", true)
            .m_end == ClientCallStatus::Broken);
  EventLoop Third;
  CHECK(callServerThatSends(Third, "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n"
                                   "Content-Length: 9\r\n\r\nhalf")
            .m_end == ClientCallStatus::Broken);
  EventLoop Fourth;
  CHECK(callServerThatSends(Fourth, "no response at all\r\n\r\n").m_end ==
        ClientCallStatus::Malformed);
}

TEST_CASE("a refused connection is distinguished from a broken one") {
  EventLoop Loop;
  internal::Descriptor Listener =
      std::move(internal::listenOn("127.0.0.1:0")).value();
  std::string Address = internal::boundAddress(Listener);
  Listener = internal::Descriptor();
  RecordedCall Log(Loop);
  HttpClientConnection Connection(Loop, Address, {});
  Connection.call("GET / HTTP/1.1\r\n\r\n", false, Log);
  Loop.run();
  CHECK(Log.m_end == ClientCallStatus::ConnectRefused);
  CHECK_FALSE(Connection.sentAny());
}

// Guards against a server in trouble that sends bytes without end: in a header,
// in a body that belongs to another request, and in interim responses. The call
// must end long before the caller's deadline.
TEST_CASE("endless bytes that are no response end the call") {
  std::string Endless(1 << 20, 'x');
  std::string Interim;
  for (int At = 0; At < 20'000; ++At)
    Interim += "HTTP/1.1 102 Processing\r\n\r\n";
  for (const std::string &Answer :
       {"HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nX-Pad: " + Endless,
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: "
        "99999999\r\n\r\n" +
            Endless,
        Interim}) {
    internal::Descriptor Listener =
        std::move(internal::listenOn("127.0.0.1:0")).value();
    std::string Address = internal::boundAddress(Listener);
    std::atomic<bool> Stop = false;
    std::thread Server([&] {
      int File = -1;
      while (File < 0)
        File = accept(Listener.get(), nullptr, nullptr);
      // Sends until the caller closes.
      while (!Stop &&
             ::send(File, Answer.data(), Answer.size(), MSG_NOSIGNAL) > 0)
        ;
      close(File);
    });
    EventLoop Loop;
    RecordedCall Log(Loop);
    HttpClientConnection Connection(Loop, Address, {});
    Connection.call("GET / HTTP/1.1\r\n\r\n", false, Log);
    EventLoop::Timer Limit = Loop.after(TestLimit, [&Loop] { Loop.stop(); });
    Loop.run();
    Loop.cancel(Limit);
    Connection.cancel();
    Stop = true;
    Server.join();
    CHECK(Log.m_end == ClientCallStatus::Malformed);
  }
}

namespace {

/// Resident memory of this process, in bytes.
std::size_t residentBytes() {
  std::ifstream Status("/proc/self/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmRSS:"))
      return std::stoul(Line.substr(6)) << 10;
  return 0;
}

/// Writes so much that the receiver is always behind.
void writeAhead(EventLoop &Loop, const std::shared_ptr<ServerExchange> &Out) {
  while (!Out->gone() && Out->unsentBytes() < (1 << 20))
    Out->write(std::string(64 << 10, 'x'));
  if (!Out->gone())
    Loop.after(absl::Milliseconds(1), [&Loop, Out] { writeAhead(Loop, Out); });
}

} // namespace

// Guards against a stream without end whose receiver is always behind: bytes
// that were sent must not stay in memory until the response ends.
TEST_CASE("sent bytes of a response do not stay in memory") {
  EventLoop *Loop = nullptr;
  TestServer Server([&Loop](const std::shared_ptr<ServerExchange> &Exchange) {
    Exchange->start(200, {});
    writeAhead(*Loop, Exchange);
  });
  Loop = &Server.m_loop;
  std::size_t Before = residentBytes();
  RawClient Client(Server.m_address);
  Client.write("GET / HTTP/1.1\r\n\r\n");
  std::size_t Read = 0;
  static char Buffer[16 << 10];
  while (Read < (std::size_t{96} << 20)) {
    ssize_t Count = recv(Client.m_file, Buffer, sizeof Buffer, 0);
    REQUIRE(Count > 0);
    Read += static_cast<std::size_t>(Count);
    // Slower than the writer.
    absl::SleepFor(absl::Microseconds(200));
  }
  CHECK(residentBytes() < Before + (std::size_t{16} << 20));
}
