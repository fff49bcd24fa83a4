#include "turmericdyke/src/Control/OnceOnlyTable.h"

#include <algorithm>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "turmericdyke/src/Base/Bytes.h"

namespace turmericdyke::internal {

namespace {

nlohmann::json bytes(std::string_view Text) {
  return nlohmann::json::binary({Text.begin(), Text.end()});
}

std::string text(const nlohmann::json &Value) {
  const nlohmann::json::binary_t &Bytes = Value.get_binary();
  return {Bytes.begin(), Bytes.end()};
}

bool isFinal(OnceOnlyOutcome Outcome) {
  return Outcome == OnceOnlyOutcome::Ran || Outcome == OnceOnlyOutcome::NotRun;
}

} // namespace

OnceOnlyTable::KeyDigest OnceOnlyTable::digestOf(const CustomerId &Customer,
                                                 std::string_view Key) {
  // The length prefix distinguishes ("ab", "c") from ("a", "bc").
  std::string Full = sha256(
      fmt::format("{}:{}:{}", Customer.str().size(), Customer.str(), Key));
  KeyDigest Digest;
  std::copy_n(Full.begin(), Digest.size(), Digest.begin());
  return Digest;
}

bool OnceOnlyTable::isLost(const NodeId &Node,
                           std::uint64_t Incarnation) const {
  auto Found = m_lostNodes.find(Node);
  return Found != m_lostNodes.end() && Incarnation <= Found->second;
}

BeginOnceOnlyResult OnceOnlyTable::begin(const BeginOnceOnly &Command,
                                         absl::Time LogTime,
                                         const ControlLimits &Limits) {
  KeyDigest Digest = digestOf(Command.m_customer, Command.m_key);
  auto Found = m_records.find(Digest);
  if (Found != m_records.end() && !m_skipRecordCheck) {
    if (Found->second.m_requestDigest != Command.m_requestDigest)
      return {BeginOnceOnlyStatus::DigestMismatch, {}};
    if (Found->second.m_outcome != OnceOnlyOutcome::NotRun)
      return {BeginOnceOnlyStatus::Known, Found->second};
    if (isLost(Command.m_node, Command.m_nodeIncarnation))
      return {BeginOnceOnlyStatus::NodeDeclaredLost, {}};
    // The owner reported that the call was not executed, so the key can be
    // reused.
    m_byAge.erase({Found->second.m_begunAt, Digest});
    m_storedBytes -= Found->second.m_answerBody.size();
    m_records.erase(Found);
  }
  if (m_tombstones.contains(Digest) && !m_skipTombstoneCheck)
    return {BeginOnceOnlyStatus::Expired, {}};
  if (isLost(Command.m_node, Command.m_nodeIncarnation))
    return {BeginOnceOnlyStatus::NodeDeclaredLost, {}};
  // Each record later becomes a tombstone, so both count towards the limit.
  if (m_records.size() + m_tombstones.size() >= Limits.m_maxOnceOnlyKeys)
    return {BeginOnceOnlyStatus::Full, {}};
  OnceOnlyRecord Record;
  Record.m_requestDigest = Command.m_requestDigest;
  Record.m_node = Command.m_node;
  Record.m_nodeIncarnation = Command.m_nodeIncarnation;
  Record.m_attempt = Command.m_attempt;
  Record.m_begunAt = LogTime;
  m_byAge.insert({LogTime, Digest});
  m_openRecords.insert({Command.m_node, Digest});
  m_records[Digest] = Record;
  return {BeginOnceOnlyStatus::Begun, std::move(Record)};
}

CommandResult OnceOnlyTable::finish(const FinishOnceOnly &Command,
                                    const ControlLimits &Limits) {
  KeyDigest Digest = digestOf(Command.m_customer, Command.m_key);
  auto Found = m_records.find(Digest);
  if (Found == m_records.end())
    return CommandRefused{CommandRefusalReason::NotOwner, "there is no record"};
  OnceOnlyRecord &Record = Found->second;
  if (isFinal(Record.m_outcome))
    return FinishOnceOnlyResult{Record};
  bool IsOwner = Record.m_node == Command.m_node &&
                 Record.m_nodeIncarnation == Command.m_nodeIncarnation &&
                 Record.m_attempt == Command.m_attempt;
  // A status query can show that a call ran, but not that it did not run: the
  // call may still be in transit.
  bool MayReport = Command.m_fromStatusQuery &&
                   Command.m_outcome == OnceOnlyOutcome::Ran &&
                   Record.m_outcome == OnceOnlyOutcome::MayHaveRun;
  if (!IsOwner && !MayReport)
    return CommandRefused{CommandRefusalReason::NotOwner,
                          "another node or attempt owns the record"};
  m_openRecords.erase({Record.m_node, Digest});
  Record.m_outcome = Command.m_outcome;
  Record.m_answerStatus = Command.m_answerStatus;
  m_storedBytes -= Record.m_answerBody.size();
  bool Fits = m_storedBytes + Command.m_answerBody.size() <=
              Limits.m_maxStoredAnswerBytes;
  Record.m_answerBody = Fits ? Command.m_answerBody : std::string();
  Record.m_bodyOmitted = Command.m_bodyOmitted || !Fits;
  m_storedBytes += Record.m_answerBody.size();
  return FinishOnceOnlyResult{Record};
}

void OnceOnlyTable::nodeLost(const NodeLost &Command) {
  std::uint64_t &Lost = m_lostNodes[Command.m_node];
  Lost = std::max(Lost, Command.m_incarnation);
  std::vector<KeyDigest> Ended;
  for (auto Open = m_openRecords.lower_bound({Command.m_node, KeyDigest{}});
       Open != m_openRecords.end() && Open->first == Command.m_node; ++Open)
    if (m_records[Open->second].m_nodeIncarnation <= Command.m_incarnation)
      Ended.push_back(Open->second);
  for (const KeyDigest &Digest : Ended) {
    m_records[Digest].m_outcome = OnceOnlyOutcome::MayHaveRun;
    m_openRecords.erase({Command.m_node, Digest});
  }
}

void OnceOnlyTable::expire(absl::Time LogTime, const ControlLimits &Limits) {
  while (!m_byAge.empty() &&
         m_byAge.begin()->first + Limits.m_onceOnlyRetention <= LogTime) {
    KeyDigest Digest = m_byAge.begin()->second;
    const OnceOnlyRecord &Record = m_records[Digest];
    m_storedBytes -= Record.m_answerBody.size();
    m_openRecords.erase({Record.m_node, Digest});
    m_records.erase(Digest);
    m_tombstones.insert(Digest);
    m_byAge.erase(m_byAge.begin());
  }
}

const OnceOnlyRecord *OnceOnlyTable::find(const CustomerId &Customer,
                                          std::string_view Key) const {
  auto Found = m_records.find(digestOf(Customer, Key));
  return Found == m_records.end() ? nullptr : &Found->second;
}

bool OnceOnlyTable::hasTombstone(const CustomerId &Customer,
                                 std::string_view Key) const {
  return m_tombstones.contains(digestOf(Customer, Key));
}

nlohmann::json OnceOnlyTable::toJson() const {
  nlohmann::json Records = nlohmann::json::array();
  for (const auto &[Digest, Record] : m_records)
    Records.push_back(
        {{"key", nlohmann::json::binary({Digest.begin(), Digest.end()})},
         {"digest", bytes(Record.m_requestDigest)},
         {"node", Record.m_node.str()},
         {"incarnation", Record.m_nodeIncarnation},
         {"attempt", Record.m_attempt.str()},
         {"outcome", static_cast<int>(Record.m_outcome)},
         {"status", Record.m_answerStatus},
         {"body", bytes(Record.m_answerBody)},
         {"omitted", Record.m_bodyOmitted},
         {"begun_us", absl::ToUnixMicros(Record.m_begunAt)}});
  std::string Tombstones;
  for (const KeyDigest &Digest : m_tombstones)
    Tombstones.append(Digest.begin(), Digest.end());
  nlohmann::json Lost = nlohmann::json::object();
  for (const auto &[Node, Incarnation] : m_lostNodes)
    Lost[Node.str()] = Incarnation;
  return {{"records", std::move(Records)},
          {"tombstones", bytes(Tombstones)},
          {"lost_nodes", std::move(Lost)}};
}

bool OnceOnlyTable::readJson(const nlohmann::json &Value) {
  for (const nlohmann::json &Entry : Value.at("records")) {
    std::string Key = text(Entry.at("key"));
    KeyDigest Digest;
    int Outcome = Entry.at("outcome");
    if (Key.size() != Digest.size() || Outcome < 0 ||
        Outcome > static_cast<int>(OnceOnlyOutcome::MayHaveRun))
      return false;
    std::copy(Key.begin(), Key.end(), Digest.begin());
    OnceOnlyRecord Record;
    Record.m_requestDigest = text(Entry.at("digest"));
    Record.m_node = NodeId(Entry.at("node").get<std::string>());
    Record.m_nodeIncarnation = Entry.at("incarnation");
    Record.m_attempt = AttemptId(Entry.at("attempt").get<std::string>());
    Record.m_outcome = static_cast<OnceOnlyOutcome>(Outcome);
    Record.m_answerStatus = Entry.at("status");
    Record.m_answerBody = text(Entry.at("body"));
    Record.m_bodyOmitted = Entry.at("omitted");
    Record.m_begunAt = absl::FromUnixMicros(Entry.at("begun_us"));
    m_byAge.insert({Record.m_begunAt, Digest});
    if (Record.m_outcome == OnceOnlyOutcome::InProgress)
      m_openRecords.insert({Record.m_node, Digest});
    m_storedBytes += Record.m_answerBody.size();
    m_records[Digest] = std::move(Record);
  }
  std::string Tombstones = text(Value.at("tombstones"));
  KeyDigest Digest;
  if (Tombstones.size() % Digest.size() != 0)
    return false;
  for (std::size_t At = 0; At < Tombstones.size(); At += Digest.size()) {
    std::copy_n(Tombstones.begin() + At, Digest.size(), Digest.begin());
    m_tombstones.insert(m_tombstones.end(), Digest);
  }
  for (const auto &[Node, Incarnation] : Value.at("lost_nodes").items())
    m_lostNodes[NodeId(Node)] = Incarnation;
  return true;
}

} // namespace turmericdyke::internal
