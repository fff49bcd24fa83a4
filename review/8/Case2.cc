// After a new leader, what is known of a request that crashes its servers is forgotten.
#include "../common-2/Small.hpp"

using namespace lab;

namespace {

constexpr double StableWindow = 3.0; // stable-window-ms
constexpr int MaxRetries = 3;
constexpr double RestartTime = 2.0;

std::mutex Lock;
std::vector<double> Crashes, Arrivals;

} // namespace

int main(int Count, char **Arguments) {
  begin(Count, Arguments);
  DeploymentOptions Options;
  Options.m_bounds = "  seed-lag-s: 3\n  reuse-after-s: 2\n  stable-window-ms: 3000\n  ack-ms: 4000\n  catch-up-s: 4\n"
                     "  drain-ms: 2000\n  grace-s: 8\n  lost-ms: 200\n  config-apply-ms: 2000\n  downgrade-ms: 250\n"
                     "  outer-ms: 5000\n  revoke-strict: true\n  revoke-ms: 5000\n  retry-budget-ratio: 0.2\n"
                     "  budget-window-s: 10\n  retry-budget-slack: 109\n  recovery-s: 12\n  stall-ms: 4000\n"
                     "  enforce-fencing: true\n";
  auto &All = *new Deployment(Options);
  All.start();
  auto OnRequest = [](ServerRequest &Request) {
    std::string Id = Request.m_message.field("request-id");
    bool Guilty = Request.m_message.m_body.find("crash") != std::string::npos;
    RECORD("server %s runs %s%s", Request.m_server->id().c_str(), Id.c_str(), Guilty ? " (the request)" : "");
    sleepFor(0.02);
    if (Guilty) {
      {
        std::lock_guard Held(Lock);
        Arrivals.push_back(now());
        Crashes.push_back(now());
      }
      return Request.m_server->crash(RestartTime);
    }
    Server::answer(Request, 200, "Server-Signature: s." + Request.m_server->id() + "\r\n", "done");
  };
  std::vector<Server *> Servers;
  for (int At = 0; At < 6; ++At) {
    ServerOptions Of;
    Of.m_name = std::to_string(At);
    Of.m_service = "order-desk";
    Of.m_address = All.ip(51 + At) + ":8080";
    Of.m_zone = Options.m_zones[static_cast<std::size_t>(At) % 3];
    Servers.push_back(new Server(All, Of, OnRequest));
    Servers.back()->start();
  }
  if (operate(All, "/Config.Put", plainConfig(1, "order-desk", "non_idempotent", 2).dump(), 20) != 200)
    finish(&All, 2, "the case could not run: no configuration");
  await(All, 20, "the entry nodes are not ready",
        [&] { return All.m_edges[0]->ready() && All.m_edges[1]->ready(); });
  int Turn = 0;
  auto Send = [&](const std::string &Body, const char *Name) {
    std::string Id = freshId();
    Machine &Edge = *All.m_edges[static_cast<std::size_t>(Turn++) % 2];
    Reply Answer = request(Edge.frontend(), requestBytes("POST", "/orders/1", clientFields("shop.example", Id, 1500), Body), 1.6);
    RECORD("client: %s (%s) at %s: %d", Id.c_str(), Name, Edge.m_name.c_str(), Answer.m_status);
    return Answer.m_status;
  };
  await(All, 20, "no request is served", [&] { return Send("one pallet", "ordinary") == 200; });
  // The request comes again, with the same path, caller and body.
  for (int Times = 0; Times < 4; ++Times) {
    Send("crash", "the request");
    sleepFor(1.7);
  }
  Machine *Leader = All.leader();
  if (Leader == nullptr)
    finish(&All, 2, "the case could not run: no leader");
  RECORD("%s leads", Leader->m_name.c_str());
  All.endBootstrap();
  if (trouble()) {
    Leader->kill();
    sleepFor(0.5);
    Leader->start();
  }
  double Restarted = now();
  sleepFor(StableWindow + 3);
  for (int Times = 0; Times < 10; ++Times) {
    Send("crash", "the request");
    sleepFor(1.7);
    Send("one pallet", "ordinary");
  }
  std::lock_guard Held(Lock);
  long Late = 0;
  if (Crashes.size() >= 3)
    for (double At : Arrivals)
      Late += At > Crashes[2] + StableWindow && At > Restarted + StableWindow ? 1 : 0;
  char Text[300];
  std::snprintf(Text, sizeof Text,
                "BUDGET %s: the request reached servers %zu times; %ld times later than stable-window-ms after the "
                "third crash, by machines in touch (allowed: %d)",
                Late > MaxRetries ? "broken" : "held", Arrivals.size(), Late, MaxRetries);
  finish(&All, Late > MaxRetries ? 1 : 0, Text);
}
