#include "SimCoordinators.h"

#include <cassert>
#include <cerrno>
#include <utility>

#include <fmt/format.h>

#include "absl/random/distributions.h"
#include "turmericdyke/src/Coordinator/ClusterMembers.h"

namespace turmericdyke::test {

namespace {

/// The first coordinators are the seeds of all.
constexpr std::size_t Seeds = 3;
constexpr absl::Duration MaxStop = absl::Seconds(2);
constexpr absl::Duration Step = absl::Milliseconds(20);
/// As in `CoordinatorNode`.
constexpr absl::Duration StorageRetryDelay = absl::Seconds(1);
/// Small, so that segments change while a disk is full.
constexpr DataDirectoryOptions DiskOptions{std::uint64_t{64} << 10};

} // namespace

ssize_t SimDisk::write(int File, const char *Bytes, std::size_t Count) {
  if (!m_full)
    return FileInterface::write(File, Bytes, Count);
  m_partWritten = !m_partWritten && Count > 1;
  if (m_partWritten)
    return FileInterface::write(File, Bytes, Count / 2);
  errno = ENOSPC;
  return -1;
}

NodeId SimCoordinators::nameOf(std::size_t At) {
  return NodeId(fmt::format("n{}", At));
}

std::string SimCoordinators::identityOf(const Member &Value) const {
  return fmt::format("{}-disk-{}", Value.m_node.str(), Value.m_disks);
}

SimCoordinators::SimCoordinators(std::size_t Count,
                                 CoordinatorRosterOptions Options,
                                 unsigned Seed, ControlCoreOptions Core,
                                 std::string Folder)
    : m_options(Options), m_coreOptions(std::move(Core)), m_random(Seed),
      m_now(absl::UnixEpoch() + absl::Hours(1)), m_members(Count) {
  VoterSet Voters;
  std::vector<NodeId> SeedNodes;
  for (std::size_t At = 0; At < Count; ++At) {
    m_members[At].m_node = nameOf(At);
    if (At < Seeds)
      SeedNodes.push_back(nameOf(At));
    Voters.m_voters.push_back({nameOf(At), identityOf(m_members[At])});
  }
  for (Member &Value : m_members) {
    Value.m_seeds = SeedNodes;
    if (!Folder.empty())
      Value.m_folder = fmt::format("{}/{}", Folder, Value.m_node.str());
    else
      Value.m_disk = bootstrapState(identityOf(Value), Voters);
  }
  if (!Folder.empty())
    formOnDisks();
  for (Member &Value : m_members)
    start(Value);
}

void SimCoordinators::formOnDisks() {
  VoterSet Voters;
  for (Member &Value : m_members) {
    auto Opened =
        DataDirectory::open(Value.m_folder, DiskOptions, *Value.m_files);
    assert(Opened && "the test needs a folder that it can write to");
    Value.m_directory = std::move(Opened).value();
    Voters.m_voters.push_back({Value.m_node, Value.m_directory->identity()});
  }
  for (Member &Value : m_members) {
    auto Written = Value.m_directory->bootstrap(*normalizedVoterSet(Voters));
    assert(Written && "an empty directory takes the voters");
    Value.m_directory.reset();
  }
}

std::size_t SimCoordinators::add(const std::vector<std::size_t> &Seeds) {
  Member &Added = m_members.emplace_back();
  std::size_t At = m_members.size() - 1;
  Added.m_node = nameOf(At);
  for (std::size_t Seed : Seeds)
    Added.m_seeds.push_back(nameOf(Seed));
  Added.m_disk.m_identity = identityOf(Added);
  start(Added);
  return At;
}

void SimCoordinators::kill(std::size_t At) {
  Member &Value = m_members[At];
  Value.m_up = false;
  Value.m_core.reset();
  Value.m_bootstrap.reset();
  Value.m_directory.reset();
}

void SimCoordinators::stop(std::size_t At) {
  Member &Value = m_members[At];
  Value.m_roster->leave(m_now);
  Value.m_core->transferLeadership(m_now);
  perform(Value);
  for (Instant End = m_now + MaxStop; m_now < End; step())
    if (!Value.m_core->raft().isLeader() &&
        !mayHandVoteOver(m_now, *Value.m_roster, *Value.m_core))
      break;
  kill(At);
}

void SimCoordinators::loseDisk(std::size_t At) {
  Member &Value = m_members[At];
  ++Value.m_disks;
  Value.m_disk = {};
  Value.m_disk.m_identity = identityOf(Value);
}

void SimCoordinators::restart(std::size_t At) { start(m_members[At]); }

void SimCoordinators::start(Member &Value) {
  Value.m_up = true;
  ++Value.m_starts;
  Value.m_roster.emplace(Value.m_node, m_options);
  Value.m_roster->addSeeds(m_now, Value.m_seeds);
  Value.m_nextMembers = m_now;
  Value.m_busyUntil = m_now;
  if (!Value.m_folder.empty())
    return reopenStorage(Value);
  startFromDisk(Value);
}

void SimCoordinators::reopenStorage(Member &Value) {
  Value.m_core.reset();
  Value.m_directory.reset();
  Value.m_reopenAt = absl::InfiniteFuture();
  auto Opened =
      DataDirectory::open(Value.m_folder, DiskOptions, *Value.m_files);
  if (!Opened) {
    Value.m_storageFailed = true;
    Value.m_reopenAt = m_now + StorageRetryDelay;
    return;
  }
  Value.m_directory = std::move(Opened).value();
  Value.m_storageFailed = false;
  Value.m_disk = Value.m_directory->load();
  startFromDisk(Value);
}

void SimCoordinators::onStorageFailed(Member &Value) {
  Value.m_core->storageFailed();
  if (std::exchange(Value.m_storageFailed, true))
    return;
  Value.m_reopenAt = m_now + StorageRetryDelay;
}

void SimCoordinators::startFromDisk(Member &Value) {
  if (Value.m_disk.m_entries.empty() && Value.m_disk.m_snapshot.m_index == 0)
    Value.m_bootstrap.emplace(Value.m_node, Value.m_disk.m_identity,
                              Value.m_seeds, false);
  else
    startCore(Value);
}

void SimCoordinators::startCore(Member &Value) {
  Value.m_bootstrap.reset();
  ControlCoreOptions Options = m_coreOptions;
  Options.m_node = Value.m_node;
  Options.m_incarnation = ++Value.m_incarnation;
  Options.m_peers = Value.m_roster->others();
  Value.m_core.emplace(std::move(Options), Value.m_disk, m_now, m_random);
  perform(Value);
}

void SimCoordinators::setApplyCost(absl::Duration PerMegabyte) {
  m_applyCost = PerMegabyte;
}

void SimCoordinators::run(absl::Duration Length) {
  for (Instant End = m_now + Length; m_now < End;)
    step();
}

void SimCoordinators::step() {
  Instant End = m_now + Step;
  while (!m_events.empty() && m_events.begin()->first <= End) {
    auto Due = m_events.extract(m_events.begin());
    m_now = std::max(m_now, Due.key());
    Due.mapped()();
  }
  m_now = End;
  for (Member &Value : m_members)
    if (Value.m_up && m_now >= Value.m_busyUntil)
      tick(Value);
}

void SimCoordinators::stall(std::size_t At, absl::Duration Length) {
  Member &Value = m_members[At];
  Value.m_busyUntil = std::max(Value.m_busyUntil, m_now + Length);
}

std::optional<std::uint64_t> SimCoordinators::submit(std::size_t At) {
  Member &Value = m_members[At];
  if (!Value.m_up || Value.m_storageFailed || !Value.m_core ||
      m_now < Value.m_busyUntil)
    return std::nullopt;
  std::uint64_t Version = ++m_version;
  Value.m_core->submit(m_now,
                       SetRouting{Version, std::string(m_documentBytes, 'd')});
  return Version;
}

std::optional<SimCoordinators::Order>
SimCoordinators::order(std::size_t At, const FailureDomainId &Domain,
                       bool Evacuated) {
  Member &Value = m_members[At];
  if (!Value.m_up || Value.m_storageFailed || !Value.m_core ||
      m_now < Value.m_busyUntil || !Value.m_core->leads(m_now))
    return std::nullopt;
  Order Taken{At, Value.m_incarnation, 0};
  Taken.m_ticket =
      Value.m_core->submitAsLeader(m_now, SetEvacuation{Domain, Evacuated});
  Value.m_core->tick(m_now, m_now, m_random);
  perform(Value);
  return Taken;
}

std::optional<SubmitStatus> SimCoordinators::outcome(const Order &Value) const {
  auto Found = m_outcomes.find(Value);
  if (Found == m_outcomes.end())
    return std::nullopt;
  return Found->second;
}

bool SimCoordinators::isEvacuated(std::size_t At,
                                  const FailureDomainId &Domain) const {
  const auto &All = m_members[At].m_core->state().evacuations();
  auto Found = All.find(Domain);
  return Found != All.end() && Found->second.m_inForce;
}

std::uint64_t SimCoordinators::applied(std::size_t At) const {
  const Member &Value = m_members[At];
  return Value.m_core ? Value.m_core->state().routing().m_version : 0;
}

void SimCoordinators::tick(Member &Value) {
  if (m_now >= Value.m_reopenAt)
    reopenStorage(Value);
  if (Value.m_bootstrap) {
    for (const AddressedMessage &Message : Value.m_bootstrap->tick(m_now))
      sendCore(Value, Message);
    if (Value.m_bootstrap->mustJoin())
      startCore(Value);
  }
  if (m_now >= Value.m_nextMembers) {
    Value.m_nextMembers = m_now + MembersInterval;
    if (Value.m_roster->announcementDue(m_now))
      sendRoster(Value);
    if (Value.m_core)
      (void)updateClusterMembers(m_now, *Value.m_roster, *Value.m_core);
  }
  if (!Value.m_core)
    return;
  Value.m_core->tick(m_now, m_now, m_random);
  perform(Value);
}

void SimCoordinators::perform(Member &Value) {
  do {
    while (Value.m_core->hasActions()) {
      if (persist(Value, Value.m_core->storageActions()))
        Value.m_core->onActionsPersisted(m_now);
      else
        onStorageFailed(Value);
    }
    ControlOutput Output = Value.m_core->takeOutput();
    Value.m_busyUntil =
        std::max(Value.m_busyUntil, m_now) +
        m_applyCost * (static_cast<double>(Output.m_applied.m_bytes) /
                       static_cast<double>(1 << 20));
    for (const RaftEvent &Event : Output.m_events)
      m_elections += Event.m_kind == RaftEventKind::LeadershipGained ? 1 : 0;
    for (const AddressedMessage &Message : Output.m_messages)
      sendCore(Value, Message);
    for (const Completion &Done : Output.m_completions) {
      std::size_t At = static_cast<std::size_t>(&Value - m_members.data());
      m_outcomes[{At, Value.m_incarnation, Done.m_ticket}] = Done.m_status;
      if (const auto *Set = std::get_if<SetRoutingResult>(&Done.m_result);
          Set != nullptr && Done.m_status == SubmitStatus::Committed)
        m_acknowledged = std::max(m_acknowledged, Set->m_version);
    }
    if (Output.m_snapshot)
      writeSnapshot(Value, *Output.m_snapshot);
  } while (Value.m_core->hasActions());
}

void SimCoordinators::writeSnapshot(Member &Value, const Snapshot &State) {
  if (Value.m_directory) {
    if (Value.m_directory->writeSnapshot(State))
      Value.m_core->snapshotWritten(State);
    else
      onStorageFailed(Value);
    return;
  }
  Value.m_disk.m_snapshot = State;
  std::erase_if(Value.m_disk.m_entries, [&State](const LogEntry &Entry) {
    return Entry.m_index <= State.m_index;
  });
  Value.m_core->snapshotWritten(State);
}

std::size_t SimCoordinators::logBytes(std::size_t At) const {
  std::size_t Bytes = 0;
  for (const LogEntry &Entry : m_members[At].m_disk.m_entries)
    Bytes += Entry.m_command.size();
  return Bytes;
}

bool SimCoordinators::persist(Member &Value, const RaftActions &Actions) {
  if (Value.m_directory)
    return !Actions.needsSync() ||
           Value.m_directory->persist(Actions).has_value();
  PersistentState &Disk = Value.m_disk;
  if (Actions.m_hardState)
    Disk.m_hardState = *Actions.m_hardState;
  if (Actions.m_snapshot) {
    Disk.m_snapshot = *Actions.m_snapshot;
    Disk.m_entries.clear();
  }
  if (Actions.m_entries.empty())
    return true;
  std::erase_if(Disk.m_entries, [&](const LogEntry &Old) {
    return Old.m_index >= Actions.m_entries.front().m_index;
  });
  Disk.m_entries.insert(Disk.m_entries.end(), Actions.m_entries.begin(),
                        Actions.m_entries.end());
  return true;
}

void SimCoordinators::send(const Member &From, const NodeId &To,
                           const std::function<void(Member &)> &Receive) {
  absl::Duration Delay = absl::Milliseconds(absl::Uniform(m_random, 1.0, 10.0));
  for (std::size_t At = 0; At < m_members.size(); ++At)
    if (m_members[At].m_node == To)
      deliver(std::max(m_now, From.m_busyUntil) + Delay,
              {At, m_members[At].m_starts, From.m_node, Receive});
}

void SimCoordinators::deliver(Instant When, Delivery Message) {
  m_events.emplace(When, [this, Held = std::move(Message)] {
    Member &Receiver = m_members[Held.m_to];
    if (!Receiver.m_up || Receiver.m_starts != Held.m_starts)
      return;
    // Messages wait while the receiver is busy, in the order of their arrival.
    if (m_now < Receiver.m_busyUntil)
      return deliver(Receiver.m_busyUntil, Held);
    Receiver.m_roster->heardFrom(m_now, Held.m_from);
    Held.m_receive(Receiver);
  });
}

void SimCoordinators::sendCore(const Member &From,
                               const AddressedMessage &Message) {
  send(From, Message.m_to,
       [this, Sender = From.m_node,
        Content = Message.m_message](Member &Receiver) {
         if (Receiver.m_core) {
           Receiver.m_core->onMessage(m_now, Sender, Content, m_random);
           perform(Receiver);
         } else if (const auto *Answer =
                        std::get_if<BootstrapMessage>(&Content);
                    Answer != nullptr && Receiver.m_bootstrap) {
           Receiver.m_bootstrap->receive(Sender, *Answer);
         }
       });
}

void SimCoordinators::sendRoster(Member &From) {
  std::vector<NodeId> Known = From.m_roster->live(m_now);
  for (const NodeId &Other : From.m_roster->others())
    send(From, Other,
         [this, Known, Sender = From.m_node,
          Leaving = From.m_roster->isLeaving()](Member &Receiver) {
           Receiver.m_roster->setLeaving(Sender, Leaving);
           for (const NodeId &Node : Known)
             Receiver.m_roster->discovered(m_now, Node);
         });
}

bool SimCoordinators::write(absl::Duration Within) {
  std::uint64_t Version = ++m_version;
  Instant Submitted = absl::InfinitePast();
  for (Instant End = m_now + Within; m_now < End; step()) {
    if (m_acknowledged >= Version)
      return true;
    std::optional<std::size_t> Leader = leader();
    if (!Leader || m_now - Submitted < absl::Seconds(1))
      continue;
    m_members[*Leader].m_core->submit(
        m_now, SetRouting{Version, std::string(m_documentBytes, 'd')});
    Submitted = m_now;
  }
  return false;
}

std::optional<std::size_t> SimCoordinators::leader() const {
  for (std::size_t At = 0; At < m_members.size(); ++At)
    if (m_members[At].m_up && m_members[At].m_core &&
        m_members[At].m_core->leads(m_now))
      return At;
  return std::nullopt;
}

std::vector<std::size_t> SimCoordinators::voters() const {
  std::vector<std::size_t> Indexes;
  const VoterSet &Set = m_members[leader().value()].m_core->raft().voters();
  for (std::size_t At = 0; At < m_members.size(); ++At)
    if (Set.find(m_members[At].m_node) != nullptr)
      Indexes.push_back(At);
  return Indexes;
}

bool SimCoordinators::holdsAcknowledged() const {
  std::optional<std::size_t> Leader = leader();
  return Leader && m_members[*Leader].m_core->state().routing().m_version >=
                       m_acknowledged;
}

} // namespace turmericdyke::test
