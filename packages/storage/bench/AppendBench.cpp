#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "turmericdyke/Storage"

/// Measures synced appends: `storage_append_bench DIRECTORY`. The directory
/// must be new; it is left for inspection.
using namespace turmericdyke;

namespace {

constexpr std::size_t CommandBytes = 256;
constexpr std::size_t Batches = 500;

double percentile(std::vector<double> Values, double Share) {
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      Share * static_cast<double>(Values.size() - 1))];
}

void measure(DataDirectory &Data, std::size_t BatchEntries, LogIndex &Index) {
  std::vector<double> Milliseconds;
  for (std::size_t Batch = 0; Batch < Batches; ++Batch) {
    RaftActions Actions;
    for (std::size_t Count = 0; Count < BatchEntries; ++Count)
      Actions.m_entries.push_back(
          {++Index, 1, EntryKind::Command, std::string(CommandBytes, 'x'), {}});
    auto Start = std::chrono::steady_clock::now();
    if (!Data.persist(Actions).has_value())
      std::exit(1);
    std::chrono::duration<double, std::milli> Taken =
        std::chrono::steady_clock::now() - Start;
    Milliseconds.push_back(Taken.count());
  }
  double Total = 0;
  for (double Value : Milliseconds)
    Total += Value;
  fmt::print("batch={} entries_per_s={:.0f} batch_ms_p50={:.3f} p95={:.3f} "
             "p99={:.3f}\n",
             BatchEntries,
             1000 * static_cast<double>(Batches * BatchEntries) / Total,
             percentile(Milliseconds, 0.5), percentile(Milliseconds, 0.95),
             percentile(Milliseconds, 0.99));
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    fmt::print(stderr, "usage: storage_append_bench DIRECTORY\n");
    return 2;
  }
  Result<DataDirectory, StorageError> Data = DataDirectory::open(Arguments[1]);
  if (!Data.has_value()) {
    fmt::print(stderr, "{}\n", Data.error().m_message);
    return 1;
  }
  RaftActions First;
  First.m_hardState = HardState{1, {}, false};
  if (!Data.value().persist(First).has_value())
    return 1;
  LogIndex Index = 0;
  for (std::size_t BatchEntries : {1, 10, 100})
    measure(Data.value(), BatchEntries, Index);
  return 0;
}
