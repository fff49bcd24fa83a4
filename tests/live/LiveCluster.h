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
/// Bound on events for which the design states none; a busy machine may be
/// many times slower than an idle one.
inline constexpr absl::Duration PatientLimit = absl::Seconds(30);
/// How long a node that stops still serves new requests.
inline constexpr absl::Duration BalancerNotice = absl::Seconds(4);

extern const char *const CallerKey;
extern const char *const OperatorKey;

/// Polls `Holds` until it is true or `Limit` has passed.
bool eventually(absl::Duration Limit, const std::function<bool()> &Holds);

/// An HTTP client with bounds on connecting and reading.
std::unique_ptr<httplib::Client> clientOf(const std::string &Address,
                                          absl::Duration ReadTimeout);

/// Text of requests that make the stand-in targets fail.
struct FaultText {
  static constexpr const char *EarlyEnd = "please-end-early";
  static constexpr const char *Silent = "please-fall-silent";
  static constexpr const char *Crossed = "please-cross-answers";
  static constexpr const char *Crash = "please-crash";
};

/// Five nodes as child processes (0 to 2 vote), seven model targets in one
/// fabric domain for two replicas of two hosts, and two service targets.
class LiveCluster {
public:
  /// With relays, nodes reach each other through them only.
  explicit LiveCluster(bool WithRelays = false);
  ~LiveCluster();
  LiveCluster(const LiveCluster &) = delete;
  LiveCluster &operator=(const LiveCluster &) = delete;

  /// Waits until all nodes are ready and two replicas serve.
  bool form();
  /// Deletes data and logs at the end; they are kept unless this is called.
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
  /// A document of the operator port; nothing if it did not come.
  std::optional<Json> get(std::size_t Index, const std::string &Path) const;
  /// Index of the node that `From` takes for the leader and that leads with a
  /// valid lease, as far as its own status tells.
  std::optional<std::size_t> leader() const;
  /// Waits for a leader other than `Without` that commits a change.
  std::optional<std::size_t>
  waitForLeader(std::optional<std::size_t> Without = std::nullopt) const;
  /// Serving replicas with their members, by the status of node `Index`.
  std::map<std::string, std::vector<std::string>>
  servingReplicas(std::size_t Index) const;
  /// Cuts node `Index` off from all others, or heals that.
  void isolate(std::size_t Index, bool Cut);

  /// A declaration that differs from others only in the customer's deadline.
  static Json declaration(int DeadlineSeconds);
  /// The answer to a change: HTTP status and body; nothing if it was lost.
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
