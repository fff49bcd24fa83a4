#include "LiveCluster.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <fmt/format.h>

#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "turmericdyke/Base"

using namespace turmericdyke;

const char *const CallerKey = "live-caller-key-0123456789";
const char *const OperatorKey = "live-operator-key-0123456789";

namespace {

constexpr absl::Duration PollInterval = absl::Milliseconds(50);
constexpr absl::Duration OperatorTimeout = absl::Seconds(2);
constexpr absl::Duration ChangeTimeout = absl::Seconds(7);
/// Long enough that a node can be killed during a call.
constexpr absl::Duration ServiceTime = absl::Milliseconds(300);
constexpr const char *TargetKey = "live-target-key-0123456789";
constexpr const char *Salt = "0123456789abcdef";
constexpr std::size_t PortsPerNode = 4;

enum PortKind : std::size_t { Caller, Target, Operator, Peer };

std::string temporaryDirectory() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "turmericdyke-live-XXXXXX")
          .string();
  if (mkdtemp(Pattern.data()) == nullptr)
    std::abort();
  return Pattern;
}

httplib::Headers operatorHeaders() {
  return {{"Authorization", fmt::format("Bearer {}", OperatorKey)}};
}

} // namespace

bool eventually(absl::Duration Limit, const std::function<bool()> &Holds) {
  Instant Until = monotonicNow() + Limit;
  while (!Holds()) {
    if (monotonicNow() >= Until)
      return false;
    absl::SleepFor(PollInterval);
  }
  return true;
}

std::unique_ptr<httplib::Client> clientOf(const std::string &Address,
                                          absl::Duration ReadTimeout) {
  auto Client = std::make_unique<httplib::Client>("http://" + Address);
  Client->set_connection_timeout(std::chrono::seconds(2));
  Client->set_read_timeout(absl::ToChronoMilliseconds(ReadTimeout));
  return Client;
}

LiveCluster::LiveCluster(bool WithRelays) : m_directory(temporaryDirectory()) {
  for (std::size_t Index = 0; Index < NodeCount * PortsPerNode; ++Index)
    m_ports.push_back(std::make_unique<ReservedPort>());
  auto Address = [this](std::size_t Node, PortKind Kind) {
    return m_ports[Node * PortsPerNode + Kind]->address();
  };
  for (std::size_t Index = 0; WithRelays && Index < NodeCount; ++Index)
    m_relays.push_back(std::make_unique<Relay>(Address(Index, Peer)));
  std::string Secret = m_directory + "/secret";
  std::ofstream(Secret) << "live-cluster-secret-0123456789\n";
  std::vector<std::string> Voters;
  for (std::size_t Index = 0; Index < VoterCount; ++Index)
    Voters.push_back(name(Index));
  for (std::size_t Index = 0; Index < NodeCount; ++Index) {
    std::vector<std::string> Peers;
    for (std::size_t Other = 0; Other < NodeCount; ++Other) {
      if (Other == Index)
        continue;
      std::string To =
          WithRelays ? m_relays[Other]->address() : Address(Other, Peer);
      Peers.push_back(fmt::format("{}={}", name(Other), To));
    }
    std::vector<std::string> Arguments = {
        "--node=" + name(Index),
        fmt::format("--failure_domain=domain-{}", Index % VoterCount),
        "--caller_address=" + Address(Index, Caller),
        "--target_address=" + Address(Index, Target),
        "--operator_address=" + Address(Index, Operator),
        "--peer_address=" + Address(Index, Peer),
        "--peers=" + absl::StrJoin(Peers, ","),
        "--initial_voters=" + absl::StrJoin(Voters, ","),
        "--cluster_secret_file=" + Secret,
        "--operator_key_hash=" + KeyHash::make(OperatorKey, Salt).text(),
        "--target_key_hash=" + KeyHash::make(TargetKey, Salt).text(),
        fmt::format("--balancer_notice_ms={}",
                    absl::ToInt64Milliseconds(BalancerNotice))};
    if (WithRelays)
      Arguments.push_back("--peer_advertised_address=" +
                          m_relays[Index]->address());
    if (Index < VoterCount)
      Arguments.push_back("--data_dir=" + dataDirectory(Index));
    m_nodes.push_back(std::make_unique<NodeProcess>(
        std::move(Arguments),
        fmt::format("{}/{}.log", m_directory, name(Index))));
  }
  for (auto &Node : m_nodes)
    Node->start();
  startTargets();
}

LiveCluster::~LiveCluster() {
  m_targets.clear();
  for (auto &Node : m_nodes)
    Node->kill();
  if (m_passed)
    std::filesystem::remove_all(m_directory);
  else
    fmt::print(stderr, "live test: logs and data are kept in {}\n",
               m_directory);
}

void LiveCluster::startTargets() {
  for (std::size_t Index = 0; Index < ModelTargetCount + ServiceTargetCount;
       ++Index) {
    bool Model = Index < ModelTargetCount;
    StandInOptions Options;
    Options.m_target =
        TargetId(fmt::format("{}-{}", Model ? "model" : "service", Index));
    Options.m_host = HostId(fmt::format("host-{}", Index));
    Options.m_fabricDomain = FabricDomainId("fabric-1");
    Options.m_failureDomain = FailureDomainId("domain-0");
    Options.m_kind = Model ? TargetKind::Model : TargetKind::Service;
    if (!Model) {
      Options.m_service = ServiceId("booking");
      Options.m_tokenInterval = ServiceTime;
    }
    for (std::size_t Node = 0; Node < NodeCount; ++Node)
      Options.m_nodes.push_back(
          m_ports[(Node + Index) % NodeCount * PortsPerNode + Target]
              ->address());
    Options.m_targetKey = TargetKey;
    Options.m_earlyEndText = FaultText::EarlyEnd;
    Options.m_stallText = FaultText::Stall;
    Options.m_wrongAttemptText = FaultText::WrongAttempt;
    Options.m_crashText = FaultText::Crash;
    Options.m_exitOnCrash = false;
    Options.m_echo = true;
    m_targets.push_back(std::make_unique<StandInTarget>(std::move(Options)));
  }
}

