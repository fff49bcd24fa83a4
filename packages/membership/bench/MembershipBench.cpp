// SWIM and target digests in virtual time: bytes (as CBOR, without transport)
// and processor time per node and second, detection times and false positives.

#include <cstdio>
#include <ctime>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "SwimSimulation.h"

using namespace turmericdyke;

namespace {

double cpuSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) + 1e-9 * Time.tv_nsec;
}

template <class Message> std::size_t encodedSize(const Message &Value) {
  return nlohmann::json::to_cbor(toJson(Value)).size();
}

void swimCost(std::size_t Nodes) {
  SwimSimulation Simulation(Nodes);
  Simulation.introduceAll();
  Simulation.run(absl::Seconds(Nodes > 200 ? 30 : 60));
  std::uint64_t Messages = 0, Bytes = 0;
  double Seconds = Nodes > 200 ? 10 : 30;
  double Cpu = cpuSeconds();
  Simulation.run(absl::Seconds(Seconds));
  Cpu = cpuSeconds() - Cpu;
  Simulation.m_onSend = [&](const SwimMessage &Message) {
    ++Messages;
    Bytes += encodedSize(Message);
  };
  Simulation.run(absl::Seconds(Seconds));
  double Share = static_cast<double>(Nodes) * Seconds;
  fmt::print("swim nodes={} messages_per_node_s={:.2f} bytes_per_node_s={:.0f} "
             "cpu_us_per_node_s={:.0f} (codec and transport not included)\n",
             Nodes, static_cast<double>(Messages) / Share,
             static_cast<double>(Bytes) / Share, 1e6 * Cpu / Share);
}

/// Time until the first and until all others hold a crashed node dead, and
/// live nodes that were declared dead in 10 minutes, with pauses of
/// `Pause` at a random node every 5 s when it is not 0.
void detection(std::size_t Nodes, double Loss, absl::Duration Pause) {
  std::vector<double> First, All;
  int False = 0, Suspicions = 0;
  for (unsigned Seed = 1; Seed <= 10; ++Seed) {
    SwimSimulation Simulation(Nodes, Seed);
    Simulation.introduceAll();
    Simulation.run(absl::Seconds(30));
    Simulation.setLoss(Loss);
    std::map<std::size_t, Instant> Seen;
    std::size_t Victim = Nodes;
    Simulation.m_onChange = [&](std::size_t By, const NodeUpdate &Change) {
      bool OfVictim =
          Victim < Nodes && Change.m_node == Simulation.node(Victim).m_id;
      Suspicions += !OfVictim && Change.m_state == NodeState::Suspect ? 1 : 0;
      if (Change.m_state != NodeState::Dead)
        return;
      if (OfVictim)
        Seen.try_emplace(By, Simulation.now());
      else
        ++False;
    };
    for (int Turn = 0; Turn < 12; ++Turn) {
      if (Pause > absl::ZeroDuration())
        Simulation.pause((Seed * 7 + static_cast<unsigned>(Turn)) % Nodes,
                         Pause);
      Simulation.run(absl::Seconds(5));
    }
    Victim = Seed % Nodes;
    Instant Crash = Simulation.now();
    Simulation.crash(Victim);
    Simulation.run(absl::Seconds(60));
    Instant Earliest = absl::InfiniteFuture(), Latest = Crash;
    for (const auto &[By, At] : Seen) {
      Earliest = std::min(Earliest, At);
      Latest = std::max(Latest, At);
    }
    if (Seen.size() + 1 < Nodes)
      Latest = absl::InfiniteFuture();
    First.push_back(absl::ToDoubleSeconds(Earliest - Crash));
    All.push_back(absl::ToDoubleSeconds(Latest - Crash));
  }
  std::sort(First.begin(), First.end());
  std::sort(All.begin(), All.end());
  fmt::print(
      "detection nodes={} loss={} pause={} runs=10 first_median_s={:.1f} "
      "first_max_s={:.1f} all_median_s={:.1f} all_max_s={:.1f} "
      "false_deaths={} suspicions_of_live={} in {} node-minutes\n",
      Nodes, Loss, absl::ToDoubleSeconds(Pause), First[5], First[9], All[5],
      All[9], False, Suspicions, 20 * Nodes);
}

