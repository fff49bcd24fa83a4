// A request that crashes each server that runs it, after the first events of its stream, is never refused.
#include "../common-2/Small.hpp"

using namespace lab;

namespace {

constexpr double StableWindow = 3.0; // stable-window-ms
constexpr int MaxRetries = 3;
/// The request crashes the model server at this event of its stream; others have 34 events. CRASH_AT=1 or 2 shows that
/// crashes at the start are noticed.
const int CrashAtEvent = std::getenv("CRASH_AT") ? std::atoi(std::getenv("CRASH_AT")) : 6;
constexpr int Events = 34;
constexpr double RestartTime = 2.0;

std::mutex Lock;
std::vector<double> Crashes;          // when the request crashed a server
std::vector<double> Arrivals;         // when it reached a server
std::atomic<long> OrdinaryRun{0};

bool isGuilty(const ServerRequest &Request) {
  return Request.m_message.m_body.find("crash") != std::string::npos;
}

void stream(ServerRequest &Request) {
  std::string Id = Request.m_message.field("request-id");
  bool Guilty = isGuilty(Request);
  std::string From = Request.m_message.field("last-event-id");
  int First = From.empty() ? 1 : std::atoi(From.c_str()) + 1;
  RECORD("server %s runs %s%s, from event %d", Request.m_server->id().c_str(), Id.c_str(), Guilty ? " (the request)" : "",
         First);
  if (Guilty) {
    std::lock_guard Held(Lock);
    Arrivals.push_back(now());
  } else {
    ++OrdinaryRun;
  }
  sleepFor(0.05);
  auto Chunk = [&](const std::string &Bytes) {
    char Size[32];
    std::snprintf(Size, sizeof Size, "%zx\r\n", Bytes.size());
    return sendAll(Request.m_file, Size + Bytes + "\r\n");
  };
  if (!sendAll(Request.m_file, "HTTP/1.1 200 OK\r\nRequest-Id: " + Id + "\r\nServer-Signature: s." +
                                   Request.m_server->id() + "\r\nContent-Type: text/event-stream\r\n"
                                   "Weight-Versions: 1\r\nKeep-Alive: timeout=30\r\nTransfer-Encoding: chunked\r\n\r\n"))
    return;
  for (int Event = First; Event <= Events; ++Event) {
    if (Guilty && trouble() && Event >= CrashAtEvent) {
      {
        std::lock_guard Held(Lock);
        Crashes.push_back(now());
      }
      return Request.m_server->crash(RestartTime);
    }
    if (!Request.m_server->up() || !Chunk("id: " + std::to_string(Event) + "\ndata: five more tokens\n\n"))
      return;
    sleepFor(0.03);
  }
  sendAll(Request.m_file, "0\r\n\r\n");
}

std::string requestOf(const std::string &Id, const std::string &Body, const std::string &Part) {
  return requestBytes("POST", "/drafts/1",
                      clientFields("chalk.example", Id, 8000) +
                          "Model: m0\r\nToken-Counts: 1460,200\r\nPrompt-Prefix: 5c1e07a2:40," + Part + ":1420\r\n",
                      Body);
}

} // namespace

