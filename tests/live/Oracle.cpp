#include "Oracle.h"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace turmericdyke;

namespace {

constexpr absl::Duration ReadLease = absl::Seconds(3);
/// A dead member ends the service of its replica within this time.
constexpr absl::Duration DeathNoticed = absl::Seconds(3);
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

void checkChats(const LiveLoad &Load, const TargetRecords &Ran, Lines &Bad) {
  for (const CallerRecord &Told : Load.chats()) {
    std::string Expected = expectedAnswer(Told.m_text, Told.m_tokens);
    if (Told.m_whole && Told.m_body != Expected)
      Bad.push_back(fmt::format("{} at node {}: whole, but not its own: {}",
                                Told.m_text, Told.m_node, Told.m_body));
    if (Told.m_whole && Ran.m_finished.count(Told.m_text) == 0)
      Bad.push_back(
          fmt::format("{}: whole, but no target finished it", Told.m_text));
    if (!Told.m_whole && Expected.rfind(Told.m_body, 0) != 0 &&
        Told.m_status == 200)
      Bad.push_back(fmt::format("{} at node {}: parts of another answer: {}",
                                Told.m_text, Told.m_node, Told.m_body));
    if (Told.m_outcome == "not_run" && Ran.m_texts.count(Told.m_text) > 0)
      Bad.push_back(fmt::format("{} at node {}: not_run, but it ran: {}",
                                Told.m_text, Told.m_node, Told.m_body));
  }
}

void checkCalls(const LiveLoad &Load, const TargetRecords &Ran, Lines &Bad) {
  std::map<std::string, std::vector<CallerRecord>> ByKey;
  for (CallerRecord &Told : Load.calls())
    ByKey[Told.m_text].push_back(std::move(Told));
  for (const auto &[Key, Runs] : Ran.m_runsOfKey)
    if (Runs > 1)
      Bad.push_back(fmt::format("{}: ran {} times", Key, Runs));
  for (const auto &[Key, Answers] : ByKey) {
    bool AllNotRun = true;
    std::string Body;
    for (const CallerRecord &Told : Answers) {
      AllNotRun = AllNotRun && Told.m_outcome == "not_run";
      if (Told.m_outcome == "not_run" &&
          Ran.m_requests.count(Told.m_request) > 0)
        Bad.push_back(fmt::format("{} at node {}: not_run, but it ran: {}", Key,
                                  Told.m_node, Told.m_body));
      if (!Told.m_whole)
        continue;
      std::string Echo = callBody(Key);
      if (Json::parse(Told.m_body, nullptr, false).value("echo", "") != Echo)
        Bad.push_back(fmt::format("{}: the answer of another call: {}", Key,
                                  Told.m_body));
      if (!Body.empty() && Body != Told.m_body)
        Bad.push_back(fmt::format("{}: answers differ", Key));
      Body = Told.m_body;
    }
    bool HasRun = Ran.m_runsOfKey.count(Key) > 0;
    if (AllNotRun && HasRun)
      Bad.push_back(fmt::format("{}: always not_run, but it ran", Key));
    if (!Body.empty() && !HasRun)
      Bad.push_back(fmt::format("{}: answered, but it did not run", Key));
  }
}

void checkChanges(const LiveLoad &Load, Lines &Bad) {
  std::map<std::uint64_t, std::string> Accepted;
  std::map<std::string, ChangeRecord> First;
  for (const ChangeRecord &Told : Load.changes()) {
    auto [Known, New] = First.emplace(Told.m_changeId, Told);
    if (!New && (Known->second.m_result != Told.m_result ||
                 Known->second.m_revision != Told.m_revision ||
                 Known->second.m_detail != Told.m_detail))
      Bad.push_back(fmt::format("{}: {} {} first, {} {} on a resend",
                                Told.m_changeId, Known->second.m_result,
                                Known->second.m_revision, Told.m_result,
                                Told.m_revision));
    if (Told.m_result != "accepted")
      continue;
    auto [Winner, Only] = Accepted.emplace(Told.m_base, Told.m_changeId);
    if (!Only && Winner->second != Told.m_changeId)
      Bad.push_back(fmt::format("base {}: {} and {} were both accepted",
                                Told.m_base, Winner->second, Told.m_changeId));
    if (Told.m_revision != Told.m_base + 1)
      Bad.push_back(fmt::format("{}: base {}, but revision {}", Told.m_changeId,
                                Told.m_base, Told.m_revision));
  }
}

void checkHistories(const LiveLoad &Load, Lines &Bad) {
  std::map<std::uint64_t, std::string> Agreed;
  std::map<std::pair<std::size_t, int>, std::uint64_t> Newest;
  std::vector<ChangeRecord> Changes = Load.changes();
  for (const NodeObservation &Seen : Load.observations()) {
    std::uint64_t Last = 0;
    std::map<std::uint64_t, std::string> Shown;
    for (const Json &Entry : Seen.m_history["entries"]) {
      Last = std::max<std::uint64_t>(Last, Entry["revision"]);
      Shown[Entry["revision"]] = Entry["change_id"];
    }
    for (const auto &[Revision, Change] : Shown) {
      auto [Known, New] = Agreed.emplace(Revision, Change);
      if (!New && Known->second != Change)
        Bad.push_back(fmt::format("revision {} is {} and {}", Revision,
                                  Known->second, Change));
    }
    std::uint64_t Status = Seen.m_status["revision"];
    std::uint64_t &Before = Newest[{Seen.m_node, Seen.m_start}];
    if (Status < Before || Last < Status)
      Bad.push_back(fmt::format("node {} went from revision {} to {}, {}",
                                Seen.m_node, Before, Status, Last));
    Before = std::max(Before, Last);
    bool Lease = Seen.m_status["nodes"][0]["lease_valid"];
    for (const ChangeRecord &Told : Changes) {
      if (Told.m_result != "accepted")
        continue;
      if (Told.m_revision <= Last && Shown[Told.m_revision] != Told.m_changeId)
        Bad.push_back(fmt::format("node {} has no {} as revision {}",
                                  Seen.m_node, Told.m_changeId,
                                  Told.m_revision));
      if (Lease && Told.m_answered + ReadLease < Seen.m_asked &&
          Status < Told.m_revision)
        Bad.push_back(fmt::format(
            "node {} holds a lease at revision {} {} after {} was accepted",
            Seen.m_node, Status,
            absl::FormatDuration(Seen.m_asked - Told.m_answered),
            Told.m_revision));
    }
  }
}

void checkReplicas(const LiveLoad &Load, Lines &Bad) {
  std::map<std::string, Instant> Deaths = Load.deaths();
  for (const NodeObservation &Seen : Load.observations()) {
    std::map<std::string, std::string> ReplicaOf;
    for (const Json &Replica : Seen.m_status["replicas"])
      for (const Json &Member : Replica["members"]) {
        auto [Other, Free] = ReplicaOf.emplace(Member, Replica["replica"]);
        if (!Free)
          Bad.push_back(fmt::format("node {}: {} is in {} and {}", Seen.m_node,
                                    Other->first, Other->second,
                                    Replica["replica"].dump()));
        auto Death = Deaths.find(Member);
        if (Replica["serving"] == true && Death != Deaths.end() &&
            Seen.m_asked > Death->second + DeathNoticed)
          Bad.push_back(
              fmt::format("node {}: {} serves {} after the death of {}",
                          Seen.m_node, Replica["replica"].dump(),
                          absl::FormatDuration(Seen.m_asked - Death->second),
                          Death->first));
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

std::vector<std::string> contradictions(const LiveCluster &Cluster,
                                        const LiveLoad &Load) {
  Lines Bad;
  TargetRecords Ran = recordsOf(Cluster);
  checkChats(Load, Ran, Bad);
  checkCalls(Load, Ran, Bad);
  checkChanges(Load, Bad);
  checkHistories(Load, Bad);
  checkReplicas(Load, Bad);
  return Bad;
}

void concludeScenario(LiveCluster &Cluster, LiveLoad &Load) {
  bool Agree = eventually(PatientLimit, [&] { return Load.answered() > 0; });
  Load.stop();
  Agree = eventually(PatientLimit, [&] { return revisionsAgree(Cluster); }) &&
          Agree;
  CHECK(Agree);
  Lines Bad = contradictions(Cluster, Load);
  for (std::size_t At = 0; At < std::min(Bad.size(), MaxLines); ++At)
    FAIL_CHECK(Bad[At]);
  CHECK(Bad.empty());
  // A run without work of each kind would prove nothing.
  CHECK(Load.answered() > 0);
  CHECK_FALSE(Load.calls().empty());
  CHECK_FALSE(Load.changes().empty());
  CHECK_FALSE(Load.observations().empty());
  if (Agree && Bad.empty())
    Cluster.passed();
}
