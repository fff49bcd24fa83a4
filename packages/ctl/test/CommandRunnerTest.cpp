#include <arpa/inet.h>
#include <atomic>
#include <deque>
#include <doctest/doctest.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <httplib.h>
#include <netinet/in.h>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "absl/synchronization/mutex.h"
#include "turmericdyke/Base"
#include "turmericdyke/Ctl"
#include "turmericdyke/Declaration"

using namespace turmericdyke;
using nlohmann::json;

namespace {

const std::string Yaml = "templates: {t: {model: m, version: 1}}\n"
                         "customers: {c: {template: t, capacity: 2}}\n";

/// How the stand-in answers one request.
using Reply = std::function<void(httplib::Response &)>;

Reply answer(int Status, const json &Body) {
  return [=](httplib::Response &Out) {
    Out.status = Status;
    Out.set_content(Body.dump(), "application/json");
  };
}

/// Takes the request, then ends the connection in the middle of the answer.
Reply loseAnswer() {
  return [](httplib::Response &Out) {
    Out.set_content_provider(
        100, "application/json",
        [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
  };
}

const Reply Accepted = answer(200, {{"result", "accepted"}, {"revision", 8}});
const Reply Current =
    answer(200, {{"revision", 7},
                 {"change_id", "x"},
                 {"author", "ann"},
                 {"declaration", {{"customers", json::object()}}}});

/// Operator port that gives the replies of a path in order, the last one for
/// good, and records what it was sent.
class StandIn {
public:
  StandIn() {
    auto Handle = [this](const httplib::Request &In, httplib::Response &Out) {
      absl::MutexLock Lock(&m_mutex);
      m_received.push_back(In);
      std::deque<Reply> &Replies = m_replies[In.method + " " + In.path];
      if (Replies.empty()) {
        Out.status = 404;
        return;
      }
      Replies.front()(Out);
      if (Replies.size() > 1)
        Replies.pop_front();
    };
    m_server.Get(".*", Handle);
    m_server.Post(".*", Handle);
    m_port = m_server.bind_to_any_port("127.0.0.1");
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    while (!m_server.is_running())
      std::this_thread::yield();
  }
  ~StandIn() {
    m_server.stop();
    m_thread.join();
  }

  void set(const std::string &Request, std::deque<Reply> Replies) {
    absl::MutexLock Lock(&m_mutex);
    m_replies[Request] = std::move(Replies);
  }
  /// Bodies of the POST requests so far.
  std::vector<json> posted() {
    absl::MutexLock Lock(&m_mutex);
    std::vector<json> Bodies;
    for (const httplib::Request &In : m_received)
      if (In.method == "POST")
        Bodies.push_back(json::parse(In.body));
    return Bodies;
  }
  std::vector<httplib::Request> received() {
    absl::MutexLock Lock(&m_mutex);
    return m_received;
  }
  std::string address() const { return fmt::format("127.0.0.1:{}", m_port); }

private:
  absl::Mutex m_mutex;
  std::map<std::string, std::deque<Reply>> m_replies;
  std::vector<httplib::Request> m_received;
  httplib::Server m_server;
  int m_port = 0;
  std::thread m_thread;
};

/// A loopback port on which nothing listens. It stays bound, so that no other
/// socket gets it meanwhile.
class ClosedPort {
public:
  ClosedPort() : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address = {};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    socklen_t Size = sizeof(Address);
    REQUIRE(bind(m_socket, Generic, Size) == 0);
    REQUIRE(getsockname(m_socket, Generic, &Size) == 0);
    m_port = ntohs(Address.sin_port);
  }
  ~ClosedPort() { close(m_socket); }
  std::string address() const { return fmt::format("127.0.0.1:{}", m_port); }

private:
  int m_socket;
  int m_port = 0;
};

/// Runs one command with a declaration file at hand.
struct Bench {
  Bench() {
    static std::atomic<int> Count = 0;
    m_file = std::filesystem::temp_directory_path() /
             fmt::format("ctl_test.{}.{}.yaml", getpid(), ++Count);
    write(Yaml);
    m_options.m_nodes = {m_node.address()};
    m_options.m_operatorKey = "operator-key";
    m_options.m_author = "bob";
    m_options.m_retryDelay = absl::Milliseconds(1);
    m_options.m_waitInterval = absl::Milliseconds(1);
    m_options.m_waitTimeout = absl::Seconds(20);
    m_node.set("GET /v1/declaration", {Current});
  }
  ~Bench() { std::filesystem::remove(m_file); }

  void write(const std::string &Text) { std::ofstream(m_file) << Text; }

  ExitCode run(const std::vector<std::string> &Arguments) {
    std::istringstream In(m_in);
    std::ostringstream Out;
    std::ostringstream Err;
    CtlStreams Streams = {In, Out, Err};
    ExitCode Code = CommandRunner(m_options, Streams).run(Arguments);
    m_out = Out.str();
    m_err = Err.str();
    return Code;
  }
  ExitCode apply() { return run({"apply", m_file}); }
  bool says(std::string_view Text) const {
    return m_err.find(Text) != std::string::npos;
  }

  StandIn m_node;
  ClosedPort m_closed;
  CtlOptions m_options;
  std::string m_file;
  std::string m_in;
  std::string m_out;
  std::string m_err;
};

} // namespace

TEST_CASE("apply builds on the current revision and sends the canonical form "
          "with the operator key") {
  Bench B;
  B.m_node.set("POST /v1/declaration", {Accepted});
  CHECK(B.apply() == ExitCode::Ok);
  CHECK(B.m_out == "accepted: revision 8\n");
  REQUIRE(B.m_node.posted().size() == 1);
  json Sent = B.m_node.posted()[0];
  CHECK(Sent["base_revision"] == 7);
  CHECK(Sent["author"] == "bob");
  CHECK(B.says("change_id: " + Sent["change_id"].get<std::string>()));
  CHECK(Sent["declaration"].dump() ==
        declarationJson(parseDeclarationYaml(Yaml, "f").value()));
  for (const httplib::Request &In : B.m_node.received())
    CHECK(In.get_header_value("Authorization") == "Bearer operator-key");
}

TEST_CASE("nothing counts as sent while no node can be reached, and a later "
          "node of the list is used when an earlier one is down") {
  Bench B;
  B.m_node.set("POST /v1/declaration", {Accepted});
  B.m_options.m_nodes = {B.m_closed.address()};
  CHECK(B.apply() == ExitCode::Unreachable);
  B.m_options.m_baseRevision = 7;
  CHECK(B.apply() == ExitCode::Unreachable);
  CHECK(B.says("nothing was sent"));
  B.m_options.m_nodes = {B.m_closed.address(), B.m_node.address()};
  CHECK(B.apply() == ExitCode::Ok);
}

TEST_CASE("a change whose answer was lost is sent again unchanged, under the "
          "same change id") {
  Bench B;
  B.m_node.set("POST /v1/declaration",
               {loseAnswer(), answer(200, "not an object"), Accepted});
  CHECK(B.apply() == ExitCode::Ok);
  std::vector<json> Sent = B.m_node.posted();
  REQUIRE(Sent.size() == 3);
  CHECK(Sent[0] == Sent[1]);
  CHECK(Sent[0] == Sent[2]);
}

TEST_CASE("a change that may have been made is not reported as refused or "
          "unreachable") {
  Bench B;
  B.m_options.m_retries = 2;
  B.m_options.m_changeId = "change-1";
  const json Refused = {{"result", "unavailable"}, {"outcome", "not_run"}};
  const json Open = {{"result", "unavailable"}, {"outcome", "may_have_run"}};
  const std::deque<Reply> Scripts[] = {
      {loseAnswer()},
      {loseAnswer(), answer(401, json::object())},
      {loseAnswer(), answer(503, Refused)},
      {answer(503, Open)},
      {answer(500, json::object())},
      {answer(200, {{"result", "unheard of"}})}};
  for (const std::deque<Reply> &Script : Scripts) {
    B.m_node.set("POST /v1/declaration", Script);
    CHECK(B.apply() == ExitCode::AnswerLost);
    CHECK(B.says("--change_id=change-1 --base_revision=7"));
  }
  B.m_node.set("POST /v1/declaration", {loseAnswer()});
  B.m_options.m_nodes = {B.m_node.address(), B.m_closed.address()};
  CHECK(B.apply() == ExitCode::AnswerLost);
}

TEST_CASE("an answer that comes after the time limit counts as lost") {
  Bench B;
  B.m_options.m_baseRevision = 7;
  B.m_options.m_timeout = absl::Milliseconds(50);
  B.m_options.m_retries = 0;
  Reply Late = [](httplib::Response &Out) {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    Accepted(Out);
  };
  B.m_node.set("POST /v1/declaration", {Late});
  CHECK(B.apply() == ExitCode::AnswerLost);
}

TEST_CASE("refusals are told apart by exit code and message") {
  Bench B;
  B.m_options.m_retries = 1;
  B.m_node.set("POST /v1/declaration",
               {answer(409, {{"result", "conflict"},
                             {"current_revision", 9},
                             {"winning_change_id", "w"},
                             {"winning_author", "eve"}})});
  CHECK(B.apply() == ExitCode::Refused);
  CHECK(B.says("revision 9 by eve (change w) came first"));
  B.m_node.set("POST /v1/declaration",
               {answer(422, {{"result", "invalid"},
                             {"error",
                              {{"field", "customers[c].rank"},
                               {"found", "77"},
                               {"allowed", "0 to 9"}}}})});
  CHECK(B.apply() == ExitCode::DeclarationInvalid);
  CHECK(B.says("customers[c].rank: found 77; allowed: 0 to 9"));
  B.m_node.set("POST /v1/declaration", {answer(401, json::object())});
  CHECK(B.apply() == ExitCode::Refused);
  CHECK(B.says("operator key was refused"));
  std::size_t Before = B.m_node.posted().size();
  B.m_node.set("POST /v1/declaration", {answer(503, {{"result", "unavailable"},
                                                     {"outcome", "not_run"}})});
  CHECK(B.apply() == ExitCode::Refused);
  CHECK(B.m_node.posted().size() == Before + 2);
  CHECK(B.says("nothing was changed"));
}

TEST_CASE("an invalid or unreadable file is found before anything is sent") {
  Bench B;
  B.write("customers: {c: {template: t}}\n");
  CHECK(B.apply() == ExitCode::DeclarationInvalid);
  CHECK(B.says(B.m_file + ":1: customers[c].capacity: found nothing"));
  CHECK(B.run({"check", B.m_file}) == ExitCode::DeclarationInvalid);
  CHECK(B.run({"apply", "/nonexistent"}) == ExitCode::UsageError);
  CHECK(B.m_node.received().empty());
}

TEST_CASE("check works offline, and wrong usage is refused") {
  Bench B;
  B.m_options.m_nodes.clear();
  CHECK(B.run({"check", B.m_file}) == ExitCode::Ok);
  CHECK(B.m_out == "valid: 1 templates, 1 customers, 0 services\n");
  CHECK(B.apply() == ExitCode::UsageError);
  CHECK(B.run({}) == ExitCode::UsageError);
  CHECK(B.run({"check"}) == ExitCode::UsageError);
  CHECK(B.run({"aply", B.m_file}) == ExitCode::UsageError);
}

TEST_CASE("--wait returns only when each live node has the revision, and names "
          "those that do not") {
  auto Nodes = [](int Second) {
    return answer(200,
                  {{"nodes",
                    {{{"node", "a"}, {"state", "alive"}, {"revision", 8}},
                     {{"node", "b"}, {"state", "alive"}, {"revision", Second}},
                     {{"node", "d"}, {"state", "dead"}, {"revision", 2}}}}});
  };
  Bench B;
  B.m_options.m_wait = true;
  B.m_node.set("POST /v1/declaration", {Accepted});
  B.m_node.set("GET /v1/status", {loseAnswer(), Nodes(6), Nodes(7), Nodes(9)});
  CHECK(B.apply() == ExitCode::Ok);
  CHECK(B.says("in force on 2 nodes"));
  CHECK(B.says("not waited for: d is down"));
  B.m_options.m_waitTimeout = absl::Milliseconds(50);
  B.m_node.set("GET /v1/status", {Nodes(7)});
  CHECK(B.apply() == ExitCode::WaitTimedOut);
  CHECK(B.says("b (revision 7)"));
  B.m_options.m_revision = 7;
  B.m_options.m_waitTimeout = absl::Seconds(20);
  CHECK(B.run({"wait"}) == ExitCode::Ok);
  B.m_options.m_waitTimeout = absl::Milliseconds(50);
  B.m_node.set("GET /v1/status", {answer(200, json::object())});
  CHECK(B.run({"wait"}) == ExitCode::WaitTimedOut);
}

TEST_CASE("drain finds out whether a name is a target or a host and does not "
          "guess") {
  Bench B;
  B.m_node.set("GET /v1/status",
               {answer(200, {{"targets",
                              {{{"target", "t1"}, {"host", "h1"}},
                               {{"target", "same"}, {"host", "same"}}}}})});
  B.m_node.set("POST /v1/drain", {answer(200, {{"result", "accepted"}})});
  CHECK(B.run({"drain", "t1"}) == ExitCode::Ok);
  CHECK(B.run({"undrain", "h1"}) == ExitCode::Ok);
  CHECK(B.run({"drain", "same"}) == ExitCode::UsageError);
  CHECK(B.run({"drain", "t2"}) == ExitCode::UsageError);
  std::vector<json> Sent = B.m_node.posted();
  REQUIRE(Sent.size() == 2);
  CHECK(Sent[0]["target"] == "t1");
  CHECK(Sent[0]["drained"] == true);
  CHECK(Sent[1]["host"] == "h1");
  CHECK(Sent[1]["drained"] == false);
  CHECK(Sent[0]["change_id"] != Sent[1]["change_id"]);
}

TEST_CASE("what get prints can be checked and applied as a file") {
  Bench B;
  B.m_node.set(
      "GET /v1/declaration",
      {answer(200, {{"revision", 7},
                    {"declaration",
                     json::parse(declarationJson(
                         parseDeclarationYaml(Yaml, "f").value()))}})});
  REQUIRE(B.run({"get"}) == ExitCode::Ok);
  B.write(B.m_out);
  CHECK(B.run({"check", B.m_file}) == ExitCode::Ok);
  CHECK(B.run({"diff", B.m_file}) == ExitCode::Ok);
  CHECK(B.m_out.empty());
  B.m_options.m_json = true;
  B.write("templates: {t: {model: m, version: 2}}\n"
          "customers: {c: {template: t, capacity: 2}}\n");
  CHECK(B.run({"diff", B.m_file}) == ExitCode::Ok);
  CHECK(json::parse(B.m_out)["changes"].size() == 1);
}

TEST_CASE("status and history are shown as tables without control characters "
          "from names") {
  Bench B;
  B.m_node.set(
      "GET /v1/status",
      {answer(200, {{"node", "n1"},
                    {"revision", 8},
                    {"nodes", {{{"node", "n1\x1b[2J"}}}},
                    {"replicas",
                     {{{"replica", "r1"}, {"members", {"t1", "t2"}}}}}})});
  CHECK(B.run({"status"}) == ExitCode::Ok);
  CHECK(B.m_out.find("n1?[2J") != std::string::npos);
  CHECK(B.m_out.find("t1,t2") != std::string::npos);
  CHECK(B.run({"status", "nodes"}) == ExitCode::Ok);
  CHECK(B.m_out.find("t1,t2") == std::string::npos);
  CHECK(B.run({"status", "pods"}) == ExitCode::UsageError);
  B.m_node.set("GET /v1/history", {answer(200, {{"entries",
                                                 {{{"revision", 1},
                                                   {"change_id", "c1"},
                                                   {"author", "ann"},
                                                   {"time_ms", 0}}}}})});
  CHECK(B.run({"history"}) == ExitCode::Ok);
  CHECK(B.m_out.find("1970-01-01T00:00:00") != std::string::npos);
}

TEST_CASE("hash_key prints a hash that accepts the key and never the key") {
  Bench B;
  B.m_in = "sk-0123456789abcdef\n";
  REQUIRE(B.run({"hash_key"}) == ExitCode::Ok);
  std::string Hash = B.m_out.substr(0, B.m_out.size() - 1);
  REQUIRE(KeyHash::parse(Hash).has_value());
  CHECK(KeyHash::parse(Hash)->matches("sk-0123456789abcdef"));
  CHECK(B.m_out.find("0123456789abcdef\n") == std::string::npos);
  B.m_in = "";
  CHECK(B.run({"hash_key"}) == ExitCode::UsageError);
  B.m_in = "two words";
  CHECK(B.run({"hash_key"}) == ExitCode::UsageError);
}
