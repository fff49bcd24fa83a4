#include "Cluster.h"

#include <algorithm>

#include <fmt/format.h>

#include "absl/hash/hash.h"
#include "absl/random/distributions.h"

namespace turmericdyke {

namespace {

constexpr absl::Duration StepTime = absl::Milliseconds(10);
/// With clock rates of 0.92 to 1.08, 800 ms on a slow clock (870 ms real time)
/// end before 1 s on a fast one (926 ms), with margin for steps of 10 ms.
constexpr double MaxDrift = 0.08;

std::uint64_t digestAfter(std::uint64_t Before, const LogEntry &Entry) {
  return absl::HashOf(Before, Entry.m_index, Entry.m_term,
                      static_cast<int>(Entry.m_kind), Entry.m_command);
}

} // namespace

Cluster::Cluster(const ClusterOptions &Options)
    : m_options(Options), m_random(m_options.m_seed) {
  std::size_t Count = m_options.m_voters + m_options.m_learners;
  m_members.resize(Count);
  VoterSet Initial;
  for (std::size_t At = 0; At < Count; ++At) {
    Member &M = m_members[At];
    M.m_node = NodeId(fmt::format("n{}", At));
    M.m_hasDirectory = At < m_options.m_voters || At + 1 < Count;
    M.m_clockRate = absl::Uniform(m_random, 1 - MaxDrift, 1 + MaxDrift);
    M.m_clockOffset = absl::Seconds(absl::Uniform(m_random, 0, 100000));
    if (M.m_hasDirectory)
      M.m_disk.m_identity = fmt::format("id{}", m_identities++);
    if (At < m_options.m_voters) {
      m_desiredVoters.insert(At);
      Initial.m_voters.push_back({M.m_node, M.m_disk.m_identity});
    }
  }
  m_committedVoters = Initial;
  for (std::size_t At = 0; At < Count; ++At) {
    if (At < m_options.m_voters)
      m_members[At].m_disk =
          bootstrapState(m_members[At].m_disk.m_identity, Initial);
    restart(At);
  }
}

Instant Cluster::clock(const Member &M) const {
  return absl::UnixEpoch() + M.m_clockOffset +
         M.m_clockRate * (m_now - absl::UnixEpoch());
}

bool Cluster::chance(double Probability) {
  return absl::Bernoulli(m_random, Probability);
}

bool Cluster::isRunning(const Member &M) const {
  return M.m_raft != nullptr && m_now >= M.m_pausedUntil;
}

std::size_t Cluster::indexOf(const NodeId &Node) const {
  return std::stoul(Node.str().substr(1));
}

bool Cluster::holdsLease(std::size_t At) const {
  const Member &M = m_members[At];
  return M.m_raft != nullptr && M.m_raft->holdsLeaderLease(clock(M));
}

std::size_t Cluster::leader() const {
  std::size_t Best = size();
  for (std::size_t At = 0; At < size(); ++At) {
    const auto &R = m_members[At].m_raft;
    if (R == nullptr || !R->isLeader())
      continue;
    if (Best == size() || R->term() > m_members[Best].m_raft->term())
      Best = At;
  }
  return Best;
}

void Cluster::run(absl::Duration Time) {
  for (absl::Time End = m_now + Time; m_now < End;)
    step();
}

bool Cluster::runUntil(const std::function<bool()> &Condition) {
  for (int Step = 0; Step < 2000 && !Condition(); ++Step)
    step();
  return Condition();
}

bool Cluster::runUntilLease() {
  return runUntil([&] { return leader() < size() && holdsLease(leader()); });
}

void Cluster::step() {
  m_now += StepTime;
  deliver();
  for (Member &M : m_members) {
    if (!isRunning(M))
      continue;
    M.m_raft->tick(clock(M), m_random);
    perform(M);
  }
  checkLeases();
}

void Cluster::deliver() {
  std::vector<RaftMessage> Due;
  for (auto At = m_network.begin();
       At != m_network.end() && At->first <= m_now;) {
    bool Paused = m_members[indexOf(At->second.m_to)].m_pausedUntil > m_now;
    if (Paused) {
      ++At;
      continue;
    }
    Due.push_back(std::move(At->second));
    At = m_network.erase(At);
  }
  for (const RaftMessage &Message : Due) {
    std::size_t From = indexOf(Message.m_from);
    std::size_t To = indexOf(Message.m_to);
    Member &M = m_members[To];
    if (M.m_raft == nullptr || m_cut.count({From, To}) > 0)
      continue;
    M.m_raft->step(clock(M), Message, m_random);
    perform(M);
  }
}

void Cluster::perform(Member &M) {
  RaftActions Actions = M.m_raft->takeActions();
  if (M.m_crashAtWrite && Actions.needsSync()) {
    std::size_t Kept =
        absl::Uniform<std::size_t>(m_random, 0, Actions.m_entries.size() + 1);
    Actions.m_entries.resize(Kept);
    persist(M, Actions);
    crash(indexOf(M.m_node));
    return;
  }
  persist(M, Actions);
  for (const RaftMessage &Message : Actions.m_messages)
    send(Message);
  if (Actions.m_snapshot)
    restore(M, *Actions.m_snapshot);
  for (const LogEntry &Entry : Actions.m_committed)
    apply(M, Entry);
  for (const RaftEvent &Event : Actions.m_events) {
    if (Event.m_kind == RaftEventKind::LeadershipGained)
      checkLeader(M);
    if (Event.m_kind == RaftEventKind::CommittedConflict)
      violation(fmt::format("committed entries of {} conflict with {}",
                            M.m_node.str(), Event.m_voter.m_node.str()));
    if (Event.m_kind == RaftEventKind::VoterRolledBack)
      violation(fmt::format("{} was wrongly reported as rolled back",
                            Event.m_voter.m_node.str()));
  }
}

void Cluster::persist(Member &M, const RaftActions &Actions) {
  if (!M.m_hasDirectory)
    return;
  if (Actions.m_hardState)
    M.m_disk.m_hardState = *Actions.m_hardState;
  if (Actions.m_snapshot) {
    M.m_disk.m_snapshot = *Actions.m_snapshot;
    M.m_disk.m_entries.clear();
  }
  if (!Actions.m_entries.empty())
    write(M, Actions.m_entries);
}

/// Writes entries and checks the log matching property: index and term
/// determine the entry and, through the term of the previous entry, the log up
/// to it.
void Cluster::write(Member &M, const std::vector<LogEntry> &Entries) {
  std::vector<LogEntry> &Log = M.m_disk.m_entries;
  std::erase_if(Log, [&](const LogEntry &Old) {
    return Old.m_index >= Entries.front().m_index;
  });
  for (const LogEntry &Entry : Entries) {
    Term Previous =
        Log.empty() ? M.m_disk.m_snapshot.m_term : Log.back().m_term;
    Written New{Entry, Previous};
    auto [Known, Added] =
        m_written.try_emplace({Entry.m_index, Entry.m_term}, New);
    if (!Added && (Known->second.m_entry != Entry ||
                   Known->second.m_previousTerm != Previous))
      violation(fmt::format("log matching violated at index {} of {}",
                            Entry.m_index, M.m_node.str()));
    Log.push_back(Entry);
  }
}

void Cluster::send(const RaftMessage &Message) {
  if (chance(m_options.m_loss))
    return;
  int Copies = chance(m_options.m_duplicate) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    absl::Duration Delay =
        absl::Uniform(m_random, 0.0, 1.0) * m_options.m_maxDelay;
    // A few messages are delayed by several election timeouts.
    if (chance(m_options.m_loss / 10))
      Delay = absl::Seconds(absl::Uniform(m_random, 0.5, 5.0));
    m_network.emplace(m_now + Delay, Message);
  }
}

