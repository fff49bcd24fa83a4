#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "LiveCluster.h"
#include "absl/synchronization/mutex.h"
#include "turmericdyke/Base"

/// What a caller was told about one request or call.
struct CallerRecord {
  /// Text of the request, unique to it; for calls the idempotency key.
  std::string m_text;
  /// As the answer names it; empty if there was no answer.
  std::string m_request;
  std::size_t m_node = 0;
  /// Whether the whole answer came.
  bool m_whole = false;
  /// `not_run`, `may_have_run` or `ran` of a refusal or failure; empty if the
  /// answer is whole or the connection broke.
  std::string m_outcome;
  /// Tokens of a stream, or the body of an answer.
  std::string m_body;
  int m_status = 0;
  /// Tokens asked for.
  int m_tokens = 0;
  turmericdyke::Instant m_sent;
};

/// What an operator was told about one send of a change.
struct ChangeRecord {
  std::string m_changeId;
  std::uint64_t m_base = 0;
  /// `accepted` or `conflict`.
  std::string m_result;
  /// Revision of an accepted change; the winner's identifier otherwise.
  std::string m_detail;
  std::uint64_t m_revision = 0;
  turmericdyke::Instant m_answered;
};

/// What a node's operator port showed at one time.
struct NodeObservation {
  std::size_t m_node = 0;
  /// Grows with each start of the node.
  int m_start = 0;
  turmericdyke::Instant m_asked;
  Json m_status;
  Json m_history;
};

/// Sends one streamed chat request and reads the answer to its end.
CallerRecord sendChat(const LiveCluster &Cluster, std::size_t Node,
                      const std::string &Text, int Tokens,
                      absl::Duration Timeout = absl::Seconds(15));

/// Makes the once-only call with the idempotency key `Key`; its body is
/// `callBody(Key)`.
CallerRecord sendCall(const LiveCluster &Cluster, std::size_t Node,
                      const std::string &Key);
std::string callBody(const std::string &Key);

/// The whole text that a target answers to `Text`.
std::string expectedAnswer(const std::string &Text, int Tokens);

/// Background callers, operators and an observer of all nodes. They record
/// what they were told, for the oracle.
class LiveLoad {
public:
  explicit LiveLoad(const LiveCluster &Cluster);
  ~LiveLoad();
  LiveLoad(const LiveLoad &) = delete;
  LiveLoad &operator=(const LiveLoad &) = delete;

  /// Ends all threads; the records are complete afterwards.
  void stop();
  /// A node that was started again begins with an empty state.
  void noteStart(std::size_t Node) { ++m_starts[Node]; }
  void noteDeath(const std::string &Target);
  void addChat(CallerRecord Record);
  void addCall(CallerRecord Record);
  /// Sends the change until one node gives its outcome, and records it.
  void settleChange(const std::string &ChangeId, std::uint64_t Base,
                    int DeadlineSeconds, std::size_t FirstNode);
  /// Chat requests answered whole so far.
  std::size_t answered() const;

  std::vector<CallerRecord> chats() const;
  std::vector<CallerRecord> calls() const;
  std::vector<ChangeRecord> changes() const;
  std::vector<NodeObservation> observations() const;
  std::map<std::string, turmericdyke::Instant> deaths() const;

  static constexpr int ChatTokens = 10;

private:
  void chat(int Thread);
  void call(int Thread);
  void operate();
  void observe(std::size_t Node);

  const LiveCluster &m_cluster;
  std::atomic<bool> m_stop{false};
  std::atomic<int> m_starts[NodeCount] = {};
  mutable absl::Mutex m_lock;
  std::vector<CallerRecord> m_chats ABSL_GUARDED_BY(m_lock);
  std::vector<CallerRecord> m_calls ABSL_GUARDED_BY(m_lock);
  std::vector<ChangeRecord> m_changes ABSL_GUARDED_BY(m_lock);
  std::vector<NodeObservation> m_observations ABSL_GUARDED_BY(m_lock);
  std::map<std::string, turmericdyke::Instant> m_deaths ABSL_GUARDED_BY(m_lock);
  std::vector<std::thread> m_threads;
};
