#pragma once

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "turmericdyke/src/Feed/CoordinatorRoster.h"
#include "turmericdyke/src/Node/Bootstrap.h"
#include "turmericdyke/src/Node/ControlCore.h"
#include "turmericdyke/src/Storage/DataDirectory.h"

namespace turmericdyke::test {

/// A disk that may be full: writes then store a part of their bytes and fail.
class SimDisk : public FileInterface {
public:
  bool m_full = false;

  ssize_t write(int File, const char *Bytes, std::size_t Count) override;
  // Synced data is not lost in these tests, so syncing would only take time.
  int fdatasync(int) override { return 0; }
  int fsync(int) override { return 0; }

private:
  /// A write to a full disk stores what still fits before the next one fails.
  bool m_partWritten = false;
};

/// The cores and rosters of several coordinators in virtual time, joined by a
/// network that delays messages. A restart without disk goes through the
/// bootstrap, as in the product.
class SimCoordinators {
public:
  /// Starts `Count` coordinators as voters. `Core` sets the limits of their
  /// cores; names and members are filled in here. With `Folder`, they keep
  /// their logs in data directories below it instead of in memory.
  SimCoordinators(std::size_t Count, CoordinatorRosterOptions Options,
                  unsigned Seed, ControlCoreOptions Core = {},
                  std::string Folder = "");

  /// From now on, applying the log keeps a coordinator from its timers and
  /// messages for `PerMegabyte` a MiB of commands.
  void setApplyCost(absl::Duration PerMegabyte);
  /// Size of the documents that `write` submits.
  void setDocumentBytes(std::size_t Bytes) { m_documentBytes = Bytes; }

  void run(absl::Duration Length);
  /// Starts a coordinator that was never there before, and returns its index.
  std::size_t add(const std::vector<std::size_t> &Seeds);
  void kill(std::size_t At);
  /// Stops a coordinator gracefully.
  void stop(std::size_t At);
  /// Starts a killed coordinator again.
  void restart(std::size_t At);
  void loseDisk(std::size_t At);
  /// From now on, the disk of this coordinator takes no bytes, or takes them
  /// again.
  void setDiskFull(std::size_t At, bool Full) {
    m_members[At].m_files->m_full = Full;
  }
  /// Whether the coordinator has stopped using its log after a failed write.
  bool storageFailed(std::size_t At) const {
    return m_members[At].m_storageFailed;
  }
  /// Keeps a coordinator from its timers and messages.
  void stall(std::size_t At, absl::Duration Length);
  /// Submits a change at one coordinator and returns its version; nullopt if it
  /// would refuse it.
  std::optional<std::uint64_t> submit(std::size_t At);
  std::uint64_t acknowledged() const { return m_acknowledged; }
  /// An order of an operator that a coordinator took.
  struct Order {
    std::size_t m_member = 0;
    /// Of the core that took it.
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_ticket = 0;

    auto operator<=>(const Order &) const = default;
  };
  /// Orders an evacuation, or its end, at one coordinator; nullopt if it would
  /// redirect the operator or not answer.
  std::optional<Order> order(std::size_t At, const FailureDomainId &Domain,
                             bool Evacuated);
  /// What the operator was told; nullopt if nothing yet, or if the coordinator
  /// was killed before.
  std::optional<SubmitStatus> outcome(const Order &Value) const;
  /// Whether this coordinator's state has the failure domain evacuated.
  bool isEvacuated(std::size_t At, const FailureDomainId &Domain) const;
  /// The version of the document that this coordinator has applied.
  std::uint64_t applied(std::size_t At) const;
  /// Submits a change and runs until it is acknowledged; false after `Within`.
  bool write(absl::Duration Within);

  Instant now() const { return m_now; }
  std::optional<std::size_t> leader() const;
  /// Bytes of commands that a restart of this coordinator has to apply.
  std::size_t logBytes(std::size_t At) const;
  /// How often a coordinator became leader so far.
  std::size_t elections() const { return m_elections; }
  /// The latest voter set of the leader, as indexes.
  std::vector<std::size_t> voters() const;
  bool isUp(std::size_t At) const { return m_members[At].m_up; }
  std::size_t size() const { return m_members.size(); }
  /// Whether the leader's state holds every acknowledged change.
  bool holdsAcknowledged() const;
  std::mt19937_64 &random() { return m_random; }

private:
  struct Member {
    NodeId m_node;
    bool m_up = true;
    std::uint64_t m_starts = 0;
    /// Number of its core, of which a process has several if its disk fails.
    std::uint64_t m_incarnation = 0;
    int m_disks = 0;
    PersistentState m_disk;
    std::string m_folder;
    std::unique_ptr<SimDisk> m_files = std::make_unique<SimDisk>();
    std::optional<DataDirectory> m_directory;
    bool m_storageFailed = false;
    Instant m_reopenAt = absl::InfiniteFuture();
    std::vector<NodeId> m_seeds;
    std::optional<Bootstrap> m_bootstrap;
    std::optional<ControlCore> m_core;
    std::optional<CoordinatorRoster> m_roster;
    Instant m_nextMembers = absl::InfinitePast();
    /// Until when the current turn keeps it busy.
    Instant m_busyUntil = absl::InfinitePast();
  };
  /// A message on its way. It is lost if its receiver has started again since.
  struct Delivery {
    std::size_t m_to = 0;
    std::uint64_t m_starts = 0;
    NodeId m_from;
    std::function<void(Member &)> m_receive;
  };
  static NodeId nameOf(std::size_t At);
  std::string identityOf(const Member &Value) const;
  void formOnDisks();
  void startFromDisk(Member &Value);
  void reopenStorage(Member &Value);
  void start(Member &Value);
  void startCore(Member &Value);
  void step();
  void tick(Member &Value);
  void perform(Member &Value);
  /// False if the storage failed.
  bool persist(Member &Value, const RaftActions &Actions);
  void onStorageFailed(Member &Value);
  void send(const Member &From, const NodeId &To,
            const std::function<void(Member &)> &Receive);
  void writeSnapshot(Member &Value, const Snapshot &State);
  void deliver(Instant When, Delivery Message);
  void sendCore(const Member &From, const AddressedMessage &Message);
  void sendRoster(Member &From);

  CoordinatorRosterOptions m_options;
  ControlCoreOptions m_coreOptions;
  std::mt19937_64 m_random;
  Instant m_now;
  std::vector<Member> m_members;
  std::multimap<Instant, std::function<void()>> m_events;
  absl::Duration m_applyCost = absl::ZeroDuration();
  std::size_t m_documentBytes = 8;
  std::size_t m_elections = 0;
  std::uint64_t m_version = 0;
  std::uint64_t m_acknowledged = 0;
  std::map<Order, SubmitStatus> m_outcomes;
};

} // namespace turmericdyke::test
