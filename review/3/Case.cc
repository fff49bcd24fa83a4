// A server states its end with `Deregister`, which the leading coordinator
// acknowledges; a heartbeat that it had sent before arrives seconds late. In
// between, the leading coordinator freezes for some seconds and another one
// leads. Counts the requests that reach the server later than `drain-ms` after
// the acknowledgement, while all machines are in touch again.

#include "../common/Server.hpp"

using namespace review;

namespace {

constexpr double DrainS = 2.0;
constexpr double StableWindowS = 3.0;
constexpr double FreezeS = 3.0;
/// How late the heartbeat is: it arrives after the freeze.
constexpr double LateByS = 5.5;
/// How long the server goes on serving after the acknowledgement.
constexpr double ServesOnS = 10.0;

int runCase(Record &Log) {
  bool Trouble = troubled();
  Log.line("TROUBLE=%d: the leading coordinator %s", Trouble ? 1 : 0,
           Trouble ? "freezes" : "does not freeze");
  Deployment System(Log);
  System.start(3, 2, 1);
  std::vector<std::unique_ptr<Server>> Servers;
  for (int At = 0; At < 3; ++At) {
    Server::Options Options;
    if (At == 0) {
      Options.LateBeat = 9;
      Options.LateByS = LateByS;
    }
    Servers.push_back(std::make_unique<Server>(System, Log, At, Options));
  }
  if (!System.put(deskConfig(7), 15) || !System.waitReady(15))
    return 2;
  Clients Sound(System, Log, 8, 100, [](int Number) {
    return (Number % 4 == 0 ? "/status/" : "/place/") + std::to_string(Number);
  });
  Server &Leaving = *Servers[0];
  while (Leaving.sequence() < 9 && Log.now() < 40)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  Machine *Leader = System.leader();
  if (Leader == nullptr)
    return 2;
  Log.line("%s leads", Leader->Name.c_str());
  std::string LeavingId = Leaving.id();
  if (!Leaving.deregister(Leader->control()))
    return 2;
  double Acknowledged = Log.now();
  Log.line("%s: its end is acknowledged", LeavingId.c_str());
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  double Thawed = Log.now();
  if (Trouble) {
    System.signal(*Leader, SIGSTOP);
    std::this_thread::sleep_for(std::chrono::duration<double>(FreezeS));
    System.signal(*Leader, SIGCONT);
    Thawed = Log.now();
  }
  double InTouch = std::max(Thawed + StableWindowS, Acknowledged + DrainS);
  while (Log.now() < Acknowledged + ServesOnS)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  Leaving.exit();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  Sound.stop();
  if (System.anyEnded())
    return 2;

  int Answered = 0;
  for (const Clients::Sent &Each : Sound.sent())
    Answered += Each.Status == 200 ? 1 : 0;
  // Requests that had been sent before the machines were in touch don't count.
  std::map<std::string, double> SentAt;
  for (const Clients::Sent &Each : Sound.sent())
    SentAt[Each.Id] = Each.At;
  int Late = 0;
  for (const Arrival &Each : Leaving.arrivals()) {
    auto Sent = SentAt.find(Each.Id);
    if (Each.Server != LeavingId || Each.At <= InTouch ||
        Sent == SentAt.end() || Sent->second <= InTouch)
      continue;
    if (++Late <= 20)
      Log.line("counted: %s reached %s %.2f s after the acknowledgement",
               Each.Id.c_str(), Each.Server.c_str(), Each.At - Acknowledged);
  }
  Log.line("requests answered 200: %d; requests that reached %s later than "
           "%.0f s after the acknowledgement, sent by machines in touch: %d",
           Answered, LeavingId.c_str(), DrainS, Late);
  if (Answered < 100)
    return 2;
  return Late > 0 ? 1 : 0;
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
