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

/// How the fake node answers one request.
using Reply = std::function<void(httplib::Response &)>;

Reply answer(int Status, const json &Body) {
  return [=](httplib::Response &Out) {
    Out.status = Status;
    Out.set_content(Body.dump(), "application/json");
  };
}

/// Receives the request, then closes the connection in the middle of the
/// answer.
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

/// A fake operator port that sends the replies for a path in order, repeats the
/// last one, and records the requests.
class FakeNode {
public:
  FakeNode() {
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
  ~FakeNode() {
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
/// socket can use it.
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

/// Runs commands against a fake node, with a declaration file.
struct CtlFixture {
  CtlFixture() {
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
  ~CtlFixture() { std::filesystem::remove(m_file); }

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
  bool errorContains(std::string_view Text) const {
    return m_err.find(Text) != std::string::npos;
  }

  FakeNode m_node;
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
  CtlFixture F;
  F.m_node.set("POST /v1/declaration", {Accepted});
  CHECK(F.apply() == ExitCode::Ok);
  CHECK(F.m_out == "accepted: revision 8\n");
  REQUIRE(F.m_node.posted().size() == 1);
  json Sent = F.m_node.posted()[0];
  CHECK(Sent["base_revision"] == 7);
  CHECK(Sent["author"] == "bob");
  CHECK(F.errorContains("change_id: " + Sent["change_id"].get<std::string>()));
  CHECK(Sent["declaration"].dump() ==
        declarationJson(parseDeclarationYaml(Yaml, "f").value()));
  for (const httplib::Request &In : F.m_node.received())
    CHECK(In.get_header_value("Authorization") == "Bearer operator-key");
}

TEST_CASE("a change counts as not sent if no node can be reached, and the next "
          "node of the list is used if one is down") {
  CtlFixture F;
  F.m_node.set("POST /v1/declaration", {Accepted});
  F.m_options.m_nodes = {F.m_closed.address()};
  CHECK(F.apply() == ExitCode::Unreachable);
  F.m_options.m_baseRevision = 7;
  CHECK(F.apply() == ExitCode::Unreachable);
  CHECK(F.errorContains("nothing was sent"));
  F.m_options.m_nodes = {F.m_closed.address(), F.m_node.address()};
  CHECK(F.apply() == ExitCode::Ok);
}

TEST_CASE("a change whose answer was lost is sent again unchanged, with the "
          "same change id") {
  CtlFixture F;
  F.m_node.set("POST /v1/declaration",
               {loseAnswer(), answer(200, "not an object"), Accepted});
  CHECK(F.apply() == ExitCode::Ok);
  std::vector<json> Sent = F.m_node.posted();
  REQUIRE(Sent.size() == 3);
  CHECK(Sent[0] == Sent[1]);
  CHECK(Sent[0] == Sent[2]);
}

TEST_CASE("a change that may have been made is not reported as refused or "
          "unreachable") {
  CtlFixture F;
  F.m_options.m_retries = 2;
  F.m_options.m_changeId = "change-1";
  const json Refused = {{"result", "unavailable"}, {"outcome", "not_run"}};
  const json MayHaveRun = {{"result", "unavailable"},
                           {"outcome", "may_have_run"}};
  const std::deque<Reply> Scripts[] = {
      {loseAnswer()},
      {loseAnswer(), answer(401, json::object())},
      {loseAnswer(), answer(503, Refused)},
      {answer(503, MayHaveRun)},
      {answer(500, json::object())},
      {answer(200, {{"result", "unheard of"}})}};
  for (const std::deque<Reply> &Script : Scripts) {
    F.m_node.set("POST /v1/declaration", Script);
    CHECK(F.apply() == ExitCode::AnswerLost);
    CHECK(F.errorContains("--change_id=change-1 --base_revision=7"));
  }
  F.m_node.set("POST /v1/declaration", {loseAnswer()});
  F.m_options.m_nodes = {F.m_node.address(), F.m_closed.address()};
  CHECK(F.apply() == ExitCode::AnswerLost);
}

TEST_CASE("an answer that arrives after the timeout counts as lost") {
  CtlFixture F;
  F.m_options.m_baseRevision = 7;
  F.m_options.m_timeout = absl::Milliseconds(50);
  F.m_options.m_retries = 0;
  Reply Late = [](httplib::Response &Out) {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    Accepted(Out);
  };
  F.m_node.set("POST /v1/declaration", {Late});
  CHECK(F.apply() == ExitCode::AnswerLost);
}

TEST_CASE("refusals are distinguished by exit code and message") {
  CtlFixture F;
  F.m_options.m_retries = 1;
  F.m_node.set("POST /v1/declaration",
               {answer(409, {{"result", "conflict"},
                             {"current_revision", 9},
                             {"winning_change_id", "w"},
                             {"winning_author", "eve"}})});
  CHECK(F.apply() == ExitCode::Refused);
  CHECK(F.errorContains("revision 9 by eve (change w) came first"));
  F.m_node.set("POST /v1/declaration",
               {answer(422, {{"result", "invalid"},
                             {"error",
                              {{"field", "customers[c].rank"},
                               {"found", "77"},
                               {"allowed", "0 to 9"}}}})});
  CHECK(F.apply() == ExitCode::DeclarationInvalid);
  CHECK(F.errorContains("customers[c].rank: found 77; allowed: 0 to 9"));
  F.m_node.set("POST /v1/declaration", {answer(401, json::object())});
  CHECK(F.apply() == ExitCode::Refused);
  CHECK(F.errorContains("operator key was refused"));
  std::size_t Before = F.m_node.posted().size();
  F.m_node.set("POST /v1/declaration", {answer(503, {{"result", "unavailable"},
                                                     {"outcome", "not_run"}})});
  CHECK(F.apply() == ExitCode::Refused);
  CHECK(F.m_node.posted().size() == Before + 2);
  CHECK(F.errorContains("nothing was changed"));
}

TEST_CASE("an invalid or unreadable file is reported before anything is sent") {
  CtlFixture F;
  F.write("customers: {c: {template: t}}\n");
  CHECK(F.apply() == ExitCode::DeclarationInvalid);
  CHECK(F.errorContains(F.m_file + ":1: customers[c].capacity: found nothing"));
  CHECK(F.run({"check", F.m_file}) == ExitCode::DeclarationInvalid);
  CHECK(F.run({"apply", "/nonexistent"}) == ExitCode::UsageError);
  CHECK(F.m_node.received().empty());
}

TEST_CASE("check works offline, and usage errors are reported") {
  CtlFixture F;
  F.m_options.m_nodes.clear();
  CHECK(F.run({"check", F.m_file}) == ExitCode::Ok);
  CHECK(F.m_out == "valid: 1 templates, 1 customers, 0 services\n");
  CHECK(F.apply() == ExitCode::UsageError);
  CHECK(F.run({}) == ExitCode::UsageError);
  CHECK(F.run({"check"}) == ExitCode::UsageError);
  CHECK(F.run({"aply", F.m_file}) == ExitCode::UsageError);
}

TEST_CASE(
    "--wait returns once every live node has the revision, or names those "
    "that do not") {
  auto Nodes = [](int Second) {
    return answer(200,
                  {{"nodes",
                    {{{"node", "a"}, {"state", "alive"}, {"revision", 8}},
                     {{"node", "b"}, {"state", "alive"}, {"revision", Second}},
                     {{"node", "d"}, {"state", "dead"}, {"revision", 2}}}}});
  };
  CtlFixture F;
  F.m_options.m_wait = true;
  F.m_node.set("POST /v1/declaration", {Accepted});
  F.m_node.set("GET /v1/status", {loseAnswer(), Nodes(6), Nodes(7), Nodes(9)});
  CHECK(F.apply() == ExitCode::Ok);
  CHECK(F.errorContains("in force on 2 nodes"));
  CHECK(F.errorContains("not waited for: d is down"));
  F.m_options.m_waitTimeout = absl::Milliseconds(50);
  F.m_node.set("GET /v1/status", {Nodes(7)});
  CHECK(F.apply() == ExitCode::WaitTimedOut);
  CHECK(F.errorContains("b (revision 7)"));
  F.m_options.m_revision = 7;
  F.m_options.m_waitTimeout = absl::Seconds(20);
  CHECK(F.run({"wait"}) == ExitCode::Ok);
  F.m_options.m_waitTimeout = absl::Milliseconds(50);
  F.m_node.set("GET /v1/status", {answer(200, json::object())});
  CHECK(F.run({"wait"}) == ExitCode::WaitTimedOut);
}

TEST_CASE("drain looks up whether a name is a target or a host and fails if it "
          "is ambiguous or unknown") {
  CtlFixture F;
  F.m_node.set("GET /v1/status",
               {answer(200, {{"targets",
                              {{{"target", "t1"}, {"host", "h1"}},
                               {{"target", "same"}, {"host", "same"}}}}})});
  F.m_node.set("POST /v1/drain", {answer(200, {{"result", "accepted"}})});
  CHECK(F.run({"drain", "t1"}) == ExitCode::Ok);
  CHECK(F.run({"undrain", "h1"}) == ExitCode::Ok);
  CHECK(F.run({"drain", "same"}) == ExitCode::UsageError);
  CHECK(F.run({"drain", "t2"}) == ExitCode::UsageError);
  std::vector<json> Sent = F.m_node.posted();
  REQUIRE(Sent.size() == 2);
  CHECK(Sent[0]["target"] == "t1");
  CHECK(Sent[0]["drained"] == true);
  CHECK(Sent[1]["host"] == "h1");
  CHECK(Sent[1]["drained"] == false);
  CHECK(Sent[0]["change_id"] != Sent[1]["change_id"]);
}

// Guards against an order that is reported as refused although it may be in
// force, and against one that a follower's redirection loses.
TEST_CASE("evacuation start and end send the order to the leader until its "
          "outcome is certain") {
  CtlFixture F;
  FakeNode Leader;
  Leader.set("POST /v1/evacuations",
             {loseAnswer(), answer(503, {{"error", "no leader is known"}}),
              answer(200, {{"result", "accepted"}})});
  F.m_node.set("POST /v1/evacuations", {[&](httplib::Response &Out) {
                 Out.status = 307;
                 Out.set_header("Location", "http://" + Leader.address() +
                                                "/v1/evacuations");
               }});
  CHECK(F.run({"evacuation", "start", "z1"}) == ExitCode::Ok);
  CHECK(F.m_out == "accepted\n");
  for (const json &Sent : Leader.posted())
    CHECK(Sent == json({{"failure_domain", "z1"}, {"evacuated", true}}));
  CHECK(Leader.posted().size() == 3);
  CHECK(F.run({"evacuation", "end", "z1"}) == ExitCode::Ok);
  CHECK(Leader.posted().back()["evacuated"] == false);
  Leader.set("POST /v1/evacuations",
             {answer(503, {{"error", "not known to be in force"}})});
  F.m_options.m_retries = 1;
  CHECK(F.run({"evacuation", "start", "z1"}) == ExitCode::AnswerLost);
  CHECK(F.errorContains("may be in force"));
  CHECK(F.errorContains("not known to be in force"));
}

TEST_CASE("evacuation names the mistake in a wrong order") {
  CtlFixture F;
  F.m_node.set("POST /v1/evacuations",
               {answer(404, {{"error", "no failure domain z9 is known"}})});
  CHECK(F.run({"evacuation", "start", "z9"}) == ExitCode::Refused);
  CHECK(F.errorContains("no failure domain z9 is known"));
  F.m_options.m_nodes = {F.m_closed.address()};
  CHECK(F.run({"evacuation", "end", "z1"}) == ExitCode::Unreachable);
  CHECK(F.run({"evacuation", "list"}) == ExitCode::Unreachable);
  CHECK(F.run({"evacuation"}) == ExitCode::UsageError);
  CHECK(F.run({"evacuation", "stop", "z1"}) == ExitCode::UsageError);
  CHECK(F.errorContains("allowed: start, end, list"));
  CHECK(F.run({"evacuation", "start"}) == ExitCode::UsageError);
  CHECK(F.errorContains("needs the name"));
  CHECK(F.run({"evacuation", "start", ""}) == ExitCode::UsageError);
  CHECK(F.run({"evacuation", "list", "z1"}) == ExitCode::UsageError);
}

TEST_CASE("evacuation list shows what still runs in each failure domain") {
  CtlFixture F;
  const json Answer = {{"failure_domains",
                        {{{"failure_domain", "z1"},
                          {"evacuated", true},
                          {"servers", 57},
                          {"targets", 7},
                          {"requests", 31}}}}};
  F.m_node.set("GET /v1/evacuations", {answer(200, Answer)});
  CHECK(F.run({"evacuation", "list"}) == ExitCode::Ok);
  for (const char *Text : {"failure_domain", "z1", "true", "57", "31"})
    CHECK(F.m_out.find(Text) != std::string::npos);
  F.m_options.m_json = true;
  CHECK(F.run({"evacuation", "list"}) == ExitCode::Ok);
  CHECK(json::parse(F.m_out) == Answer);
}

TEST_CASE("the output of get can be checked and applied as a file") {
  CtlFixture F;
  F.m_node.set(
      "GET /v1/declaration",
      {answer(200, {{"revision", 7},
                    {"declaration",
                     json::parse(declarationJson(
                         parseDeclarationYaml(Yaml, "f").value()))}})});
  REQUIRE(F.run({"get"}) == ExitCode::Ok);
  F.write(F.m_out);
  CHECK(F.run({"check", F.m_file}) == ExitCode::Ok);
  CHECK(F.run({"diff", F.m_file}) == ExitCode::Ok);
  CHECK(F.m_out.empty());
  F.m_options.m_json = true;
  F.write("templates: {t: {model: m, version: 2}}\n"
          "customers: {c: {template: t, capacity: 2}}\n");
  CHECK(F.run({"diff", F.m_file}) == ExitCode::Ok);
  CHECK(json::parse(F.m_out)["changes"].size() == 1);
}

TEST_CASE("status and history are shown as tables without control characters "
          "from names") {
  CtlFixture F;
  F.m_node.set(
      "GET /v1/status",
      {answer(200, {{"node", "n1"},
                    {"revision", 8},
                    {"nodes", {{{"node", "n1\x1b[2J"}}}},
                    {"replicas",
                     {{{"replica", "r1"}, {"members", {"t1", "t2"}}}}}})});
  CHECK(F.run({"status"}) == ExitCode::Ok);
  CHECK(F.m_out.find("n1?[2J") != std::string::npos);
  CHECK(F.m_out.find("t1,t2") != std::string::npos);
  CHECK(F.run({"status", "nodes"}) == ExitCode::Ok);
  CHECK(F.m_out.find("t1,t2") == std::string::npos);
  CHECK(F.run({"status", "pods"}) == ExitCode::UsageError);
  F.m_node.set("GET /v1/history", {answer(200, {{"entries",
                                                 {{{"revision", 1},
                                                   {"change_id", "c1"},
                                                   {"author", "ann"},
                                                   {"time_ms", 0}}}}})});
  CHECK(F.run({"history"}) == ExitCode::Ok);
  CHECK(F.m_out.find("1970-01-01T00:00:00") != std::string::npos);
}

TEST_CASE("hash_key prints a hash that accepts the key and never the key") {
  CtlFixture F;
  F.m_in = "sk-0123456789abcdef\n";
  REQUIRE(F.run({"hash_key"}) == ExitCode::Ok);
  std::string Hash = F.m_out.substr(0, F.m_out.size() - 1);
  REQUIRE(KeyHash::parse(Hash).has_value());
  CHECK(KeyHash::parse(Hash)->matches("sk-0123456789abcdef"));
  CHECK(F.m_out.find("0123456789abcdef\n") == std::string::npos);
  F.m_in = "";
  CHECK(F.run({"hash_key"}) == ExitCode::UsageError);
  F.m_in = "two words";
  CHECK(F.run({"hash_key"}) == ExitCode::UsageError);
}