/// Bytes that one of nine nodes sends to its eight peers, with load that
/// changes in each announcement and with steady load.
void digests(std::size_t Targets, bool LoadChanges) {
  constexpr std::size_t Nodes = 9;
  Instant Now = absl::UnixEpoch() + absl::Hours(1);
  std::vector<std::unique_ptr<TargetDirectory>> All;
  std::vector<NodeId> Ids;
  for (std::size_t Index = 0; Index < Nodes; ++Index)
    Ids.emplace_back(fmt::format("node-{}", Index));
  for (const NodeId &Id : Ids) {
    TargetDirectoryOptions Options;
    Options.m_node = Id;
    All.push_back(std::make_unique<TargetDirectory>(Options, Now));
    All.back()->setPeers(Ids);
  }
  std::uint64_t Bytes = 0, Messages = 0;
  double Cpu = 0;
  std::uint64_t Sequence = 0;
  auto Second = [&](bool Count) {
    for (int Tick = 0; Tick < 10; ++Tick) {
      Now += absl::Milliseconds(100);
      Sequence += Tick % 5 == 0 ? 1 : 0;
      double Start = cpuSeconds();
      for (std::size_t Target = 0; Target < Targets && Tick % 5 == 0;
           ++Target) {
        TargetAnnouncement Made;
        Made.m_target = TargetId(fmt::format("target-{:05}", Target));
        Made.m_incarnation = 1;
        Made.m_sequence = Sequence;
        Made.m_host = HostId(fmt::format("host-{:05}", Target));
        Made.m_fabricDomain = FabricDomainId("fabric-1");
        Made.m_failureDomain = FailureDomainId("zone-1");
        Made.m_address =
            fmt::format("10.1.{}.{}:8000", Target / 250, Target % 250);
        Made.m_state = TargetState::Ready;
        Made.m_engineBuild = "engine-1.2.3+abcdef";
        Made.m_spec.m_model = "model-70b";
        Made.m_membership.m_replica = ReplicaId("replica-00001");
        Made.m_load.m_running =
            LoadChanges ? static_cast<std::int64_t>(Sequence) : 4;
        All[Target % Nodes]->announce(Now, Made);
      }
      for (auto &Each : All)
        Each->tick(Now);
      std::vector<OutgoingDigest> Sends;
      for (auto &Each : All)
        for (OutgoingDigest &Send : Each->takeDigests())
          Sends.push_back(std::move(Send));
      for (const OutgoingDigest &Send : Sends)
        for (std::size_t To = 0; To < Nodes; ++To)
          if (Ids[To] == Send.m_to)
            All[To]->receive(Now, Send.m_digest);
      Cpu += Count ? cpuSeconds() - Start : 0;
      if (Count)
        for (const OutgoingDigest &Send : Sends) {
          ++Messages;
          Bytes += encodedSize(Send.m_digest);
        }
    }
  };
  for (int Warm = 0; Warm < 3; ++Warm)
    Second(false);
  constexpr int Seconds = 10;
  for (int Counted = 0; Counted < Seconds; ++Counted)
    Second(true);
  double Share = Seconds * Nodes;
  fmt::print("digest nodes={} targets={} load_changes={} "
             "messages_per_node_s={:.1f} bytes_per_node_s={:.0f} "
             "cpu_us_per_node_s={:.0f}\n",
             Nodes, Targets, LoadChanges, static_cast<double>(Messages) / Share,
             static_cast<double>(Bytes) / Share, 1e6 * Cpu / Share);
}

} // namespace

int main() {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  for (std::size_t Nodes : {9, 50, 100, 500, 1000})
    swimCost(Nodes);
  for (std::size_t Targets : {60, 600, 2500})
    for (bool LoadChanges : {false, true})
      digests(Targets, LoadChanges);
  for (std::size_t Nodes : {9, 50, 100})
    for (double Loss : {0.0, 0.05, 0.2})
      for (int Pause : {0, 1})
        detection(Nodes, Loss, absl::Seconds(Pause));
}
