#include "turmericdyke/src/Coordinator/CoordinatorNode.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Coordinator/DepartureRecords.h"
#include "turmericdyke/src/Feed/FeedFollower.h"
#include "turmericdyke/src/Http/ServerExchange.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Departures that arrive within this time share an entry of the log, which
/// each voter syncs once. Servers are taken away many at a time.
constexpr absl::Duration DepartureBatchDelay = absl::Milliseconds(10);
/// More departures than one command may hold are split.
constexpr std::ptrdiff_t MaxDeparturesPerCommand = 1024;
/// A server waits a second for the answer.
constexpr absl::Duration MaxDeliveryWait = absl::Milliseconds(700);
/// Interval at which the waits for entry nodes are looked at. A look at each
/// request of such a node would cost more, as many confirm at the same time.
constexpr absl::Duration DeliveryCheckInterval = absl::Milliseconds(10);
/// Entry nodes that have not heard from a leader for longer hold no targets
/// that they may use. Log time advances every 10 s.
constexpr absl::Duration RecentDeparture = absl::Minutes(1);

} // namespace
} // namespace internal

void CoordinatorNode::handle(const std::shared_ptr<ServerExchange> &Exchange,
                             const WithdrawCall &Call) {
  if (!leads() || m_stopping)
    return redirect(*Exchange);
  const ServerRecord *Server = m_servers.find(Call.m_id);
  LogLine(LogLevel::Info, "server_withdrawn")
      .field("target", Call.m_id)
      .field("known", Server != nullptr);
  if (Server == nullptr) {
    // Without the start of the server its late announcements could not be told
    // from those of its next life.
    if (wasWithdrawn(m_core->state(), Call.m_id))
      return awaitDeparture(Departure::Withdrawn, {Call.m_id}, Exchange,
                            HttpResponse());
    return Exchange->respond(
        m_protocol.errorResponse(503, "the server is not known"));
  }
  ServerIncarnation Leaving{Call.m_id, Server->m_announcement.m_startMillis};
  m_servers.withdraw(monotonicNow(), Call.m_id);
  pushDirectory();
  schedulePlan();
  awaitDeparture(Departure::Withdrawn, std::move(Leaving), Exchange,
                 HttpResponse());
}

void CoordinatorNode::awaitDeparture(
    Departure Kind, ServerIncarnation Server,
    const std::shared_ptr<ServerExchange> &Exchange, HttpResponse Response) {
  Instant Now = monotonicNow();
  // A server that has withdrawn needs no record of its drain.
  bool Recorded =
      isWithdrawn(m_core->state(), Server) ||
      (Kind == Departure::Draining && isDraining(m_core->state(), Server));
  if (Recorded && isOutOfUse(Now, Server.m_id))
    return Exchange->respond(Response);
  PendingDeparture Value{Kind, std::move(Server), Exchange, std::move(Response),
                         Now};
  schedulePlan();
  if (Recorded) {
    m_recordedDepartures.push_back(std::move(Value));
    return answerDepartures();
  }
  m_departures.push_back(std::move(Value));
  if (!m_departureTimer)
    m_departureTimer = m_loop.after(internal::DepartureBatchDelay,
                                    [this] { submitDepartures(); });
}

void CoordinatorNode::submitDepartures() {
  m_departureTimer = EventLoop::Timer{};
  if (!m_core || m_storageFailed)
    return refuseDepartures("storage failed");
  Instant Now = monotonicNow();
  // A command holds departures of one kind.
  std::stable_sort(m_departures.begin(), m_departures.end(),
                   [](const PendingDeparture &A, const PendingDeparture &B) {
                     return A.m_kind < B.m_kind;
                   });
  while (!m_departures.empty()) {
    Departure Kind = m_departures.front().m_kind;
    auto End = std::find_if(
        m_departures.begin(), m_departures.end(),
        [Kind](const auto &Value) { return Value.m_kind != Kind; });
    if (End - m_departures.begin() > internal::MaxDeparturesPerCommand)
      End = m_departures.begin() + internal::MaxDeparturesPerCommand;
    std::vector<PendingDeparture> Batch(
        std::make_move_iterator(m_departures.begin()),
        std::make_move_iterator(End));
    m_departures.erase(m_departures.begin(), End);
    std::vector<ServerIncarnation> Servers;
    Servers.reserve(Batch.size());
    for (const PendingDeparture &Value : Batch)
      Servers.push_back(Value.m_server);
    std::uint64_t Ticket = m_core->submit(Now, departureCommand(Kind, Servers));
    m_submittedDepartures[Ticket] = std::move(Batch);
  }
  m_core->tick(Now, absl::Now(), m_random);
  runCore();
}

void CoordinatorNode::onDeparturesDone(const Completion &Done) {
  auto Found = m_submittedDepartures.find(Done.m_ticket);
  if (Found == m_submittedDepartures.end())
    return;
  std::vector<PendingDeparture> Batch = std::move(Found->second);
  m_submittedDepartures.erase(Found);
  bool Committed = Done.m_status == SubmitStatus::Committed;
  std::vector<NodeId> Holders = {m_self};
  for (const PeerStatus &Peer : m_core->raft().peers())
    if (Peer.m_countsForQuorum && Peer.m_matchIndex >= Done.m_index)
      Holders.push_back(Peer.m_node);
  LogLine(LogLevel::Info, "departures_recorded")
      .field("kind", Batch.front().m_kind == Departure::Draining ? "draining"
                                                                 : "withdrawn")
      .field("servers", Batch.size())
      .field("committed", Committed)
      .field("index", Done.m_index)
      .field("voters", absl::StrJoin(Holders, ",", absl::StreamFormatter()))
      .field("ms", absl::ToInt64Milliseconds(monotonicNow() -
                                             Batch.front().m_received));
  if (Committed) {
    m_recordedDepartures.insert(m_recordedDepartures.end(), Batch.begin(),
                                Batch.end());
    return answerDepartures();
  }
  for (const PendingDeparture &Value : Batch)
    Value.m_exchange->respond(
        m_protocol.errorResponse(503, "not known to be recorded"));
}

