#include "turmericdyke/src/Control/SuspectTable.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace turmericdyke::internal {

namespace {

constexpr absl::Duration RefusalDuration = absl::Minutes(10);
// A caller may retry long after the crash. The mark outlives the refusal, so
// that a request that crashes targets again costs one more target, not two.
constexpr absl::Duration MarkRetention = absl::Hours(1);
// About 20 MB. A crash marks at most the requests of one replica.
constexpr std::size_t MaxMarks = 100'000;
constexpr std::size_t CrashesUntilRefusal = 2;
// Limits how long other suspects are blocked if a node never ends its run.
constexpr absl::Duration MaxSuspectRunDuration = absl::Minutes(10);

nlohmann::json bytes(std::string_view Text) {
  return nlohmann::json::binary({Text.begin(), Text.end()});
}

} // namespace

void SuspectTable::setExpiry(const RequestIdentity &Request, Mark &Value,
                             absl::Time At) {
  m_byExpiry.erase({Value.m_expiresAt, Request});
  Value.m_expiresAt = At;
  m_byExpiry.insert({At, Request});
}

void SuspectTable::apply(const MarkSuspects &Command, absl::Time LogTime) {
  for (const RequestIdentity &Request : Command.m_requests) {
    if (m_run && m_run->m_request == Request)
      m_run.reset();
    Mark &Value = m_marks[Request];
    auto &Crashes = Value.m_crashes;
    if (std::find(Crashes.begin(), Crashes.end(), Command.m_crashId) !=
        Crashes.end())
      continue;
    if (Crashes.size() == CrashesUntilRefusal)
      Crashes.erase(Crashes.begin());
    Crashes.push_back(Command.m_crashId);
    if (Crashes.size() == CrashesUntilRefusal)
      Value.m_refusedUntil = LogTime + RefusalDuration;
    setExpiry(Request, Value, LogTime + MarkRetention);
  }
  while (m_marks.size() > MaxMarks) {
    m_marks.erase(m_byExpiry.begin()->second);
    m_byExpiry.erase(m_byExpiry.begin());
  }
}

bool SuspectTable::apply(const BeginSuspectRun &Command) {
  if (m_run && *m_run != Command)
    return false;
  m_run = Command;
  m_runExpiresAt = m_logTime + MaxSuspectRunDuration;
  return true;
}

void SuspectTable::apply(const EndSuspectRun &Command) {
  if (m_run && m_run->m_request == Command.m_request &&
      m_run->m_node == Command.m_node &&
      m_run->m_nodeIncarnation == Command.m_nodeIncarnation)
    m_run.reset();
}

void SuspectTable::nodeLost(const NodeLost &Command) {
  if (m_run && m_run->m_node == Command.m_node &&
      m_run->m_nodeIncarnation <= Command.m_incarnation)
    m_run.reset();
}

std::map<RequestIdentity, SuspectState> SuspectTable::all() const {
  std::map<RequestIdentity, SuspectState> Marked;
  for (const auto &[Request, Value] : m_marks)
    Marked.emplace(Request, stateOf(Request));
  return Marked;
}

std::map<RequestIdentity, SuspectState>
SuspectTable::of(const CustomerId &Customer) const {
  std::map<RequestIdentity, SuspectState> Marked;
  for (auto At = m_marks.lower_bound({Customer, ""});
       At != m_marks.end() && At->first.m_customer == Customer; ++At)
    Marked.emplace(At->first, stateOf(At->first));
  return Marked;
}

std::vector<RequestIdentity>
SuspectTable::markedSince(const CustomerId &Customer, absl::Time From) const {
  std::vector<RequestIdentity> Marked;
  for (auto At = m_byExpiry.lower_bound(
           {From + MarkRetention, RequestIdentity{CustomerId(), ""}});
       At != m_byExpiry.end(); ++At)
    if (At->second.m_customer == Customer)
      Marked.push_back(At->second);
  return Marked;
}

