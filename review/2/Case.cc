// A request that crashes each server that begins to run it comes again every
// three seconds. Counts how often it still reaches servers later than
// `stable-window-ms` after the third crash.

#include "../common/Server.hpp"

using namespace review;

namespace {

constexpr const char *PoisonPath = "/place/poison";
constexpr const char *PoisonBody = "the same order";
constexpr double StableWindowS = 3.0;
constexpr int AllowedRetries = 3;
constexpr double RunS = 40.0;
constexpr double PoisonEveryS = 3.0;

int runCase(Record &Log) {
  bool Trouble = troubled();
  Log.line("TROUBLE=%d: the request %s servers", Trouble ? 1 : 0,
           Trouble ? "crashes" : "does not crash");
  Deployment System(Log);
  System.start(3, 2, 1);
  Server::Options Options;
  Options.Crashes = [Trouble](const Message &Request) {
    return Trouble && Request.target() == PoisonPath;
  };
  std::vector<std::unique_ptr<Server>> Servers;
  for (int At = 0; At < 3; ++At)
    Servers.push_back(std::make_unique<Server>(System, Log, At, Options));
  if (!System.put(deskConfig(7), 15) || !System.waitReady(15))
    return 2;
  std::this_thread::sleep_for(std::chrono::seconds(3));
  Clients Sound(System, Log, 12, 200, [](int Number) {
    return (Number % 4 == 0 ? "/status/" : "/place/") + std::to_string(Number);
  });
  std::this_thread::sleep_for(std::chrono::seconds(4));
  double Began = Log.now();
  std::vector<std::string> Poisons;
  for (int At = 0; Log.now() < Began + RunS; ++At) {
    std::string Id = "p" + std::to_string(At);
    Machine &Edge = System.edge(static_cast<std::size_t>(At) % System.edges());
    Log.line("client: %s %s to %s", Id.c_str(), PoisonPath, Edge.Name.c_str());
    std::optional<Message> Answer =
        callOnce(Edge.frontend(),
                 Clients::request(PoisonPath, Id, PoisonBody, true), 1.5);
    Log.line("client: %s is answered %d", Id.c_str(),
             Answer ? Answer->status() : 0);
    std::this_thread::sleep_for(std::chrono::duration<double>(PoisonEveryS));
  }
  Sound.stop();
  if (System.anyEnded())
    return 2;

  std::vector<double> Crashes;
  std::vector<Arrival> All;
  for (auto &Each : Servers) {
    for (double At : Each->crashes())
      Crashes.push_back(At);
    for (const Arrival &Value : Each->arrivals())
      if (Value.Target == PoisonPath)
        All.push_back(Value);
  }
  std::sort(Crashes.begin(), Crashes.end());
  std::sort(All.begin(), All.end(),
            [](const Arrival &A, const Arrival &B) { return A.At < B.At; });
  int Lost = 0;
  int Answered = 0;
  for (const Clients::Sent &Each : Sound.sent()) {
    Lost += Each.Status == 502 || Each.Status == 0 ? 1 : 0;
    Answered += Each.Status == 200 ? 1 : 0;
  }
  Log.line("sound requests: %d answered 200, %d answered 502 or not at all",
           Answered, Lost);
  int Late = 0;
  if (Crashes.size() >= 3)
    for (const Arrival &Each : All)
      if (Each.At > Crashes[2] + StableWindowS) {
        ++Late;
        Log.line("counted: %s reached %s %.1f s after the third crash",
                 Each.Id.c_str(), Each.Server.c_str(), Each.At - Crashes[2]);
      }
  Log.line("crashes: %zu; retries that reached servers later than %.0f s "
           "after the third: %d, %d are allowed",
           Crashes.size(), StableWindowS, Late, AllowedRetries);
  if (Answered < 100)
    return 2;
  return Late > AllowedRetries ? 1 : 0;
}

} // namespace

int main(int, char **Arguments) {
  try {
    Record Log(Arguments[1]);
    int Code = runCase(Log);
    Log.line("exit code %d", Code);
    return Code;
  } catch (const std::exception &Error) {
    fprintf(stderr, "%s\n", Error.what());
    return 2;
  }
}
