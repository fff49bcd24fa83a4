#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

#include "turmericdyke/Edge"

using namespace turmericdyke;

namespace {

/// A control plane that is unavailable and commits nothing.
class RejectingControlPort : public ControlPort {
public:
  OperatorReply declaration(std::optional<std::uint64_t>) override {
    return {503, "{}"};
  }
  OperatorReply applyDeclaration(std::string_view) override {
    return {503, "{}"};
  }
  OperatorReply history() override { return {503, "{}"}; }
  OperatorReply status() override { return {503, "{}"}; }
  OperatorReply drain(std::string_view) override { return {503, "{}"}; }
  SubmitResult submit(const Command &) override { return {}; }
  Result<void, FleetError> announce(const TargetAnnouncement &) override {
    return success();
  }
};

} // namespace

// Guards against the listen backlog of 5 that cpp-httplib is built with.
// Connections beyond it were dropped and retransmitted a second later.
TEST_CASE("a burst of 64 new connections is served without retransmissions") {
  EdgeServices Services;
  RejectingControlPort Control;
  CallerServer Server(Services, Control, HttpPortOptions());
  REQUIRE(Server.start());
  std::atomic<int> Fast{0};
  std::vector<std::thread> Callers;
  Callers.reserve(64);
  for (int Caller = 0; Caller < 64; ++Caller)
    Callers.emplace_back([&] {
      httplib::Client Client("127.0.0.1", Server.port());
      Instant Start = monotonicNow();
      httplib::Result Answer = Client.Get("/healthz");
      if (Answer && Answer->status == 200 &&
          monotonicNow() - Start < absl::Milliseconds(900))
        ++Fast;
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Fast == 64);
}

TEST_CASE(
    "a node without a read lease is not ready and refuses work as not run") {
  EdgeServices Services;
  RejectingControlPort Control;
  CallerServer Server(Services, Control, HttpPortOptions());
  REQUIRE(Server.start());
  httplib::Client Client("127.0.0.1", Server.port());
  httplib::Result Ready = Client.Get("/readyz");
  REQUIRE(Ready);
  CHECK(Ready->status == 503);
  httplib::Result Answer =
      Client.Post("/v1/completions", "{}", "application/json");
  REQUIRE(Answer);
  CHECK(Answer->status == 503);
  CHECK(Answer->get_header_value("X-Turmericdyke-Outcome") == "not_run");
  CHECK(Answer->get_header_value("Retry-After") == "1");
}