bool CoordinatorNode::isOutOfUse(Instant Now, const TargetId &Id) const {
  if (!leads() || m_ledTerm != m_core->raft().term())
    return false;
  // The first leader ever has no predecessor whose targets are in use.
  bool EntriesReturned =
      m_fencingToken == 1 || Now - m_leaderSince >= EntryReturnTime;
  return EntriesReturned && m_feed.isOutOfUse(Now, Id);
}

void CoordinatorNode::answerDepartures() {
  if (m_recordedDepartures.empty())
    return;
  Instant Now = monotonicNow();
  Instant Received = Now;
  std::size_t Acknowledged = 0;
  std::size_t Refused = 0;
  std::vector<PendingDeparture> Waiting;
  for (PendingDeparture &Value : std::exchange(m_recordedDepartures, {})) {
    bool OutOfUse = isOutOfUse(Now, Value.m_server.m_id);
    if (!OutOfUse && Now - Value.m_received < internal::MaxDeliveryWait) {
      Waiting.push_back(std::move(Value));
      continue;
    }
    ++(OutOfUse ? Acknowledged : Refused);
    Received = std::min(Received, Value.m_received);
    Value.m_exchange->respond(
        OutOfUse ? Value.m_response
                 : m_protocol.errorResponse(
                       503, "entry nodes may still use the server"));
  }
  m_recordedDepartures = std::move(Waiting);
  if (Acknowledged + Refused > 0) {
    LogLine Line(LogLevel::Info, "departures_answered");
    Line.field("acknowledged", Acknowledged)
        .field("refused", Refused)
        .field("ms", absl::ToInt64Milliseconds(Now - Received));
    if (Refused > 0)
      Line.field("unconfirmed", absl::StrJoin(m_feed.unconfirmed(Now), ",",
                                              absl::StreamFormatter()));
  }
  m_loop.cancel(m_deliveryTimer);
  m_deliveryTimer = EventLoop::Timer{};
  if (!m_recordedDepartures.empty())
    m_deliveryTimer = m_loop.after(internal::DeliveryCheckInterval, [this] {
      m_deliveryTimer = EventLoop::Timer{};
      answerDepartures();
    });
}

std::vector<TargetId> CoordinatorNode::departingServers() const {
  std::vector<TargetId> Departing;
  auto Add = [&](const std::vector<PendingDeparture> &Values) {
    for (const PendingDeparture &Value : Values)
      Departing.push_back(Value.m_server.m_id);
  };
  Add(m_departures);
  for (const auto &[Ticket, Batch] : m_submittedDepartures)
    Add(Batch);
  Add(m_recordedDepartures);
  return Departing;
}

void CoordinatorNode::refuseDepartures(const std::string &Reason) {
  std::vector<PendingDeparture> Waiting = std::exchange(m_departures, {});
  for (const auto &[Ticket, Batch] : std::exchange(m_submittedDepartures, {}))
    Waiting.insert(Waiting.end(), Batch.begin(), Batch.end());
  Waiting.insert(Waiting.end(), m_recordedDepartures.begin(),
                 m_recordedDepartures.end());
  m_recordedDepartures.clear();
  for (const PendingDeparture &Value : Waiting)
    Value.m_exchange->respond(m_protocol.errorResponse(503, Reason));
}

void CoordinatorNode::applyDepartures() {
  if (m_ledTerm == 0)
    return;
  std::vector<std::pair<TargetId, Departure>> Leaving;
  for (const auto &[Id, Server] : m_servers.all()) {
    if (Server.m_announcement.m_draining)
      continue;
    ServerIncarnation Life{Id, Server.m_announcement.m_startMillis};
    if (isWithdrawn(m_core->state(), Life))
      Leaving.emplace_back(Id, Departure::Withdrawn);
    else if (isDraining(m_core->state(), Life))
      Leaving.emplace_back(Id, Departure::Draining);
  }
  for (const auto &[Id, Kind] : Leaving) {
    if (Kind == Departure::Withdrawn)
      m_servers.withdraw(monotonicNow(), Id);
    else
      m_servers.drain(Id);
  }
  if (Leaving.empty())
    return;
  pushDirectory();
  schedulePlan();
}

std::vector<TargetId> CoordinatorNode::departedServers() const {
  std::vector<TargetId> Departed;
  for (const auto &[Id, Server] : m_servers.all())
    if (Server.m_announcement.m_draining)
      Departed.push_back(Id);
  for (ServerIncarnation &Life :
       recentDepartures(m_core->state(), internal::RecentDeparture))
    if (m_servers.find(Life.m_id) == nullptr)
      Departed.push_back(std::move(Life.m_id));
  return Departed;
}

} // namespace turmericdyke
