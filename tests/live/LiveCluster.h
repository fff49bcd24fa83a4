#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "NodeProcess.h"
#include "Relay.h"
#include "turmericdyke/StandIn"

using Json = nlohmann::json;

inline constexpr std::size_t NodeCount = 5;
inline constexpr std::size_t VoterCount = 3;
inline constexpr std::size_t ModelTargetCount = 7;
inline constexpr std::size_t ServiceTargetCount = 2;
/// Timeout for events for which the design states no limit. A busy machine may
/// be many times slower than an idle one.
inline constexpr absl::Duration LongTimeout = absl::Seconds(30);
/// How long a stopping node still serves new requests.
inline constexpr absl::Duration BalancerNotice = absl::Seconds(4);

extern const char *const CallerKey;
extern const char *const OperatorKey;

/// Polls `Holds` until it returns true or `Limit` has elapsed. Returns whether
/// it did.
bool eventually(absl::Duration Limit, const std::function<bool()> &Holds);

/// Creates an HTTP client with connect and read timeouts.
std::unique_ptr<httplib::Client> clientOf(const std::string &Address,
                                          absl::Duration ReadTimeout);

/// Request texts that make the stand-in targets fail.
struct FaultText {
  static constexpr const char *EarlyEnd = "please-end-early";
  static constexpr const char *Stall = "please-fall-silent";
  static constexpr const char *WrongAttempt = "please-cross-answers";
  static constexpr const char *Crash = "please-crash";
};

/// Five nodes as child processes (0 to 2 are voters), seven model targets in
/// one fabric domain for two replicas of two hosts each, and two service
/// targets.
class LiveCluster {
public:
  /// With relays, nodes connect to each other only through them.
  explicit LiveCluster(bool WithRelays = false);
  ~LiveCluster();
  LiveCluster(const LiveCluster &) = delete;
  LiveCluster &operator=(const LiveCluster &) = delete;

  /// Waits until all nodes are ready and two replicas serve.
  bool form();
  /// Marks the test as passed. Data and logs are deleted at the end only then.
  void passed() { m_passed = true; }

  NodeProcess &node(std::size_t Index) { return *m_nodes[Index]; }
  std::string name(std::size_t Index) const;
  std::string callerAddress(std::size_t Index) const;
  std::string operatorAddress(std::size_t Index) const;
  std::string dataDirectory(std::size_t Index) const;
  turmericdyke::StandInTarget &target(const std::string &Name);
  const std::vector<std::unique_ptr<turmericdyke::StandInTarget>> &
  targets() const {
    return m_targets;
  }

  bool ready(std::size_t Index) const;
  /// Fetches a document from the operator port; empty if that failed.
  std::optional<Json> get(std::size_t Index, const std::string &Path) const;
  /// Returns the index of the voter that reports itself as leader with a valid
  /// lease, if there is one.
  std::optional<std::size_t> leader() const;
  /// Waits for a leader other than `Without` that can commit a change.
  std::optional<std::size_t>
  waitForLeader(std::optional<std::size_t> Without = std::nullopt) const;
  /// Returns the serving replicas with their members, according to the status
  /// of node `Index`.
  std::map<std::string, std::vector<std::string>>
  servingReplicas(std::size_t Index) const;
  /// Isolates node `Index` from all others, or ends the isolation.
  void isolate(std::size_t Index, bool Cut);

  /// Returns a declaration in which only the customer's deadline varies.
  static Json declaration(int DeadlineSeconds);
  /// Sends a change. Returns the HTTP status and body; empty if the answer was
  /// lost.
  std::optional<std::pair<int, Json>> change(std::size_t Index,
                                             const std::string &ChangeId,
                                             std::uint64_t Base,
                                             int DeadlineSeconds) const;

private:
  void startTargets();

  std::string m_directory;
  std::vector<std::unique_ptr<ReservedPort>> m_ports;
  /// In front of the peer port of each node; empty without relays.
  std::vector<std::unique_ptr<Relay>> m_relays;
  std::vector<std::unique_ptr<NodeProcess>> m_nodes;
  std::vector<std::unique_ptr<turmericdyke::StandInTarget>> m_targets;
  bool m_passed = false;
};
