// An order of the operator that a leader could not complete is carried out after a later, acknowledged order.
#include "../common-2/Small.hpp"

using namespace lab;

namespace {

constexpr double EvacuationBound = 5.0; // evacuation-ms
constexpr double RecoveryBound = 15.0;  // recovery-s

struct Arrival {
  double m_at;
  std::string m_id, m_zone, m_server;
};

std::mutex ArrivalsLock;
std::vector<Arrival> Arrivals;

long arrivalsIn(const std::string &Zone, double From, double To) {
  std::lock_guard Lock(ArrivalsLock);
  return std::count_if(Arrivals.begin(), Arrivals.end(),
                       [&](const Arrival &A) { return A.m_zone == Zone && A.m_at >= From && A.m_at < To; });
}

} // namespace

int main(int Count, char **Arguments) {
  begin(Count, Arguments);
  DeploymentOptions Options;
  Options.m_bounds = "  seed-lag-s: 3\n  reuse-after-s: 2\n  stable-window-ms: 4000\n  ack-ms: 5000\n  catch-up-s: 6\n"
                     "  drain-ms: 2500\n  grace-s: 8\n  lost-ms: 200\n  config-apply-ms: 2500\n  downgrade-ms: 250\n"
                     "  outer-ms: 6000\n  revoke-strict: true\n  revoke-ms: 5000\n  retry-budget-ratio: 0.2\n"
                     "  budget-window-s: 10\n  retry-budget-slack: 266\n  cold-overage: 1.5\n  cold-slack: 5\n"
                     "  evacuation-ms: 5000\n  recovery-s: 15\n  stall-ms: 5000\n  enforce-fencing: true\n";
  auto &All = *new Deployment(Options);
  All.start();
  auto OnRequest = [](ServerRequest &Request) {
    {
      std::lock_guard Lock(ArrivalsLock);
      Arrivals.push_back({now(), Request.m_message.field("request-id"), Request.m_server->options().m_zone,
                          Request.m_server->id()});
    }
    RECORD("server %s in %s runs %s", Request.m_server->id().c_str(), Request.m_server->options().m_zone.c_str(),
           Request.m_message.field("request-id").c_str());
    sleepFor(0.02);
    Server::answer(Request, 200, "Server-Signature: s." + Request.m_server->id() + "\r\n", "done");
  };
  std::vector<Server *> Servers;
  for (int At = 0; At < 6; ++At) {
    ServerOptions Of;
    Of.m_name = std::to_string(At);
    Of.m_service = "order-svc";
    Of.m_address = All.ip(51 + At) + ":8080";
    Of.m_zone = Options.m_zones[static_cast<std::size_t>(At) % 3];
    Servers.push_back(new Server(All, Of, OnRequest));
    Servers.back()->start();
  }
  if (operate(All, "/Config.Put", plainConfig(1, "order-svc", "idempotent", 2).dump(), 20) != 200)
    finish(&All, 2, "the case could not run: no configuration");
  await(All, 20, "the entry nodes are not ready",
        [&] { return All.m_edges[0]->ready() && All.m_edges[1]->ready(); });
  std::atomic<bool> Over{false};
  std::vector<std::thread> Clients;
  std::atomic<long> Served{0};
  for (int At = 0; At < 2; ++At)
    Clients.emplace_back([&, At] {
      while (!Over) {
        std::string Id = freshId();
        Reply Answer = request(All.m_edges[static_cast<std::size_t>(At)]->frontend(),
                               requestBytes("GET", "/orders/1", clientFields("shop.example", Id, 1500), ""), 1.6);
        RECORD("client: %s at %s: %d", Id.c_str(), All.m_edges[static_cast<std::size_t>(At)]->m_name.c_str(),
               Answer.m_status);
        Served += Answer.m_status == 200 ? 1 : 0;
        sleepFor(0.1);
      }
    });
  await(All, 20, "no server of zone-a is used", [&] { return arrivalsIn("zone-a", 0, 1e9) > 5; });
  auto Conclude = [&](int Code, const std::string &Text) {
    Over = true;
    for (std::thread &Each : Clients)
      Each.join();
    finish(&All, Code, Text);
  };
  if (operate(All, "/Evacuations.Start/zone-a", "", 10) != 200)
    Conclude(2, "the case could not run: the first evacuation was not acknowledged");
  sleepFor(EvacuationBound + 2);
  if (long Late = arrivalsIn("zone-a", now() - 1.5, 1e9); Late > 0)
    Conclude(2, "the case could not run: the first evacuation has no effect");

  Machine *Leader = All.leader();
  if (Leader == nullptr)
    Conclude(2, "the case could not run: no leader");
  std::size_t LeaderAt = 0;
  while (All.m_cores[LeaderAt].get() != Leader)
    ++LeaderAt;
  RECORD("%s leads", Leader->m_name.c_str());
  All.endBootstrap();
  double Struck = now();
  if (trouble())
    for (auto &Core : All.m_cores)
      if (Core.get() != Leader)
        Core->kill();
  // The operator takes the zone back. Its first call reaches the leader, which cannot complete it.
  std::atomic<int> Ended{0};
  std::thread Operator([&] { Ended = operate(All, "/Evacuations.End/zone-a", "", 15, LeaderAt); });
  if (trouble()) {
    sleepFor(0.3 - (now() - Struck));
    Leader->signal(SIGSTOP, "SIGSTOP (it stands still)");
    sleepFor(0.7 - (now() - Struck));
    for (auto &Core : All.m_cores)
      if (Core.get() != Leader)
        Core->start();
  }
  Operator.join();
  if (Ended != 200)
    Conclude(2, "the case could not run: the end of the evacuation was not acknowledged");
  // It evacuates the zone again.
  if (operate(All, "/Evacuations.Start/zone-a", "", 10, LeaderAt + 1) != 200)
    Conclude(2, "the case could not run: the second evacuation was not acknowledged");
  double Acknowledged = now();
  RECORD("the second evacuation is acknowledged, %.1f s after the disruption began", Acknowledged - Struck);
  double Back = Acknowledged;
  if (trouble()) {
    sleepFor(3.8 - (now() - Struck));
    Leader->signal(SIGCONT, "SIGCONT (it wakes)");
    Back = now();
  }
  double From = std::max(Acknowledged + EvacuationBound, Back + RecoveryBound);
  RECORD("requests count from %.3f on", From);
  while (now() < From + 8)
    sleepFor(0.1);
  long Late = arrivalsIn("zone-a", From, 1e9);
  long Elsewhere = arrivalsIn("zone-b", From, 1e9) + arrivalsIn("zone-c", From, 1e9);
  char Text[300];
  std::snprintf(Text, sizeof Text,
                "EVAC %s: zone-a was evacuated and not taken back; later than evacuation-ms and recovery-s, %ld requests "
                "reached its servers, %ld others",
                Late > 0 ? "broken" : "held", Late, Elsewhere);
  Conclude(Late > 0 ? 1 : 0, Text);
}
