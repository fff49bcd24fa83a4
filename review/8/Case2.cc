// A server that leaves is used again after the coordinator that acknowledged it was lost.
#include "../common-2/Small.hpp"

using namespace lab;

namespace {

constexpr double DrainBound = 2.0;   // drain-ms
constexpr double StableWindow = 3.0; // stable-window-ms
/// How late the heartbeats of the server arrive that follow the acknowledged one.
constexpr double Late = 6.0;
/// How long the server serves on.
constexpr double ServesOn = 10.0;
constexpr int MostRounds = 6;

std::mutex Lock;
std::vector<std::pair<double, std::string>> Arrivals;

long arrivalsAt(const std::string &Server, double From, double To) {
  std::lock_guard Held(Lock);
  return std::count_if(Arrivals.begin(), Arrivals.end(), [&](const auto &A) {
    return A.second == Server && A.first >= From && A.first < To;
  });
}

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
  // Machines of the core have one core each.
  for (std::size_t At = 0; At < All.m_cores.size(); ++At)
    All.m_cores[At]->m_cpu = static_cast<int>(At % std::max(1u, std::thread::hardware_concurrency()));
  All.start();
  auto OnRequest = [](ServerRequest &Request) {
    {
      std::lock_guard Held(Lock);
      Arrivals.push_back({now(), Request.m_server->id()});
    }
    RECORD("server %s runs %s", Request.m_server->id().c_str(), Request.m_message.field("request-id").c_str());
    sleepFor(0.02);
    Server::answer(Request, 200, "Server-Signature: s." + Request.m_server->id() + "\r\n", "done");
  };
  std::vector<Server *> Servers;
  for (int At = 0; At < MostRounds + 2; ++At) {
    ServerOptions Of;
    Of.m_name = std::to_string(At);
    Of.m_service = "order-desk";
    Of.m_address = All.ip(51 + At) + ":8080";
    Of.m_zone = Options.m_zones[static_cast<std::size_t>(At) % 3];
    Servers.push_back(new Server(All, Of, OnRequest));
    Servers.back()->start();
  }
  if (operate(All, "/Config.Put", plainConfig(1, "order-desk", "idempotent", 2).dump(), 20) != 200)
    finish(&All, 2, "the case could not run: no configuration");
  await(All, 20, "the entry nodes are not ready",
        [&] { return All.m_edges[0]->ready() && All.m_edges[1]->ready(); });
  std::atomic<bool> Over{false};
  std::vector<std::thread> Clients;
  for (int At = 0; At < 4; ++At)
    Clients.emplace_back([&, At] {
      Machine &Edge = *All.m_edges[static_cast<std::size_t>(At) % 2];
      while (!Over) {
        std::string Id = freshId();
        Reply Answer = request(Edge.frontend(), requestBytes("GET", "/orders/1", clientFields("shop.example", Id, 1500), ""), 1.6);
        RECORD("client: %s at %s: %d", Id.c_str(), Edge.m_name.c_str(), Answer.m_status);
        sleepFor(0.05);
      }
    });
  All.endBootstrap();
  long Counted = 0;
  int Rounds = 0;
  // One leave and one kill in each round, until one is forgotten: the acknowledgement and the copies for the other
  // machines leave the process at about the same time.
  while (Counted == 0 && Rounds < MostRounds) {
    Server &Leaving = *Servers[static_cast<std::size_t>(Rounds++)];
    await(All, 20, "the server is not used", [&] { return arrivalsAt(Leaving.id(), 0, 1e9) > 10; });
    sleepFor(StableWindow + 1);
    Machine *Leader = All.leader();
    if (Leader == nullptr)
      finish(&All, 2, "the case could not run: no leader");
    double Acknowledged = 0;
    int Status = Leaving.drain(Leader->control(), Late, [&] {
      if (trouble())
        Leader->strike();
      Acknowledged = now();
    });
    RECORD("%s answers the heartbeat of %s, state draining: %d", Leader->m_name.c_str(), Leaving.id().c_str(), Status);
    if (Status != 200)
      finish(&All, 2, "the case could not run: the server's leave was not acknowledged");
    double Back = Acknowledged;
    if (trouble()) {
      Leader->kill();
      sleepFor(0.3);
      Leader->start();
      Back = now();
    }
    double From = std::max(Acknowledged + DrainBound, Back + StableWindow);
    sleepFor(Acknowledged + ServesOn - now());
    Counted = arrivalsAt(Leaving.id(), From, 1e9);
    RECORD("round %d: %ld requests that count reached %s", Rounds, Counted, Leaving.id().c_str());
    Leaving.end();
  }
  Over = true;
  for (std::thread &Each : Clients)
    Each.join();
  char Text[300];
  std::snprintf(Text, sizeof Text,
                "DRAIN %s: in round %d of %d, %ld requests reached the server later than drain-ms after its leave was "
                "acknowledged, by machines in touch",
                Counted > 0 ? "broken" : "held", Rounds, MostRounds, Counted);
  finish(&All, Counted > 0 ? 1 : 0, Text);
}
