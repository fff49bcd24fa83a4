#include "turmericdyke/src/Membership/TargetDirectory.h"

#include <algorithm>
#include <cassert>

namespace turmericdyke {

namespace {

constexpr std::uint8_t UnknownAge = 255;
/// Cache events of one target kept until its next entry is sent.
constexpr std::size_t MaxUnsentEvents = 256;
/// Least time between two requests for, or two answers with, a full digest.
constexpr absl::Duration FullInterval = absl::Milliseconds(400);

bool sameState(const TargetAnnouncement &A, const TargetAnnouncement &B) {
  const ReplicaMembership &MA = A.m_membership, &MB = B.m_membership;
  return A.m_incarnation == B.m_incarnation && A.m_host == B.m_host &&
         A.m_fabricDomain == B.m_fabricDomain &&
         A.m_failureDomain == B.m_failureDomain &&
         A.m_accelerators == B.m_accelerators && A.m_address == B.m_address &&
         A.m_kind == B.m_kind && A.m_service == B.m_service &&
         A.m_state == B.m_state && A.m_engineBuild == B.m_engineBuild &&
         A.m_spec == B.m_spec && MA.m_replica == MB.m_replica &&
         MA.m_generation == MB.m_generation && MA.m_rank == MB.m_rank &&
         A.m_checksFencing == B.m_checksFencing &&
         A.m_highestFencingToken == B.m_highestFencingToken;
}

bool sameLoad(const TargetLoad &A, const TargetLoad &B) {
  return A.m_running == B.m_running && A.m_waiting == B.m_waiting &&
         A.m_runningLong == B.m_runningLong &&
         A.m_tokensPerSecond == B.m_tokensPerSecond && A.m_lagMs == B.m_lagMs;
}

std::int64_t microsOf(Instant Time) { return absl::ToUnixMicros(Time); }

} // namespace

TargetDirectory::TargetDirectory(TargetDirectoryOptions Options, Instant Now)
    : m_options(std::move(Options)), m_nextDigest(Now) {
  assert(m_options.m_incarnation != 0 && "0 stands for no incarnation");
  assert(m_options.m_maxLocalTargets <= MaxDigestEntries &&
         "a digest lists all local targets");
}

AnnounceOutcome TargetDirectory::check(const Target *Known,
                                       const TargetAnnouncement &New) {
  if (Known == nullptr) {
    if (m_targets.size() < m_options.m_maxTargets)
      return AnnounceOutcome::Accepted;
    ++m_counts.m_tooMany;
    return AnnounceOutcome::TooMany;
  }
  const TargetAnnouncement &Old = *Known->m_announcement;
  bool OtherHost = Old.m_host != New.m_host;
  bool OtherPlace = OtherHost || Old.m_address != New.m_address;
  if (New.m_incarnation > Old.m_incarnation) {
    m_counts.m_moved += OtherHost ? 1 : 0;
    return AnnounceOutcome::Accepted;
  }
  if (OtherHost || (OtherPlace && New.m_incarnation == Old.m_incarnation)) {
    ++m_counts.m_identityConflicts;
    return AnnounceOutcome::IdentityConflict;
  }
  if (New.m_incarnation == Old.m_incarnation && New.m_sequence > Old.m_sequence)
    return AnnounceOutcome::Accepted;
  ++m_counts.m_late;
  return AnnounceOutcome::Late;
}

bool TargetDirectory::assignSlot(const TargetId &Id, Target &Local) {
  auto Free = std::find_if(m_slots.begin(), m_slots.end(),
                           [](const TargetId &Slot) { return Slot.empty(); });
  if (Free == m_slots.end()) {
    if (m_slots.size() >= m_options.m_maxLocalTargets)
      return false;
    Free = m_slots.emplace(m_slots.end());
  }
  *Free = Id;
  Local.m_slot = static_cast<std::size_t>(Free - m_slots.begin());
  return true;
}

void TargetDirectory::releaseSlot(Target &Local) {
  if (Local.m_slot)
    m_slots[*Local.m_slot] = TargetId();
  Local.m_slot.reset();
  Local.m_changed = false;
  Local.m_loadChanged = false;
  Local.m_unsentEvents.clear();
}

void TargetDirectory::noteChanges(Target &Local,
                                  const TargetAnnouncement &New) {
  std::vector<CacheEvent> &Events = Local.m_unsentEvents;
  Events.insert(Events.end(), New.m_cacheEvents.begin(),
                New.m_cacheEvents.end());
  if (Events.size() > MaxUnsentEvents)
    Events.erase(Events.begin(), Events.end() - MaxUnsentEvents);
  const TargetAnnouncement *Old = Local.m_announcement.get();
  Local.m_changed |= Old == nullptr || !sameState(*Old, New);
  Local.m_loadChanged |=
      Old == nullptr || !Events.empty() || !sameLoad(Old->m_load, New.m_load);
}

AnnounceOutcome TargetDirectory::announce(Instant Now,
                                          TargetAnnouncement Announcement) {
  const TargetId Id = Announcement.m_target;
  auto Found = m_targets.find(Id);
  AnnounceOutcome Outcome =
      check(Found == m_targets.end() ? nullptr : &Found->second, Announcement);
  if (Outcome != AnnounceOutcome::Accepted)
    return Outcome;
  bool IsNew = Found == m_targets.end();
  Target &Local = m_targets[Id];
  if (!Local.m_slot) {
    if (!assignSlot(Id, Local)) {
      ++m_counts.m_tooMany;
      if (IsNew)
        m_targets.erase(Id);
      return AnnounceOutcome::TooMany;
    }
    Local.m_changed = true;
  }
  noteChanges(Local, Announcement);
  Local.m_announcement =
      std::make_shared<const TargetAnnouncement>(std::move(Announcement));
  Local.m_heardAt = Now;
  Local.m_touchedAt = Now;
  Local.m_reportingNode = m_options.m_node;
  ++m_counts.m_accepted;
  if (Local.m_changed)
    sendChanges(Now, false);
  return AnnounceOutcome::Accepted;
}

TargetDigest TargetDirectory::header() const {
  TargetDigest Digest;
  Digest.m_from = m_options.m_node;
  Digest.m_incarnation = m_options.m_incarnation;
  Digest.m_sequence = m_sequence;
  return Digest;
}

DigestEntry TargetDirectory::entryOf(Instant Now, Target &Local) const {
  DigestEntry Entry;
  Entry.m_slot = *Local.m_slot;
  Entry.m_ageUs = absl::ToInt64Microseconds(
      absl::Ceil(Now - Local.m_heardAt, absl::Microseconds(1)));
  Entry.m_announcement = *Local.m_announcement;
  Entry.m_announcement.m_cacheEvents = Local.m_unsentEvents;
  return Entry;
}

std::string TargetDirectory::ages(Instant Now) const {
  std::string Ages(m_slots.size(), static_cast<char>(UnknownAge));
  absl::Duration Unit = absl::Milliseconds(DigestAgeUnitMs);
  for (std::size_t Slot = 0; Slot < m_slots.size(); ++Slot) {
    auto Found = m_targets.find(m_slots[Slot]);
    if (Found == m_targets.end())
      continue;
    absl::Duration Age = absl::Ceil(Now - Found->second.m_heardAt, Unit);
    if (Age < UnknownAge * Unit)
      Ages[Slot] = static_cast<char>(Age / Unit);
  }
  return Ages;
}

void TargetDirectory::queue(Instant Now, const NodeId &To,
                            TargetDigest Digest) {
  Digest.m_sentAtUs = microsOf(Now);
  auto Found = m_peers.find(To);
  if (Found != m_peers.end() && Found->second.m_stampUs != 0) {
    const Peer &Heard = Found->second;
    Digest.m_echoUs = Heard.m_stampUs;
    Digest.m_echoHeldUs = absl::ToInt64Microseconds(Now - Heard.m_stampAt);
    Digest.m_echoIncarnation = Heard.m_incarnation;
  }
  m_digests.push_back({To, std::move(Digest)});
}

void TargetDirectory::sendChanges(Instant Now, bool WithAges) {
  ++m_sequence;
  TargetDigest Digest = header();
  for (const TargetId &Id : m_slots) {
    auto Found = m_targets.find(Id);
    if (Found == m_targets.end())
      continue;
    Target &Local = Found->second;
    bool LoadDue =
        Local.m_loadChanged && Now - Local.m_sentAt >= m_options.m_loadInterval;
    if (!Local.m_changed && !LoadDue)
      continue;
    if (Local.m_changed)
      Digest.m_entries.push_back(entryOf(Now, Local));
    else
      Digest.m_loads.push_back({*Local.m_slot, Local.m_announcement->m_sequence,
                                Local.m_announcement->m_load,
                                Local.m_unsentEvents});
    Local.m_changed = false;
    Local.m_loadChanged = false;
    Local.m_sentAt = Now;
    Local.m_unsentEvents.clear();
  }
  if (WithAges)
    Digest.m_ages = ages(Now);
  for (const NodeId &To : m_receivers)
    queue(Now, To, Digest);
}

void TargetDirectory::sendFull(Instant Now, const NodeId &To, Peer &Of) {
  if (Now - Of.m_fullSentAt < FullInterval / 2)
    return;
  Of.m_fullSentAt = Now;
  TargetDigest Digest = header();
  Digest.m_full = true;
  for (const TargetId &Id : m_slots) {
    auto Found = m_targets.find(Id);
    if (Found != m_targets.end())
      Digest.m_entries.push_back(entryOf(Now, Found->second));
  }
  queue(Now, To, std::move(Digest));
}

void TargetDirectory::requestFull(Instant Now, const NodeId &To, Peer &Of) {
  if (Now - Of.m_fullRequestedAt < FullInterval)
    return;
  Of.m_fullRequestedAt = Now;
  TargetDigest Request = header();
  Request.m_requestFull = true;
  queue(Now, To, std::move(Request));
}

TargetDirectory::Peer *TargetDirectory::peerOf(Instant Now,
                                               const TargetDigest &Digest) {
  auto Found = m_peers.find(Digest.m_from);
  if (Found == m_peers.end()) {
    if (m_peers.size() >= m_options.m_maxNodes)
      return nullptr;
    Found = m_peers.try_emplace(Digest.m_from).first;
  }
  Peer &From = Found->second;
  if (Digest.m_incarnation < From.m_incarnation)
    return nullptr;
  if (Digest.m_incarnation > From.m_incarnation) {
    From = Peer();
    From.m_incarnation = Digest.m_incarnation;
  }
  From.m_touchedAt = Now;
  if (Digest.m_sentAtUs > From.m_stampUs) {
    From.m_stampUs = Digest.m_sentAtUs;
    From.m_stampAt = Now;
  }
  return &From;
}

Instant TargetDirectory::sentNotBefore(Instant Now,
                                       const TargetDigest &Digest) const {
  if (Digest.m_echoIncarnation != m_options.m_incarnation ||
      Digest.m_echoUs <= 0)
    return absl::InfinitePast();
  Instant Echo = absl::FromUnixMicros(Digest.m_echoUs);
  return std::min(Now, Echo + absl::Microseconds(Digest.m_echoHeldUs));
}

void TargetDirectory::receive(Instant Now, const TargetDigest &Digest) {
  if (Digest.m_from == m_options.m_node || Digest.m_incarnation == 0)
    return;
  Peer *From = peerOf(Now, Digest);
  if (From == nullptr) {
    ++m_counts.m_late;
    return;
  }
  if (Digest.m_requestFull)
    return sendFull(Now, Digest.m_from, *From);
  bool Late = Digest.m_full ? Digest.m_sequence < From->m_sequence
                            : Digest.m_sequence <= From->m_sequence;
  if (Late) {
    ++m_counts.m_late;
    return;
  }
  bool Next = From->m_synced && Digest.m_sequence == From->m_sequence + 1;
  From->m_synced = Next || Digest.m_full;
  From->m_sequence = Digest.m_sequence;
  if (Digest.m_full)
    From->m_slots.clear();
  Instant Sent = sentNotBefore(Now, Digest);
  for (const DigestEntry &Entry : Digest.m_entries)
    applyEntry(Now, Sent, Digest, Entry, *From);
  if (From->m_synced) {
    applyLoads(Digest, *From);
    return applyAges(Now, Sent, Digest, *From);
  }
  ++m_counts.m_gaps;
  requestFull(Now, Digest.m_from, *From);
}

void TargetDirectory::applyEntry(Instant Now, Instant Sent,
                                 const TargetDigest &Digest,
                                 const DigestEntry &Entry, Peer &From) {
  if (Entry.m_slot >= MaxDigestEntries)
    return;
  const TargetId &Id = Entry.m_announcement.m_target;
  if (From.m_slots.size() <= Entry.m_slot)
    From.m_slots.resize(Entry.m_slot + 1);
  From.m_slots[Entry.m_slot] = Id;
  Instant HeardAt = Sent - absl::Microseconds(Entry.m_ageUs);
  auto Found = m_targets.find(Id);
  Target *Known = Found == m_targets.end() ? nullptr : &Found->second;
  bool Same =
      Known != nullptr && Known->m_reportingNode == Digest.m_from &&
      Known->m_announcement->m_incarnation ==
          Entry.m_announcement.m_incarnation &&
      Known->m_announcement->m_sequence == Entry.m_announcement.m_sequence;
  if (!Same &&
      check(Known, Entry.m_announcement) != AnnounceOutcome::Accepted) {
    // Receivers hold that node to vouch for the target; tell them otherwise.
    if (Known != nullptr && Known->m_slot)
      Known->m_changed = true;
    return;
  }
  Target &New = m_targets[Id];
  bool SameStart =
      New.m_announcement != nullptr &&
      New.m_announcement->m_incarnation == Entry.m_announcement.m_incarnation;
  releaseSlot(New);
  // Both times are bounds of announcements of this start of the target.
  New.m_heardAt = SameStart ? std::max(New.m_heardAt, HeardAt) : HeardAt;
  New.m_touchedAt = Now;
  New.m_reportingNode = Digest.m_from;
  New.m_announcement =
      std::make_shared<const TargetAnnouncement>(Entry.m_announcement);
  ++m_counts.m_accepted;
}

void TargetDirectory::applyLoads(const TargetDigest &Digest, const Peer &From) {
  for (const DigestLoad &Load : Digest.m_loads) {
    if (Load.m_slot >= From.m_slots.size())
      continue;
    auto Found = m_targets.find(From.m_slots[Load.m_slot]);
    if (Found == m_targets.end() ||
        Found->second.m_reportingNode != Digest.m_from ||
        Found->second.m_announcement->m_sequence >= Load.m_sequence)
      continue;
    auto New =
        std::make_shared<TargetAnnouncement>(*Found->second.m_announcement);
    New->m_sequence = Load.m_sequence;
    New->m_load = Load.m_load;
    New->m_cacheEvents = Load.m_cacheEvents;
    Found->second.m_announcement = std::move(New);
  }
}

void TargetDirectory::applyAges(Instant Now, Instant Sent,
                                const TargetDigest &Digest, const Peer &From) {
  std::size_t Count = std::min(Digest.m_ages.size(), From.m_slots.size());
  for (std::size_t Slot = 0; Slot < Count; ++Slot) {
    auto Age = static_cast<std::uint8_t>(Digest.m_ages[Slot]);
    auto Found = m_targets.find(From.m_slots[Slot]);
    if (Age == UnknownAge || Found == m_targets.end() ||
        Found->second.m_reportingNode != Digest.m_from)
      continue;
    Instant HeardAt = Sent - Age * absl::Milliseconds(DigestAgeUnitMs);
    Found->second.m_heardAt = std::max(Found->second.m_heardAt, HeardAt);
    Found->second.m_touchedAt = Now;
  }
}

void TargetDirectory::forgetSilent(Instant Now) {
  for (auto Entry = m_targets.begin(); Entry != m_targets.end();) {
    Target &Known = Entry->second;
    if (Now - Known.m_touchedAt <= m_options.m_retention) {
      ++Entry;
      continue;
    }
    releaseSlot(Known);
    Entry = m_targets.erase(Entry);
  }
  std::erase_if(m_peers, [&](const auto &Entry) {
    return !m_receivers.contains(Entry.first) &&
           Now - Entry.second.m_touchedAt > m_options.m_retention;
  });
}

void TargetDirectory::tick(Instant Now) {
  if (Now < m_nextDigest)
    return;
  // Without catching up, as a digest states everything that is new.
  m_nextDigest = Now + m_options.m_digestInterval;
  forgetSilent(Now);
  sendChanges(Now, true);
}

void TargetDirectory::setPeers(absl::Span<const NodeId> Peers) {
  m_receivers = std::set<NodeId>(Peers.begin(), Peers.end());
  m_receivers.erase(m_options.m_node);
}

std::vector<OutgoingDigest> TargetDirectory::takeDigests() {
  return std::exchange(m_digests, {});
}

TargetDirectoryEntry TargetDirectory::viewOf(Instant Now,
                                             const Target &Known) const {
  absl::Duration Age = Now - Known.m_heardAt;
  return {Known.m_announcement, Age, Known.m_reportingNode,
          Age <= m_options.m_freshFor};
}

std::vector<TargetDirectoryEntry> TargetDirectory::snapshot(Instant Now) const {
  std::vector<TargetDirectoryEntry> Views;
  for (const auto &[Id, Known] : m_targets)
    if (Known.m_heardAt != absl::InfinitePast())
      Views.push_back(viewOf(Now, Known));
  return Views;
}

std::optional<TargetDirectoryEntry>
TargetDirectory::find(Instant Now, const TargetId &Target) const {
  auto Found = m_targets.find(Target);
  if (Found == m_targets.end() ||
      Found->second.m_heardAt == absl::InfinitePast())
    return std::nullopt;
  return viewOf(Now, Found->second);
}

} // namespace turmericdyke