bool LiveCluster::form() {
  if (!waitForLeader())
    return false;
  return eventually(LongTimeout, [this] {
    for (std::size_t Index = 0; Index < NodeCount; ++Index)
      if (!ready(Index) || servingReplicas(Index).size() < 2)
        return false;
    return true;
  });
}

std::string LiveCluster::name(std::size_t Index) const {
  return fmt::format("node-{}", Index);
}

std::string LiveCluster::callerAddress(std::size_t Index) const {
  return m_ports[Index * PortsPerNode + Caller]->address();
}

std::string LiveCluster::operatorAddress(std::size_t Index) const {
  return m_ports[Index * PortsPerNode + Operator]->address();
}

std::string LiveCluster::dataDirectory(std::size_t Index) const {
  return fmt::format("{}/data-{}", m_directory, Index);
}

StandInTarget &LiveCluster::target(const std::string &Name) {
  for (auto &Each : m_targets)
    if (Each->announcement().m_target.str() == Name)
      return *Each;
  std::abort();
}

bool LiveCluster::ready(std::size_t Index) const {
  httplib::Result Answer =
      clientOf(callerAddress(Index), OperatorTimeout)->Get("/readyz");
  return Answer && Answer->status == 200;
}

std::optional<Json> LiveCluster::get(std::size_t Index,
                                     const std::string &Path) const {
  httplib::Result Answer = clientOf(operatorAddress(Index), OperatorTimeout)
                               ->Get(Path, operatorHeaders());
  if (!Answer || Answer->status != 200)
    return std::nullopt;
  Json Body = Json::parse(Answer->body, nullptr, false);
  if (!Body.is_object())
    return std::nullopt;
  return Body;
}

std::optional<std::size_t> LiveCluster::leader() const {
  for (std::size_t Index = 0; Index < VoterCount; ++Index) {
    if (!m_nodes[Index]->runs())
      continue;
    std::optional<Json> Status = get(Index, "/v1/status");
    if (Status && (*Status)["leader"] == name(Index) &&
        (*Status)["nodes"][0]["lease_valid"] == true)
      return Index;
  }
  return std::nullopt;
}

std::optional<std::size_t>
LiveCluster::waitForLeader(std::optional<std::size_t> Without) const {
  static int Changes = 0;
  std::optional<std::size_t> Found;
  eventually(LongTimeout, [&] {
    std::optional<std::size_t> Now = leader();
    if (!Now || Now == Without)
      return false;
    std::optional<Json> Declared = get(*Now, "/v1/declaration");
    if (!Declared)
      return false;
    auto Answer = change(*Now, fmt::format("probe-{}", ++Changes),
                         (*Declared)["revision"], 60);
    if (Answer && Answer->first == 200)
      Found = Now;
    return Found.has_value();
  });
  return Found;
}

std::map<std::string, std::vector<std::string>>
LiveCluster::servingReplicas(std::size_t Index) const {
  std::map<std::string, std::vector<std::string>> Serving;
  std::optional<Json> Status = get(Index, "/v1/status");
  if (!Status)
    return Serving;
  for (const Json &Replica : (*Status)["replicas"])
    if (Replica["serving"] == true)
      Serving[Replica["replica"]] =
          Replica["members"].get<std::vector<std::string>>();
  return Serving;
}

void LiveCluster::isolate(std::size_t Index, bool Cut) {
  constexpr unsigned All = (1U << NodeCount) - 1;
  for (std::size_t Other = 0; Other < m_relays.size(); ++Other)
    m_relays[Other]->cut(!Cut ? 0 : Other == Index ? All : 1U << Index);
}

Json LiveCluster::declaration(int DeadlineSeconds) {
  Json Book = {
      {"method", "POST"}, {"path", "/bookings"}, {"repeatable", false}};
  Json Customer = {
      {"template", "chat"},
      {"capacity", 16},
      {"capacity_limit", 16},
      {"first_token_deadline", "10s"},
      {"deadline", fmt::format("{}s", DeadlineSeconds)},
      {"services", Json::array({"booking"})},
      {"key_hashes", Json::array({KeyHash::make(CallerKey, Salt).text()})}};
  return {
      {"templates",
       {{"chat",
         {{"model", "assistant-70b"},
          {"version", "3"},
          {"hosts_per_replica", 2},
          {"slots_per_replica", 8}}}}},
      {"services",
       {{"booking", {{"deadline", "10s"}, {"operations", {{"book", Book}}}}}}},
      {"customers", {{"acme", Customer}}}};
}

std::optional<std::pair<int, Json>>
LiveCluster::change(std::size_t Index, const std::string &ChangeId,
                    std::uint64_t Base, int DeadlineSeconds) const {
  Json Body = {{"change_id", ChangeId},
               {"base_revision", Base},
               {"author", "live-test"},
               {"declaration", declaration(DeadlineSeconds)}};
  httplib::Result Answer = clientOf(operatorAddress(Index), ChangeTimeout)
                               ->Post("/v1/declaration", operatorHeaders(),
                                      Body.dump(), "application/json");
  if (!Answer)
    return std::nullopt;
  return std::pair(Answer->status, Json::parse(Answer->body, nullptr, false));
}
