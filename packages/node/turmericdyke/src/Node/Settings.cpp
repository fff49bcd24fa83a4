#include "turmericdyke/src/Node/Settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "turmericdyke/src/Base/KeyHash.h"
#include "turmericdyke/src/Base/LogLine.h"

DEFINE_string(node, "node-1", "name of this node, unique in the cluster");
DEFINE_string(failure_domain, "domain-1", "failure domain of this node");
DEFINE_string(caller_address, "127.0.0.1:8080",
              "IP:port on which callers connect");
DEFINE_string(target_address, "127.0.0.1:8081",
              "IP:port where targets announce themselves");
DEFINE_string(operator_address, "127.0.0.1:8082",
              "IP:port on which operators connect");
DEFINE_string(peer_address, "127.0.0.1:8083",
              "IP:port on which the other nodes connect");
DEFINE_string(peer_advertised_address, "",
              "IP:port at which the other nodes reach this one; peer_address "
              "if empty");
DEFINE_string(peers, "",
              "the other nodes as NAME=IP:port, separated by commas");
DEFINE_string(initial_voters, "",
              "names of the nodes that vote when the cluster is first formed, "
              "separated by commas");
DEFINE_string(data_dir, "",
              "directory for the durable control state; a node without one "
              "does not vote");
DEFINE_string(cluster_secret_file, "",
              "file with the secret that the nodes share; required with peers");
DEFINE_string(operator_key_hash, "",
              "salted hash of the operators' key; required unless "
              "operator_address is a loopback address");
DEFINE_string(target_key_hash, "",
              "salted hash of the targets' key; if empty, targets need no key");
DEFINE_int32(
    balancer_notice_ms, 2000,
    "how long the load balancer may still send requests after a stop began");
DEFINE_int32(
    drain_limit_s, 600,
    "longest time in seconds that a stop waits for requests in flight");
DEFINE_int32(max_caller_connections, 1024,
             "callers served at a time; each uses one thread");
DEFINE_int32(max_body_bytes, 8 << 20,
             "largest body of a caller's request in bytes");
DEFINE_string(log_level, "info",
              "lowest level that is logged: debug, info, warning or error");

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::size_t MinSecretBytes = 16;
constexpr std::size_t MaxNameBytes = 64;
constexpr std::string_view AnyAddress = "0.0.0.0";

SettingsError error(std::string_view Setting, std::string Message) {
  return {std::string(Setting), std::move(Message)};
}

std::string environmentName(const std::string &Flag) {
  return "TURMERICDYKE_" + absl::AsciiStrToUpper(Flag);
}

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::all_of(Text.begin(), Text.end(), [](char C) {
           return absl::ascii_isalnum(static_cast<unsigned char>(C)) ||
                  C == '-' || C == '_' || C == '.';
         });
}

std::vector<std::string> split(const std::string &Text) {
  return absl::StrSplit(Text, ',', absl::SkipEmpty());
}

/// Reads one group of flags into the settings.
using ReadPart = Result<void, SettingsError> (*)(Settings &);

Result<void, SettingsError> readIdentity(Settings &Read) {
  if (!isName(FLAGS_node))
    return failure(
        error("node", "must be 1 to 64 letters, digits, '-', '_' or '.'"));
  if (!isName(FLAGS_failure_domain))
    return failure(error("failure_domain",
                         "must be 1 to 64 letters, digits, '-', '_' or '.'"));
  Read.m_node = NodeId(FLAGS_node);
  Read.m_failureDomain = FailureDomainId(FLAGS_failure_domain);
  return success();
}