void Cluster::restore(Member &M, const Snapshot &State) {
  M.m_applied = State.m_index;
  M.m_digest = State.m_data.empty() ? 0 : std::stoull(State.m_data);
  auto Known = m_applied.find(State.m_index);
  if (Known != m_applied.end() && Known->second.m_digest != M.m_digest)
    violation(fmt::format("{} restored a different state at index {}",
                          M.m_node.str(), State.m_index));
}

void Cluster::apply(Member &M, const LogEntry &Entry) {
  if (Entry.m_index != M.m_applied + 1)
    violation(fmt::format("{} applied index {} and then {}", M.m_node.str(),
                          M.m_applied, Entry.m_index));
  M.m_applied = Entry.m_index;
  M.m_digest = digestAfter(M.m_digest, Entry);
  auto [Known, First] = m_applied.try_emplace(
      Entry.m_index, Applied{Entry, M.m_raft->term(), M.m_digest});
  if (Known->second.m_entry != Entry || Known->second.m_digest != M.m_digest)
    violation(fmt::format("{} applied a different entry at index {}",
                          M.m_node.str(), Entry.m_index));
  if (First && Entry.m_kind == EntryKind::Voters)
    m_committedVoters = Entry.m_voters;
}

/// Checks election safety and leader completeness.
void Cluster::checkLeader(const Member &M) {
  if (!M.m_raft->isLeader())
    return;
  Voter Self{M.m_node, M.m_disk.m_identity};
  auto Known = m_leaders.try_emplace(M.m_raft->term(), Self).first;
  if (Known->second != Self)
    violation(fmt::format("two leaders in term {}", M.m_raft->term()));
  for (const auto &[Index, Done] : m_applied)
    if (Index > M.m_raft->snapshotIndex() &&
        M.m_raft->term() > Done.m_committedIn &&
        M.m_raft->termAt(Index) != Done.m_entry.m_term)
      violation(fmt::format("leader {} lacks committed entry {}",
                            M.m_node.str(), Index));
}

