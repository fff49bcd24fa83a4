#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "LiveCluster.h"
#include "absl/synchronization/mutex.h"
#include "turmericdyke/Base"

/// The reply to one request or call of a caller.
struct CallerRecord {
  /// The unique text of the request; for calls, the idempotency key.
  std::string m_text;
  /// The request identifier in the answer; empty if there was none.
  std::string m_request;
  std::size_t m_node = 0;
  /// Whether the complete answer arrived.
  bool m_complete = false;
  /// The outcome of a refusal or failure: `not_run`, `may_have_run` or `ran`.
  /// Empty if the answer is complete or the connection broke.
  std::string m_outcome;
  /// The tokens of a stream, or the body of an answer.
  std::string m_body;
  int m_status = 0;
  /// Number of requested tokens.
  int m_tokens = 0;
  turmericdyke::Instant m_sent;
};

/// The reply to an operator who sent a change.
struct ChangeRecord {
  std::string m_changeId;
  std::uint64_t m_base = 0;
  /// `accepted` or `conflict`.
  std::string m_result;
  /// For a conflict, the identifier of the change that won.
  std::string m_detail;
  std::uint64_t m_revision = 0;
  turmericdyke::Instant m_answered;
};

/// What a node's operator port reported at one time.
struct NodeObservation {
  std::size_t m_node = 0;
  /// Counts the starts of the node.
  int m_start = 0;
  turmericdyke::Instant m_asked;
  Json m_status;
  Json m_history;
};

/// Sends one streamed chat request and reads the complete answer.
CallerRecord sendChat(const LiveCluster &Cluster, std::size_t Node,
                      const std::string &Text, int Tokens,
                      absl::Duration Timeout = absl::Seconds(15));

/// Sends the once-only call with the idempotency key `Key` and the body
/// `callBody(Key)`.
CallerRecord sendCall(const LiveCluster &Cluster, std::size_t Node,
                      const std::string &Key);
std::string callBody(const std::string &Key);

/// Returns the complete answer of a target to `Text`.
std::string expectedAnswer(const std::string &Text, int Tokens);

/// Background threads that act as callers and operators and poll all nodes.
/// They record all replies for the oracle.
class LiveLoad {
public:
  explicit LiveLoad(const LiveCluster &Cluster);
  ~LiveLoad();
  LiveLoad(const LiveLoad &) = delete;
  LiveLoad &operator=(const LiveLoad &) = delete;

  /// Stops all threads; afterwards the records are complete.
  void stop();
  /// Records a restart. A restarted node may begin with an empty state.
  void recordStart(std::size_t Node) { ++m_starts[Node]; }
  void recordCrash(const std::string &Target);
  void addChat(CallerRecord Record);
  void addCall(CallerRecord Record);
  /// Sends the change until its outcome is known, sends it again through
  /// another node, and records both outcomes.
  void resolveChange(const std::string &ChangeId, std::uint64_t Base,
                     int DeadlineSeconds, std::size_t FirstNode);
  /// Number of completely answered chat requests so far.
  std::size_t answered() const;

  std::vector<CallerRecord> chats() const;
  std::vector<CallerRecord> calls() const;
  std::vector<ChangeRecord> changes() const;
  std::vector<NodeObservation> observations() const;
  std::map<std::string, turmericdyke::Instant> crashes() const;

  static constexpr int ChatTokens = 10;

private:
  void runChats(int Thread);
  void runCalls(int Thread);
  void runOperator();
  void pollNode(std::size_t Node);

  const LiveCluster &m_cluster;
  std::atomic<bool> m_stop{false};
  std::atomic<int> m_starts[NodeCount] = {};
  mutable absl::Mutex m_lock;
  std::vector<CallerRecord> m_chats ABSL_GUARDED_BY(m_lock);
  std::vector<CallerRecord> m_calls ABSL_GUARDED_BY(m_lock);
  std::vector<ChangeRecord> m_changes ABSL_GUARDED_BY(m_lock);
  std::vector<NodeObservation> m_observations ABSL_GUARDED_BY(m_lock);
  std::map<std::string, turmericdyke::Instant>
      m_crashes ABSL_GUARDED_BY(m_lock);
  std::vector<std::thread> m_threads;
};