int main(int Count, char **Arguments) {
  begin(Count, Arguments);
  DeploymentOptions Options;
  Options.m_bounds = "  seed-lag-s: 3\n  reuse-after-s: 2\n  stable-window-ms: 3000\n  ack-ms: 4000\n  catch-up-s: 4\n"
                     "  drain-ms: 2000\n  grace-s: 8\n  lost-ms: 200\n  config-apply-ms: 2000\n  downgrade-ms: 250\n"
                     "  outer-ms: 5000\n  revoke-strict: true\n  revoke-ms: 5000\n  retry-budget-ratio: 0.2\n"
                     "  budget-window-s: 10\n  retry-budget-slack: 109\n  recovery-s: 12\n  stall-ms: 4000\n"
                     "  enforce-fencing: true\n  ceiling-window-s: 5\n  ceiling-overage: 1.1\n";
  auto &All = *new Deployment(Options);
  All.start();
  std::vector<Server *> Servers;
  for (int At = 0; At < 8; ++At) {
    ServerOptions Of;
    Of.m_name = std::to_string(At);
    Of.m_service = "chalk-assistant";
    Of.m_address = All.ip(51 + At) + ":8080";
    Of.m_zone = Options.m_zones[static_cast<std::size_t>(At) % 3];
    Of.m_domain = "d1";
    Of.m_slots = 17;
    Of.m_engine = true;
    Servers.push_back(new Server(All, Of, stream));
    Servers.back()->start();
  }
  Json Config = plainConfig(1, "chalk-assistant", "streaming", 2);
  Json &Route = Config["routes"][0];
  Route["host"] = "chalk.example";
  Route["path-prefix"] = "/drafts/";
  Route["timeout-ms"] = 8000;
  Route["target-latency-ms"] = 400;
  Route["gap-target-ms"] = 300;
  Route["sticky"] = true;
  Route["resumable"] = true;
  Config["services"][0]["engine"] = {
      {"slots", 17}, {"kv-capacity-tokens", 1860000}, {"kv-bytes", 96256}, {"link-mbps", 400000.0}, {"stride", 5},
      {"models", {{{"name", "m0"}, {"size", 2}, {"share", 1.0}, {"pace", 1.0}, {"load-s", 16.0}, {"warm-s", 1.6}}}},
      {"step_ms", 7.8}, {"per_seq_ms", 0.0947}, {"context_per_k", 0.0096}, {"read_per_s", 45900.0},
      {"pairs_per_m", 0.433}, {"chunk", 2048}, {"report_lag_ms", 200.0}, {"loads-per-s", 5.0}, {"loads_at_once", 7},
      {"delays", Json::array()}, {"usual", {{"prompt", 979}, {"answer", 154}}}, {"retention-count", 1}, {"far_x", 2.5},
      {"form-ms", 300.0}};
  if (operate(All, "/Config.Put", Config.dump(), 20) != 200)
    finish(&All, 2, "the case could not run: no configuration");
  await(All, 20, "the entry nodes are not ready",
        [&] { return All.m_edges[0]->ready() && All.m_edges[1]->ready(); });
  await(All, 30, "no groups were opened", [&] {
    return std::count_if(Servers.begin(), Servers.end(), [](Server *S) { return S->groupState() == "open"; }) >= 3;
  });
  std::atomic<bool> Over{false};
  std::atomic<long> Sound{0}, Broken{0};
  std::vector<std::thread> Clients;
  for (int At = 0; At < 4; ++At)
    Clients.emplace_back([&, At] {
      for (int Turn = 0; !Over; ++Turn) {
        std::string Id = freshId();
        Machine &Edge = *All.m_edges[static_cast<std::size_t>(At) % 2];
        char Part[32];
        std::snprintf(Part, sizeof Part, "9%d%06x", At, static_cast<unsigned>(Turn));
        Reply Answer = request(Edge.frontend(), requestOf(Id, "draft " + std::string(Part), Part), 8);
        RECORD("client: %s at %s: %d%s", Id.c_str(), Edge.m_name.c_str(), Answer.m_status,
               Answer.m_whole ? "" : ", not complete");
        ++(Answer.m_status == 200 && Answer.m_whole ? Sound : Broken);
        sleepFor(0.3);
      }
    });
  await(All, 20, "no stream is served", [&] { return Sound > 4; });
  // The request comes again, with the same path, caller and body, at any machine.
  double Until = now() + 70;
  for (int Turn = 0; now() < Until; ++Turn) {
    std::string Id = freshId();
    Machine &Edge = *All.m_edges[static_cast<std::size_t>(Turn) % 2];
    Reply Answer = request(Edge.frontend(), requestOf(Id, "crash", "91bd3f06"), 8);
    RECORD("client: %s (the request, time %d) at %s: %d%s", Id.c_str(), Turn + 1, Edge.m_name.c_str(), Answer.m_status,
           Answer.m_whole ? "" : ", not complete");
    sleepFor(4);
  }
  Over = true;
  for (std::thread &Each : Clients)
    Each.join();
  std::lock_guard Held(Lock);
  long Late = 0;
  if (Crashes.size() >= 3)
    for (double At : Arrivals)
      Late += At > Crashes[2] + StableWindow ? 1 : 0;
  char Text[400];
  std::snprintf(Text, sizeof Text,
                "BUDGET %s: the request reached servers %zu times and crashed %zu; %ld times later than "
                "stable-window-ms after the third crash (allowed: %d). Ordinary streams: %ld complete, %ld not",
                Late > MaxRetries ? "broken" : "held", Arrivals.size(), Crashes.size(), Late, MaxRetries, Sound.load(),
                Broken.load());
  finish(&All, Late > MaxRetries ? 1 : 0, Text);
}