void Cluster::checkLeases() {
  std::size_t Leases = 0;
  for (std::size_t At = 0; At < size(); ++At)
    Leases += holdsLease(At) ? 1 : 0;
  if (Leases > 1)
    violation("two nodes hold a leader lease");
}

void Cluster::violation(std::string Text) {
  constexpr std::size_t MaxReportBytes = 500;
  if (m_violations.size() < MaxReportBytes)
    m_violations += fmt::format(
        "{}: {}\n", absl::FormatDuration(m_now - absl::UnixEpoch()), Text);
}

void Cluster::propose(std::size_t At, std::string Command) {
  Member &M = m_members[At];
  if (!isRunning(M))
    return;
  (void)M.m_raft->propose(clock(M), std::move(Command));
  perform(M);
}

void Cluster::transfer(std::size_t To) {
  std::size_t From = leader();
  if (From == size() || !isRunning(m_members[From]))
    return;
  Member &M = m_members[From];
  (void)M.m_raft->transferLeadership(clock(M), m_members[To].m_node);
  perform(M);
}

void Cluster::snapshot(std::size_t At) {
  Member &M = m_members[At];
  if (!isRunning(M) || M.m_applied <= M.m_raft->snapshotIndex())
    return;
  Snapshot State =
      M.m_raft->makeSnapshot(M.m_applied, fmt::format("{}", M.m_digest));
  std::erase_if(M.m_disk.m_entries, [&](const LogEntry &Old) {
    return Old.m_index <= State.m_index;
  });
  M.m_disk.m_snapshot = State;
  M.m_raft->compact(std::move(State));
}

void Cluster::crash(std::size_t At) {
  m_members[At].m_raft = nullptr;
  m_members[At].m_crashAtWrite = false;
}

void Cluster::restart(std::size_t At) {
  Member &M = m_members[At];
  M.m_crashAtWrite = false;
  RaftOptions Options;
  Options.m_node = M.m_node;
  Options.m_disabledCheck = m_options.m_disabledCheck;
  Options.m_maxEntriesPerMessage = m_options.m_entriesPerMessage;
  Options.m_maxInflightMessages = m_options.m_inflightMessages;
  Options.m_retainedEntries = 4;
  M.m_raft = std::make_unique<Raft>(Options, M.m_disk, clock(M), m_random);
  restore(M, M.m_disk.m_snapshot);
  std::vector<NodeId> All;
  for (const Member &Other : m_members)
    All.push_back(Other.m_node);
  M.m_raft->setLearners(All);
}