std::optional<RequestIdentity>
SuspectTable::firstFrom(const RequestIdentity &From) const {
  auto Found = m_marks.lower_bound(From);
  if (Found == m_marks.end())
    return std::nullopt;
  return Found->first;
}

void SuspectTable::apply(const ClearSuspect &Command) {
  auto Found = m_marks.find(Command.m_request);
  // That a run completed before the second crash does not clear the request of
  // that crash.
  if (Found == m_marks.end() || Found->second.m_refusedUntil > m_logTime)
    return;
  m_byExpiry.erase({Found->second.m_expiresAt, Command.m_request});
  m_marks.erase(Found);
}

void SuspectTable::expire(absl::Time LogTime) {
  m_logTime = LogTime;
  if (m_run && m_runExpiresAt <= LogTime)
    m_run.reset();
  while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= LogTime) {
    m_marks.erase(m_byExpiry.begin()->second);
    m_byExpiry.erase(m_byExpiry.begin());
  }
}

SuspectState SuspectTable::stateOf(const RequestIdentity &Request) const {
  auto Found = m_marks.find(Request);
  if (Found == m_marks.end())
    return SuspectState::Clear;
  return Found->second.m_refusedUntil > m_logTime ? SuspectState::Refused
                                                  : SuspectState::Suspect;
}

std::optional<absl::Time>
SuspectTable::refusedUntil(const RequestIdentity &Request) const {
  if (stateOf(Request) != SuspectState::Refused)
    return std::nullopt;
  return m_marks.at(Request).m_refusedUntil;
}

nlohmann::json SuspectTable::toJson() const {
  nlohmann::json Marks = nlohmann::json::array();
  for (const auto &[Request, Value] : m_marks) {
    bool WasRefused = Value.m_refusedUntil != absl::InfinitePast();
    Marks.push_back(
        {{"customer", Request.m_customer.str()},
         {"digest", bytes(Request.m_digest)},
         {"crashes", Value.m_crashes},
         {"refused_until_us",
          WasRefused ? nlohmann::json(absl::ToUnixMicros(Value.m_refusedUntil))
                     : nlohmann::json()},
         {"expires_us", absl::ToUnixMicros(Value.m_expiresAt)}});
  }
  nlohmann::json Object = {{"marks", std::move(Marks)},
                           {"log_time_us", absl::ToUnixMicros(m_logTime)}};
  if (m_run)
    Object["run"] = {{"customer", m_run->m_request.m_customer.str()},
                     {"digest", bytes(m_run->m_request.m_digest)},
                     {"node", m_run->m_node.str()},
                     {"incarnation", m_run->m_nodeIncarnation},
                     {"ends_us", absl::ToUnixMicros(m_runExpiresAt)}};
  return Object;
}

void SuspectTable::readJson(const nlohmann::json &Value) {
  m_logTime = absl::FromUnixMicros(Value.at("log_time_us"));
  for (const nlohmann::json &Entry : Value.at("marks")) {
    const nlohmann::json::binary_t &Digest = Entry.at("digest").get_binary();
    RequestIdentity Request{CustomerId(Entry.at("customer").get<std::string>()),
                            {Digest.begin(), Digest.end()}};
    Mark &Read = m_marks[Request];
    Read.m_crashes = Entry.at("crashes").get<std::vector<std::string>>();
    if (!Entry.at("refused_until_us").is_null())
      Read.m_refusedUntil = absl::FromUnixMicros(Entry["refused_until_us"]);
    setExpiry(Request, Read, absl::FromUnixMicros(Entry.at("expires_us")));
  }
  if (!Value.contains("run"))
    return;
  const nlohmann::json &Run = Value["run"];
  const nlohmann::json::binary_t &Digest = Run.at("digest").get_binary();
  m_run = BeginSuspectRun{{CustomerId(Run.at("customer").get<std::string>()),
                           {Digest.begin(), Digest.end()}},
                          NodeId(Run.at("node").get<std::string>()),
                          Run.at("incarnation")};
  m_runExpiresAt = absl::FromUnixMicros(Run.at("ends_us"));
}

} // namespace turmericdyke::internal
