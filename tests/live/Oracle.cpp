#include "Oracle.h"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace turmericdyke;

namespace {

constexpr absl::Duration ReadLease = absl::Seconds(3);
/// A replica must stop serving within this time after a member has crashed.
constexpr absl::Duration CrashDetectionLimit = absl::Seconds(3);
constexpr std::size_t MaxLines = 20;

using Lines = std::vector<std::string>;

struct TargetRecords {
  std::set<std::string> m_texts;
  std::set<std::string> m_finished;
  std::set<std::string> m_requests;
  std::map<std::string, int> m_runsOfKey;
};

TargetRecords recordsOf(const LiveCluster &Cluster) {
  TargetRecords Records;
  for (const auto &Target : Cluster.targets())
    for (const StandInRun &Run : Target->runs()) {
      Records.m_texts.insert(Run.m_text);
      Records.m_requests.insert(Run.m_request.str());
      if (Run.m_finished)
        Records.m_finished.insert(Run.m_text);
      if (!Run.m_idempotencyKey.empty())
        ++Records.m_runsOfKey[Run.m_idempotencyKey];
    }
  return Records;
}

void checkChats(const LiveLoad &Load, const TargetRecords &Ran,
                Lines &Violations) {
  for (const CallerRecord &Record : Load.chats()) {
    std::string Expected = expectedAnswer(Record.m_text, Record.m_tokens);
    if (Record.m_complete && Record.m_body != Expected)
      Violations.push_back(fmt::format(
          "{} at node {}: complete, but the answer to another request: {}",
          Record.m_text, Record.m_node, Record.m_body));
    if (Record.m_complete && Ran.m_finished.count(Record.m_text) == 0)
      Violations.push_back(fmt::format(
          "{}: complete, but no target finished it", Record.m_text));
    if (!Record.m_complete && Expected.rfind(Record.m_body, 0) != 0 &&
        Record.m_status == 200)
      Violations.push_back(
          fmt::format("{} at node {}: parts of another answer: {}",
                      Record.m_text, Record.m_node, Record.m_body));
    if (Record.m_outcome == "not_run" && Ran.m_texts.count(Record.m_text) > 0)
      Violations.push_back(fmt::format("{} at node {}: not_run, but it ran: {}",
                                       Record.m_text, Record.m_node,
                                       Record.m_body));
  }
}

void checkCalls(const LiveLoad &Load, const TargetRecords &Ran,
                Lines &Violations) {
  std::map<std::string, std::vector<CallerRecord>> ByKey;
  for (CallerRecord &Record : Load.calls())
    ByKey[Record.m_text].push_back(std::move(Record));
  for (const auto &[Key, Runs] : Ran.m_runsOfKey)
    if (Runs > 1)
      Violations.push_back(fmt::format("{}: ran {} times", Key, Runs));
  for (const auto &[Key, Answers] : ByKey) {
    bool AllNotRun = true;
    std::string Body;
    for (const CallerRecord &Record : Answers) {
      AllNotRun = AllNotRun && Record.m_outcome == "not_run";
      if (Record.m_outcome == "not_run" &&
          Ran.m_requests.count(Record.m_request) > 0)
        Violations.push_back(
            fmt::format("{} at node {}: not_run, but it ran: {}", Key,
                        Record.m_node, Record.m_body));
      if (!Record.m_complete)
        continue;
      std::string Echo = callBody(Key);
      if (Json::parse(Record.m_body, nullptr, false).value("echo", "") != Echo)
        Violations.push_back(fmt::format("{}: the answer of another call: {}",
                                         Key, Record.m_body));
      if (!Body.empty() && Body != Record.m_body)
        Violations.push_back(fmt::format("{}: answers differ", Key));
      Body = Record.m_body;
    }
    bool HasRun = Ran.m_runsOfKey.count(Key) > 0;
    if (AllNotRun && HasRun)
      Violations.push_back(fmt::format("{}: always not_run, but it ran", Key));
    if (!Body.empty() && !HasRun)
      Violations.push_back(
          fmt::format("{}: answered, but it did not run", Key));
  }
}

void checkChanges(const LiveLoad &Load, Lines &Violations) {
  std::map<std::uint64_t, std::string> Accepted;
  std::map<std::string, ChangeRecord> First;
  for (const ChangeRecord &Record : Load.changes()) {
    auto [Known, New] = First.emplace(Record.m_changeId, Record);
    if (!New && (Known->second.m_result != Record.m_result ||
                 Known->second.m_revision != Record.m_revision ||
                 Known->second.m_detail != Record.m_detail))
      Violations.push_back(
          fmt::format("{}: {} {} first, {} {} on a resend", Record.m_changeId,
                      Known->second.m_result, Known->second.m_revision,
                      Record.m_result, Record.m_revision));
    if (Record.m_result != "accepted")
      continue;
    auto [Winner, Only] = Accepted.emplace(Record.m_base, Record.m_changeId);
    if (!Only && Winner->second != Record.m_changeId)
      Violations.push_back(fmt::format("base {}: {} and {} were both accepted",
                                       Record.m_base, Winner->second,
                                       Record.m_changeId));
    if (Record.m_revision != Record.m_base + 1)
      Violations.push_back(fmt::format("{}: base {}, but revision {}",
                                       Record.m_changeId, Record.m_base,
                                       Record.m_revision));
  }
}

void checkHistories(const LiveLoad &Load, Lines &Violations) {
  std::map<std::uint64_t, std::string> Agreed;
  std::map<std::pair<std::size_t, int>, std::uint64_t> Newest;
  std::vector<ChangeRecord> Changes = Load.changes();
  for (const NodeObservation &Observed : Load.observations()) {
    std::uint64_t Last = 0;
    std::map<std::uint64_t, std::string> Shown;
    for (const Json &Entry : Observed.m_history["entries"]) {
      Last = std::max<std::uint64_t>(Last, Entry["revision"]);
      Shown[Entry["revision"]] = Entry["change_id"];
    }
    for (const auto &[Revision, Change] : Shown) {
      auto [Known, New] = Agreed.emplace(Revision, Change);
      if (!New && Known->second != Change)
        Violations.push_back(fmt::format("revision {} is {} and {}", Revision,
                                         Known->second, Change));
    }
    std::uint64_t Status = Observed.m_status["revision"];
    std::uint64_t &Before = Newest[{Observed.m_node, Observed.m_start}];
    if (Status < Before || Last < Status)
      Violations.push_back(
          fmt::format("node {} went from revision {} to {}, {}",
                      Observed.m_node, Before, Status, Last));
    Before = std::max(Before, Last);
    bool Lease = Observed.m_status["nodes"][0]["lease_valid"];
    for (const ChangeRecord &Record : Changes) {
      if (Record.m_result != "accepted")
        continue;
      if (Record.m_revision <= Last &&
          Shown[Record.m_revision] != Record.m_changeId)
        Violations.push_back(fmt::format("node {} has no {} as revision {}",
                                         Observed.m_node, Record.m_changeId,
                                         Record.m_revision));
      if (Lease && Record.m_answered + ReadLease < Observed.m_asked &&
          Status < Record.m_revision)
        Violations.push_back(fmt::format(
            "node {} holds a lease at revision {} {} after {} was accepted",
            Observed.m_node, Status,
            absl::FormatDuration(Observed.m_asked - Record.m_answered),
            Record.m_revision));
    }
  }
}

void checkReplicas(const LiveLoad &Load, Lines &Violations) {
  std::map<std::string, Instant> Crashes = Load.crashes();
  for (const NodeObservation &Observed : Load.observations()) {
    std::map<std::string, std::string> ReplicaOf;
    for (const Json &Replica : Observed.m_status["replicas"])
      for (const Json &Member : Replica["members"]) {
        auto [Other, Free] = ReplicaOf.emplace(Member, Replica["replica"]);
        if (!Free)
          Violations.push_back(fmt::format(
              "node {}: {} is in {} and {}", Observed.m_node, Other->first,
              Other->second, Replica["replica"].dump()));
        auto Crash = Crashes.find(Member);
        if (Replica["serving"] == true && Crash != Crashes.end() &&
            Observed.m_asked > Crash->second + CrashDetectionLimit)
          Violations.push_back(fmt::format(
              "node {}: {} serves {} after the death of {}", Observed.m_node,
              Replica["replica"].dump(),
              absl::FormatDuration(Observed.m_asked - Crash->second),
              Crash->first));
      }
  }
}

bool revisionsAgree(LiveCluster &Cluster) {
  std::set<std::uint64_t> Revisions;
  for (std::size_t Node = 0; Node < NodeCount; ++Node) {
    if (!Cluster.node(Node).runs())
      continue;
    std::optional<Json> Status = Cluster.get(Node, "/v1/status");
    Revisions.insert(Status ? (*Status)["revision"].get<std::uint64_t>() : 0);
  }
  return Revisions.size() == 1;
}

} // namespace

