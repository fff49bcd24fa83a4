#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "SimNode.h"
#include "SimTarget.h"
#include "turmericdyke/Requests"

namespace turmericdyke::fuzz {

using SimNodes = std::vector<std::unique_ptr<SimNode>>;

/// Checks the invariants of the design against what happens in the simulation.
/// Keeps the first violation.
class Oracle {
public:
  Oracle(const SimNodes &Nodes, const std::vector<SimTarget> &Targets)
      : m_nodes(Nodes), m_targets(Targets) {}

  void nodeStarted(std::size_t Node) { m_checked.erase(Node); }
  void viewPublished(Instant Now, std::size_t Node);
  /// At most one node holds the leader lease at any time.
  void checkLeaders(Instant Now);
  /// A node sends work to a target; `Members` are all targets of the replica.
  void workStarted(Instant Now, std::size_t Node, const ClusterView &View,
                   const std::vector<std::size_t> &Members);
  /// A target runs an attempt. `Key` is empty for repeatable requests.
  void attemptRan(const AttemptId &Attempt, const std::string &Key);
  void attemptEnded(const AttemptId &Attempt, Outcome Known,
                    const std::string &Answer, const std::string &Whole);
  /// A caller was told that the call with this key was not run.
  void keyNotRun(const std::string &Key);
  void changeDone(const ApplyDeclaration &Change, const Completion &Done);
  void orderFollowed(SimTarget &Target, const Order &Followed);

  /// Returns why the cluster is not healthy, or an empty string if it is.
  std::string unhealthy(Instant Now, const std::set<TargetId> &HeldDown) const;

  void fail(std::string Message) {
    if (m_failure.empty())
      m_failure = std::move(Message);
  }
  const std::string &failure() const { return m_failure; }
  /// How often each check was made, to show that all checks were reached.
  std::map<std::string, std::int64_t> m_counts;

private:
  struct Accepted {
    std::uint64_t m_revision = 0;
    std::uint64_t m_index = 0;
  };
  struct Checked {
    std::uint64_t m_index = 0;
    std::uint64_t m_revision = 0;
  };
  void checkHosts(const ControlState &State);
  void checkHistory(const ControlState &State);
  void checkReplica(Instant Now, const ControlState &State,
                    const ServingReplica &Serving);
  std::size_t indexOf(const TargetId &Target) const;

  const SimNodes &m_nodes;
  const std::vector<SimTarget> &m_targets;
  std::map<std::size_t, Checked> m_checked;
  std::map<std::uint64_t, Instant> m_committedBy;
  std::map<std::string, Accepted> m_accepted;
  std::set<AttemptId> m_ran, m_notRun;
  std::map<std::string, int> m_keyRuns;
  std::set<std::string> m_keysNotRun;
  std::string m_failure;
};

} // namespace turmericdyke::fuzz
