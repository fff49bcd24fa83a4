#include "turmericdyke/src/Groups/ServerDirectory.h"

#include <algorithm>

namespace turmericdyke {

namespace internal {
namespace {

/// How long a withdrawn incarnation is remembered. Announcements may be late by
/// seconds.
constexpr absl::Duration WithdrawnRetention = absl::Seconds(60);
/// A server that was not heard from for so long may have been cold since: two
/// and a half announcement intervals of 1.2 s. Servers that miss one interval
/// are probed, so a sound one that can be reached is not silent that long.
constexpr absl::Duration Silence = absl::Seconds(3);
/// The first announcement after a start may have been made before the server
/// knew that it is cold. The next one follows 1.2 s later.
constexpr absl::Duration StartStatementAge = absl::Seconds(1);

} // namespace
} // namespace internal

void ServerRecord::stateCold(Instant Now, Instant Until) {
  // A server that states that it is warm has been cold until now.
  m_coldUntil = Until > Now ? Until : std::min(m_coldUntil, Now);
  if (Now - m_countsAsStarted >= internal::StartStatementAge)
    m_startStatedAt = std::min(m_startStatedAt, Now);
}

bool ServerRecord::holdsWeights(std::string_view Model) const {
  const std::vector<std::string> &Staged = m_announcement.m_stagedModels;
  return m_modelInMemory == Model ||
         std::find(Staged.begin(), Staged.end(), Model) != Staged.end();
}

bool ServerDirectory::isWithdrawn(const TargetId &Id,
                                  std::int64_t StartMillis) const {
  auto Ended = m_withdrawn.find(Id);
  return Ended != m_withdrawn.end() &&
         StartMillis <= Ended->second.m_startMillis;
}

bool ServerDirectory::isStale(const ServerAnnouncement &Value) const {
  if (isWithdrawn(Value.m_id, Value.m_startMillis))
    return true;
  if (const ServerRecord *Known = find(Value.m_id)) {
    const ServerAnnouncement &Announcement = Known->m_announcement;
    if (Value.m_startMillis != Announcement.m_startMillis)
      return Value.m_startMillis < Announcement.m_startMillis;
    return Value.m_sequence <= Announcement.m_sequence;
  }
  auto Holder = m_byAddress.find(Value.m_address);
  return Holder != m_byAddress.end() &&
         m_servers.at(Holder->second).m_announcement.m_startMillis >
             Value.m_startMillis;
}

void ServerDirectory::erase(std::map<TargetId, ServerRecord>::iterator At) {
  m_byAddress.erase(At->second.m_announcement.m_address);
  m_removed[At->first] = ++m_sequence;
  m_servers.erase(At);
}

void ServerDirectory::claimAddress(const ServerAnnouncement &Value) {
  auto Holder = m_byAddress.find(Value.m_address);
  // The address is in use again, so its earlier holder has ended.
  if (Holder != m_byAddress.end() && Holder->second != Value.m_id)
    erase(m_servers.find(Holder->second));
  if (const ServerRecord *Known = find(Value.m_id))
    m_byAddress.erase(Known->m_announcement.m_address);
  m_byAddress[Value.m_address] = Value.m_id;
}

AnnouncementResult ServerDirectory::announce(Instant Now,
                                             const ServerAnnouncement &Value) {
  if (isStale(Value))
    return AnnouncementResult::Stale;
  claimAddress(Value);
  auto [At, New] = m_servers.try_emplace(Value.m_id);
  ServerRecord &Record = At->second;
  bool Same = !New && sameContent(Record.m_announcement, Value);
  if (New || Record.m_announcement.m_startMillis != Value.m_startMillis) {
    Record.m_modelInMemory.clear();
    Record.m_announcement.m_coldUntil.reset();
    Record.m_coldUntil = absl::InfinitePast();
    Record.countAsStarted(Now);
  }
  hear(Now, Record);
  std::optional<Instant> Stated = Value.m_coldUntil;
  if (Stated)
    Record.stateCold(Now, *Stated);
  else
    Stated = Record.m_announcement.m_coldUntil;
  Record.m_announcement = Value;
  Record.m_announcement.m_coldUntil = Stated;
  Record.m_inherited = false;
  if (!Same) {
    Record.m_changeSequence = ++m_sequence;
    m_removed.erase(Value.m_id);
  }
  if (Value.m_group && Value.m_group->m_state != MemberState::Joining)
    Record.m_modelInMemory = Value.m_model;
  return Same ? AnnouncementResult::Unchanged : AnnouncementResult::Changed;
}

bool ServerDirectory::confirm(Instant Now, const ServerHeard &Heard) {
  auto Found = m_servers.find(Heard.m_id);
  if (Found == m_servers.end() || isWithdrawn(Heard.m_id, Heard.m_startMillis))
    return false;
  ServerRecord &Record = Found->second;
  ServerAnnouncement &Announcement = Record.m_announcement;
  if (Announcement.m_startMillis != Heard.m_startMillis ||
      Heard.m_sequence <= Announcement.m_sequence)
    return false;
  Announcement.m_sequence = Heard.m_sequence;
  Record.m_inherited = false;
  hear(Now, Record);
  return true;
}

void ServerDirectory::hear(Instant Now, ServerRecord &Record) {
  if (Record.m_lastHeard != absl::InfinitePast() &&
      Now - Record.m_lastHeard >= internal::Silence) {
    Record.countAsStarted(Now);
    Record.m_changeSequence = ++m_sequence;
  }
  Record.heard(Now);
}

void ServerDirectory::countAsStarted(const FailureDomainId &Domain,
                                     Instant From) {
  for (auto &[Id, Record] : m_servers) {
    if (Record.m_announcement.m_failureDomain != Domain ||
        Record.m_countsAsStarted >= From)
      continue;
    Record.countAsStarted(From);
    Record.m_changeSequence = ++m_sequence;
  }
}

void ServerDirectory::drain(const TargetId &Id) {
  auto Found = m_servers.find(Id);
  if (Found == m_servers.end() || Found->second.m_announcement.m_draining)
    return;
  Found->second.m_announcement.m_draining = true;
  Found->second.m_changeSequence = ++m_sequence;
}

bool ServerDirectory::withdraw(Instant Now, const TargetId &Id) {
  auto Found = m_servers.find(Id);
  if (Found == m_servers.end())
    return false;
  ServerRecord &Record = Found->second;
  m_withdrawn[Id] = {Record.m_announcement.m_startMillis, Now};
  // The server finishes its requests for some seconds, so it is not lost yet.
  Record.m_announcement.m_draining = true;
  Record.m_lastHeard = Now;
  Record.m_changeSequence = ++m_sequence;
  return true;
}

void ServerDirectory::probeAnswered(Instant Now, const TargetId &Id) {
  auto Found = m_servers.find(Id);
  if (Found != m_servers.end())
    hear(Now, Found->second);
}

void ServerDirectory::probeFailed(Instant SentAt, const TargetId &Id,
                                  ProbeFailure Failure) {
  auto Found = m_servers.find(Id);
  if (Found == m_servers.end())
    return;
  ServerRecord &Record = Found->second;
  ++Record.m_failedProbes;
  Record.m_unansweredSince = std::min(Record.m_unansweredSince, SentAt);
  Record.m_refused = Record.m_refused || Failure == ProbeFailure::Refused;
  Record.m_unreachable =
      Record.m_unreachable || Failure == ProbeFailure::Unreachable;
}

std::vector<TargetId> ServerDirectory::expire(Instant Now,
                                              absl::Duration SilentFor) {
  std::vector<TargetId> Expired;
  for (const auto &[Id, Record] : m_servers)
    if (Now - Record.m_lastHeard >= SilentFor)
      Expired.push_back(Id);
  for (const TargetId &Id : Expired)
    erase(m_servers.find(Id));
  std::erase_if(m_withdrawn, [Now](const auto &Entry) {
    return Now - Entry.second.m_withdrawnAt >= internal::WithdrawnRetention;
  });
  return Expired;
}

void ServerDirectory::clear() {
  m_servers.clear();
  m_withdrawn.clear();
  m_byAddress.clear();
  m_removed.clear();
  m_sequence = 0;
}

void ServerDirectory::inherit(Instant Now,
                              absl::Span<const ServerCopy> Servers) {
  clear();
  for (const ServerCopy &Copy : Servers) {
    ServerRecord Record;
    Record.m_announcement = Copy.m_announcement;
    Record.m_modelInMemory = Copy.m_modelInMemory;
    Record.m_coldUntil =
        Copy.m_announcement.m_coldUntil.value_or(absl::InfinitePast());
    Record.m_countsAsStarted = Copy.m_countsAsStarted;
    Record.m_lastHeard = Now;
    Record.m_inherited = true;
    Record.m_changeSequence = ++m_sequence;
    m_byAddress[Copy.m_announcement.m_address] = Copy.m_announcement.m_id;
    m_servers.emplace(Copy.m_announcement.m_id, std::move(Record));
  }
}

std::vector<TargetId>
ServerDirectory::unconfirmed(Instant Now, absl::Duration SilentFor) const {
  std::vector<TargetId> Unconfirmed;
  for (const auto &[Id, Record] : m_servers)
    if (Record.m_inherited && !Record.isLost(Now, SilentFor))
      Unconfirmed.push_back(Id);
  return Unconfirmed;
}

void ServerDirectory::applyReport(Instant Asked, Instant Now,
                                  const TargetId &Id,
                                  const ServerReport &Report) {
  auto Found = m_servers.find(Id);
  if (Found == m_servers.end())
    return;
  ServerRecord &Record = Found->second;
  bool SameIncarnation =
      Record.m_announcement.m_startMillis == Report.m_startMillis;
  bool MayBeOlder = !Record.m_inherited &&
                    Record.m_lastHeard + ServerReport::MaxReportAge >= Asked;
  if (!SameIncarnation || MayBeOlder)
    return probeAnswered(Now, Id);
  ServerAnnouncement Announcement = Record.m_announcement;
  Announcement.m_stagedModels = Report.m_stagedModels;
  Announcement.m_model = Report.m_model;
  Announcement.m_group = Report.m_group;
  bool Same = sameContent(Announcement, Record.m_announcement);
  if (!Same)
    Record.m_changeSequence = ++m_sequence;
  Record.m_announcement = std::move(Announcement);
  Record.m_inherited = false;
  if (Report.m_group && Report.m_group->m_state != MemberState::Joining)
    Record.m_modelInMemory = Report.m_model;
  probeAnswered(Now, Id);
}

DirectoryUpdate ServerDirectory::changesSince(std::uint64_t Sequence) const {
  // Removals do not matter to a receiver that starts from an empty list.
  std::map<std::uint64_t, TargetId> Changes;
  for (const auto &[Id, Record] : m_servers)
    if (Record.m_changeSequence > Sequence)
      Changes.emplace(Record.m_changeSequence, Id);
  for (const auto &[Id, Changed] : m_removed)
    if (Changed > Sequence && Sequence > 0)
      Changes.emplace(Changed, Id);
  DirectoryUpdate Update;
  Update.m_from = Sequence;
  Update.m_sequence = m_sequence;
  for (const auto &[Changed, Id] : Changes) {
    if (Update.m_servers.size() + Update.m_removed.size() ==
        DirectoryUpdate::MaxEntries)
      break;
    Update.m_sequence = Changed;
    if (const ServerRecord *Record = find(Id))
      Update.m_servers.push_back(
          {Record->m_announcement, Record->m_modelInMemory,
           Record->m_startStatedAt == absl::InfiniteFuture()
               ? Record->m_countsAsStarted
               : absl::InfinitePast()});
    else
      Update.m_removed.push_back(Id);
  }
  return Update;
}

const ServerRecord *ServerDirectory::find(const TargetId &Id) const {
  auto Found = m_servers.find(Id);
  return Found == m_servers.end() ? nullptr : &Found->second;
}

} // namespace turmericdyke