Result<void, SettingsError> readAddresses(Settings &Read) {
  struct Entry {
    const char *m_setting;
    const std::string &m_text;
    ListenAddress Settings::*m_member;
  };
  const Entry Entries[] = {
      {"caller_address", FLAGS_caller_address, &Settings::m_callerAddress},
      {"target_address", FLAGS_target_address, &Settings::m_targetAddress},
      {"operator_address", FLAGS_operator_address,
       &Settings::m_operatorAddress},
      {"peer_address", FLAGS_peer_address, &Settings::m_peerAddress}};
  std::set<std::string> Seen;
  for (const Entry &Address : Entries) {
    Result<ListenAddress, SettingsError> Parsed =
        parseAddress(Address.m_setting, Address.m_text);
    if (!Parsed)
      return failure(Parsed.error());
    if (Parsed.value().m_port != 0 &&
        !Seen.insert(Parsed.value().text()).second)
      return failure(error(Address.m_setting,
                           "is already used for another port of this node"));
    Read.*Address.m_member = Parsed.value();
  }
  if (FLAGS_peer_advertised_address.empty())
    return success();
  Result<ListenAddress, SettingsError> Advertised =
      parseAddress("peer_advertised_address", FLAGS_peer_advertised_address);
  if (!Advertised)
    return failure(Advertised.error());
  if (Advertised.value().m_port == 0 || Advertised.value().m_host == AnyAddress)
    return failure(error("peer_advertised_address",
                         "must be an address that other nodes can reach"));
  Read.m_peerAdvertisedAddress = FLAGS_peer_advertised_address;
  return success();
}

Result<void, SettingsError> readPeers(Settings &Read) {
  // Connected nodes use the advertised address from then on.
  if (!FLAGS_peers.empty() && Read.m_peerAdvertisedAddress.empty() &&
      Read.m_peerAddress.m_host == AnyAddress)
    return failure(error("peer_advertised_address",
                         "is required if peer_address is 0.0.0.0"));
  for (const std::string &Entry : split(FLAGS_peers)) {
    std::vector<std::string> Parts = absl::StrSplit(Entry, '=');
    if (Parts.size() != 2 || !isName(Parts[0]))
      return failure(
          error("peers", fmt::format("'{}' is not NAME=IP:port", Entry)));
    Result<ListenAddress, SettingsError> Address =
        parseAddress("peers", Parts[1]);
    if (!Address)
      return failure(Address.error());
    if (NodeId(Parts[0]) == Read.m_node)
      return failure(error("peers", "contains this node itself"));
    if (!Read.m_peers.emplace(NodeId(Parts[0]), Parts[1]).second)
      return failure(
          error("peers", fmt::format("contains '{}' twice", Parts[0])));
  }
  return success();
}

Result<void, SettingsError> readVoters(Settings &Read) {
  Read.m_dataDirectory = FLAGS_data_dir;
  for (const std::string &Name : split(FLAGS_initial_voters)) {
    NodeId Voter(Name);
    if (Voter != Read.m_node && Read.m_peers.count(Voter) == 0)
      return failure(
          error("initial_voters",
                fmt::format("'{}' is neither this node nor a peer", Name)));
    Read.m_initialVoters.push_back(Voter);
  }
  if (Read.isSingleNode()) {
    Read.m_initialVoters = {Read.m_node};
    return success();
  }
  if (Read.m_initialVoters.empty())
    return failure(error("initial_voters", "is required if peers is set"));
  if (Read.m_initialVoters.size() % 2 == 0)
    return failure(error("initial_voters", "must be an odd number of nodes"));
  bool Votes =
      std::find(Read.m_initialVoters.begin(), Read.m_initialVoters.end(),
                Read.m_node) != Read.m_initialVoters.end();
  if (Votes && Read.m_dataDirectory.empty())
    return failure(error("data_dir", "is required on an initial voter"));
  return success();
}

Result<void, SettingsError> readSecrets(Settings &Read) {
  if (!FLAGS_cluster_secret_file.empty()) {
    std::ifstream File(FLAGS_cluster_secret_file);
    std::stringstream Text;
    Text << File.rdbuf();
    Read.m_clusterSecret = std::string(absl::StripAsciiWhitespace(Text.str()));
    if (!File)
      return failure(error("cluster_secret_file", "cannot be read"));
  }
  if (!Read.isSingleNode() && Read.m_clusterSecret.size() < MinSecretBytes)
    return failure(
        error("cluster_secret_file",
              "must contain a secret of at least 16 bytes if peers is set"));
  if (!FLAGS_operator_key_hash.empty() &&
      !KeyHash::parse(FLAGS_operator_key_hash))
    return failure(
        error("operator_key_hash", "must have the form sha256:SALT:DIGEST"));
  if (!FLAGS_target_key_hash.empty() && !KeyHash::parse(FLAGS_target_key_hash))
    return failure(
        error("target_key_hash", "must have the form sha256:SALT:DIGEST"));
  if (FLAGS_operator_key_hash.empty() &&
      Read.m_operatorAddress.m_host.rfind("127.", 0) != 0)
    return failure(
        error("operator_key_hash",
              "is required unless operator_address is a loopback address"));
  Read.m_operatorKeyHash = FLAGS_operator_key_hash;
  Read.m_targetKeyHash = FLAGS_target_key_hash;
  return success();
}

