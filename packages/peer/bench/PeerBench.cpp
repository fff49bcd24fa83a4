// Round trips over loopback between two transports of one process: rate,
// processor time of both sides per message, and bytes per message.

#include <cstdio>
#include <ctime>

#include <fmt/format.h>

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "turmericdyke/Base"
#include "turmericdyke/Peer"

using namespace turmericdyke;

namespace {

double cpuSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) + 1e-9 * Time.tv_nsec;
}

PeerTransportOptions options(const char *Node) {
  PeerTransportOptions Options;
  Options.m_identity.m_node = NodeId(Node);
  Options.m_identity.m_incarnation = 1;
  Options.m_clusterSecret = "secret";
  return Options;
}

/// Bytes that the loopback interface has sent, with TCP and IP headers. Traffic
/// of other processes counts too, so a quiet machine is needed.
std::uint64_t loopbackBytes() {
  std::FILE *File = std::fopen("/proc/self/net/dev", "r");
  char Line[512];
  unsigned long long Bytes = 0;
  while (File != nullptr && std::fgets(Line, sizeof Line, File) != nullptr)
    if (std::sscanf(Line, " lo: %llu", &Bytes) == 1)
      break;
  if (File != nullptr)
    std::fclose(File);
  return Bytes;
}

void measure(std::size_t Size, int Parallel) {
  std::atomic<std::uint64_t> Trips{0};
  std::unique_ptr<PeerTransport> A, B;
  absl::Mutex Ready;
  Ready.Lock();
  auto Answer = [&](ReceivedMessage Message) {
    absl::MutexLock Lock(&Ready);
    (void)B->send(Message.m_from, PeerMessageKind::Propose,
                  std::move(Message.m_bytes));
  };
  auto Again = [&](ReceivedMessage Message) {
    Trips.fetch_add(1, std::memory_order_relaxed);
    absl::MutexLock Lock(&Ready);
    (void)A->send(Message.m_from, PeerMessageKind::Propose,
                  std::move(Message.m_bytes));
  };
  A = std::move(PeerTransport::start(options("a"), Again).value());
  B = std::move(PeerTransport::start(options("b"), Answer).value());
  Ready.Unlock();
  A->setPeer(NodeId("b"), B->address());
  for (int Index = 0; Index < Parallel; ++Index)
    (void)A->send(NodeId("b"), PeerMessageKind::Propose,
                  std::string(Size, 'x'));
  absl::SleepFor(absl::Milliseconds(500));
  Instant Start = monotonicNow();
  double Cpu = cpuSeconds();
  std::uint64_t Bytes = loopbackBytes(), Before = Trips.load();
  absl::SleepFor(absl::Seconds(2));
  double Count = static_cast<double>(Trips.load() - Before);
  double Seconds = absl::ToDoubleSeconds(monotonicNow() - Start);
  fmt::print("size={} in_flight={} round_trips_per_s={:.0f} "
             "cpu_us_per_message={:.1f} loopback_bytes_per_message={:.0f}\n",
             Size, Parallel, Count / Seconds,
             1e6 * (cpuSeconds() - Cpu) / Count / 2,
             static_cast<double>(loopbackBytes() - Bytes) / Count / 2);
  A->stop();
  B->stop();
}

} // namespace

int main() {
  for (std::size_t Size : {64, 1024, 16384})
    for (int Parallel : {1, 32})
      measure(Size, Parallel);
}