std::vector<std::string> findContradictions(const LiveCluster &Cluster,
                                            const LiveLoad &Load) {
  Lines Violations;
  TargetRecords Ran = recordsOf(Cluster);
  checkChats(Load, Ran, Violations);
  checkCalls(Load, Ran, Violations);
  checkChanges(Load, Violations);
  checkHistories(Load, Violations);
  checkReplicas(Load, Violations);
  return Violations;
}

void checkScenario(LiveCluster &Cluster, LiveLoad &Load) {
  bool Agree = eventually(LongTimeout, [&] { return Load.answered() > 0; });
  Load.stop();
  Agree =
      eventually(LongTimeout, [&] { return revisionsAgree(Cluster); }) && Agree;
  CHECK(Agree);
  Lines Violations = findContradictions(Cluster, Load);
  for (std::size_t At = 0; At < std::min(Violations.size(), MaxLines); ++At)
    FAIL_CHECK(Violations[At]);
  CHECK(Violations.empty());
  // A run without requests, calls, changes and observations would prove
  // nothing.
  CHECK(Load.answered() > 0);
  CHECK_FALSE(Load.calls().empty());
  CHECK_FALSE(Load.changes().empty());
  CHECK_FALSE(Load.observations().empty());
  if (Agree && Violations.empty())
    Cluster.passed();
}