Result<void, SettingsError> readLimits(Settings &Read) {
  if (FLAGS_balancer_notice_ms < 0 || FLAGS_balancer_notice_ms > 600000)
    return failure(error("balancer_notice_ms", "must be between 0 and 600000"));
  if (FLAGS_drain_limit_s < 1 || FLAGS_drain_limit_s > 86400)
    return failure(error("drain_limit_s", "must be between 1 and 86400"));
  if (absl::Milliseconds(FLAGS_balancer_notice_ms) >
      absl::Seconds(FLAGS_drain_limit_s))
    return failure(
        error("drain_limit_s", "must not be shorter than balancer_notice_ms"));
  if (FLAGS_max_caller_connections < 1 || FLAGS_max_caller_connections > 16384)
    return failure(
        error("max_caller_connections", "must be between 1 and 16384"));
  if (FLAGS_max_body_bytes < 1024 || FLAGS_max_body_bytes > 256 << 20)
    return failure(
        error("max_body_bytes", "must be between 1024 and 268435456"));
  Read.m_balancerNotice = absl::Milliseconds(FLAGS_balancer_notice_ms);
  Read.m_drainLimit = absl::Seconds(FLAGS_drain_limit_s);
  Read.m_maxCallerConnections =
      static_cast<std::size_t>(FLAGS_max_caller_connections);
  Read.m_maxBodyBytes = static_cast<std::size_t>(FLAGS_max_body_bytes);
  return success();
}

Result<void, SettingsError> readLogLevel(Settings &) {
  constexpr std::string_view Names[] = {"debug", "info", "warning", "error"};
  const auto *Found =
      std::find(std::begin(Names), std::end(Names), FLAGS_log_level);
  if (Found == std::end(Names))
    return failure(error("log_level", "must be debug, info, warning or error"));
  setLogLevel(static_cast<LogLevel>(Found - std::begin(Names)));
  return success();
}

} // namespace
} // namespace internal

std::string ListenAddress::text() const {
  return fmt::format("{}:{}", m_host, m_port);
}

Result<void, SettingsError> readEnvironment() {
  std::vector<gflags::CommandLineFlagInfo> Flags;
  gflags::GetAllFlags(&Flags);
  for (const gflags::CommandLineFlagInfo &Flag : Flags) {
    const char *Value =
        std::getenv(internal::environmentName(Flag.name).c_str());
    if (Value == nullptr)
      continue;
    if (gflags::SetCommandLineOption(Flag.name.c_str(), Value).empty())
      return failure(
          internal::error(internal::environmentName(Flag.name),
                          fmt::format("'{}' is not a valid value", Value)));
  }
  return success();
}

Result<ListenAddress, SettingsError> parseAddress(std::string_view Setting,
                                                  std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return failure(internal::error(Setting, "must have the form IP:port"));
  ListenAddress Address;
  Address.m_host = std::string(Text.substr(0, Colon));
  in_addr Number{};
  if (inet_pton(AF_INET, Address.m_host.c_str(), &Number) != 1)
    return failure(internal::error(Setting, "must begin with an IPv4 address"));
  std::string Port(Text.substr(Colon + 1));
  if (!absl::SimpleAtoi(Port, &Address.m_port) || Address.m_port < 0 ||
      Address.m_port > 65535)
    return failure(
        internal::error(Setting, "must end with a port between 0 and 65535"));
  return Address;
}

Result<Settings, SettingsError> parseSettings() {
  constexpr internal::ReadPart Parts[] = {
      &internal::readIdentity, &internal::readAddresses, &internal::readPeers,
      &internal::readVoters,   &internal::readSecrets,   &internal::readLimits,
      &internal::readLogLevel};
  Settings Read;
  for (internal::ReadPart Part : Parts) {
    Result<void, SettingsError> Done = Part(Read);
    if (!Done)
      return failure(Done.error());
  }
  return Read;
}

} // namespace turmericdyke