void Cluster::isolate(std::size_t At) {
  for (std::size_t Other = 0; Other < size(); ++Other) {
    cut(At, Other);
    cut(Other, At);
  }
}

/// Losing the disks of a majority loses committed entries by definition, so a
/// disk is replaced only while no other replaced one is in the voter set. None
/// is replaced during a voter change either: the larger set may then need every
/// remaining node, and one of them may not know yet that it is a voter.
bool Cluster::canSpareDisk() const {
  bool NoDiskReplaced =
      std::all_of(m_committedVoters.m_voters.begin(),
                  m_committedVoters.m_voters.end(), [&](const Voter &Each) {
                    return m_members[indexOf(Each.m_node)].m_disk.m_identity ==
                           Each.m_identity;
                  });
  bool NoChangeInProgress =
      std::all_of(m_members.begin(), m_members.end(), [&](const Member &M) {
        return M.m_raft != nullptr && (M.m_raft->lastIndex() == 0 ||
                                       M.m_raft->voters() == m_committedVoters);
      });
  return NoDiskReplaced && NoChangeInProgress &&
         m_committedVoters.m_voters.size() > 2;
}

void Cluster::replaceDisk(std::size_t At) {
  Member &M = m_members[At];
  if (!M.m_hasDirectory || !canSpareDisk())
    return;
  crash(At);
  M.m_disk = PersistentState();
  M.m_disk.m_identity = fmt::format("id{}", m_identities++);
  restart(At);
}

void Cluster::toggleVoter(std::size_t At) {
  if (!m_members[At].m_hasDirectory)
    return;
  if (m_desiredVoters.count(At) == 0)
    m_desiredVoters.insert(At);
  else if (m_desiredVoters.size() > 2)
    m_desiredVoters.erase(At);
}

VoterSet Cluster::desiredVoters() const {
  VoterSet Goal;
  for (std::size_t At : m_desiredVoters)
    Goal.m_voters.push_back(
        {m_members[At].m_node, m_members[At].m_disk.m_identity});
  return Goal;
}

void Cluster::changeOneVoter() {
  std::size_t At = leader();
  if (At == size() || !isRunning(m_members[At]))
    return;
  Member &M = m_members[At];
  VoterSet Goal = desiredVoters();
  if (M.m_raft->voters() == Goal)
    return;
  (void)M.m_raft->changeVoters(
      clock(M),
      nextVoterSet(M.m_raft->voters(), Goal, M.m_raft->respondingNodes()));
  perform(M);
}

void Cluster::healAndCheck() {
  heal();
  m_options.m_loss = 0;
  m_options.m_duplicate = 0;
  for (std::size_t At = 0; At < size(); ++At) {
    m_members[At].m_pausedUntil = absl::InfinitePast();
    m_members[At].m_crashAtWrite = false;
    if (m_members[At].m_raft == nullptr)
      restart(At);
  }
  // A voter change that is still in progress may undo a desired one.
  for (int Round = 0; Round < 100; ++Round) {
    run(absl::Milliseconds(200));
    changeOneVoter();
    if (Round >= 25 && m_committedVoters == desiredVoters())
      break;
  }
  run(absl::Seconds(3));
  if (!runUntilLease())
    violation("no leader 20 s after the last fault");
  else
    propose(leader(), "last");
  run(absl::Seconds(4));
  checkConverged();
}

void Cluster::checkConverged() {
  if (m_committedVoters != desiredVoters())
    violation("the desired voter set is not committed after the last fault");
  if (m_applied.empty() ||
      m_applied.rbegin()->second.m_entry.m_command != "last")
    violation("a proposal was not committed after the last fault");
  for (const Member &M : m_members)
    if (!m_applied.empty() && M.m_applied != m_applied.rbegin()->first)
      violation(fmt::format("{} applied up to {} of {}", M.m_node.str(),
                            M.m_applied, m_applied.rbegin()->first));
}

} // namespace turmericdyke
