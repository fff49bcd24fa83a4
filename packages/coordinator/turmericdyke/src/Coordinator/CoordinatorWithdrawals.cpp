#include "turmericdyke/src/Coordinator/CoordinatorNode.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/time/clock.h"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Coordinator/WithdrawalRecords.h"
#include "turmericdyke/src/Http/ServerExchange.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Withdrawals that arrive within this time share an entry of the log, which
/// each voter syncs once. Servers are taken away many at a time.
constexpr absl::Duration WithdrawalBatchDelay = absl::Milliseconds(10);
/// More withdrawals than one command may hold are split.
constexpr std::size_t MaxWithdrawalsPerCommand = 1024;

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
      return Exchange->respond(HttpResponse());
    return Exchange->respond(
        m_protocol.errorResponse(503, "the server is not known"));
  }
  ServerIncarnation Leaving{Call.m_id, Server->m_announcement.m_startMillis};
  m_servers.withdraw(monotonicNow(), Call.m_id);
  pushDirectory();
  schedulePlan();
  if (isWithdrawn(m_core->state(), Leaving))
    return Exchange->respond(HttpResponse());
  m_withdrawals.push_back({std::move(Leaving), Exchange, monotonicNow()});
  if (!m_withdrawalTimer)
    m_withdrawalTimer = m_loop.after(internal::WithdrawalBatchDelay,
                                     [this] { submitWithdrawals(); });
}

void CoordinatorNode::submitWithdrawals() {
  m_withdrawalTimer = EventLoop::Timer{};
  if (!m_core || m_storageFailed)
    return refuseWithdrawals("storage failed");
  Instant Now = monotonicNow();
  while (!m_withdrawals.empty()) {
    std::size_t Count =
        std::min(m_withdrawals.size(), internal::MaxWithdrawalsPerCommand);
    auto End = m_withdrawals.begin() + static_cast<std::ptrdiff_t>(Count);
    std::vector<PendingWithdrawal> Batch(
        std::make_move_iterator(m_withdrawals.begin()),
        std::make_move_iterator(End));
    m_withdrawals.erase(m_withdrawals.begin(), End);
    std::vector<ServerIncarnation> Servers;
    Servers.reserve(Batch.size());
    for (const PendingWithdrawal &Value : Batch)
      Servers.push_back(Value.m_server);
    std::uint64_t Ticket = m_core->submit(Now, withdrawalCommand(Servers));
    m_submittedWithdrawals[Ticket] = std::move(Batch);
  }
  m_core->tick(Now, absl::Now(), m_random);
  runCore();
}

void CoordinatorNode::onWithdrawalsDone(std::uint64_t Ticket, bool Committed) {
  auto Found = m_submittedWithdrawals.find(Ticket);
  if (Found == m_submittedWithdrawals.end())
    return;
  std::vector<PendingWithdrawal> Batch = std::move(Found->second);
  m_submittedWithdrawals.erase(Found);
  LogLine(LogLevel::Info, "withdrawals_answered")
      .field("servers", Batch.size())
      .field("committed", Committed)
      .field("ms", absl::ToInt64Milliseconds(monotonicNow() -
                                             Batch.front().m_received));
  for (const PendingWithdrawal &Value : Batch)
    Value.m_exchange->respond(
        Committed ? HttpResponse()
                  : m_protocol.errorResponse(503, "not known to be recorded"));
}

void CoordinatorNode::refuseWithdrawals(const std::string &Reason) {
  std::vector<PendingWithdrawal> Waiting = std::exchange(m_withdrawals, {});
  for (const auto &[Ticket, Batch] : std::exchange(m_submittedWithdrawals, {}))
    Waiting.insert(Waiting.end(), Batch.begin(), Batch.end());
  for (const PendingWithdrawal &Value : Waiting)
    Value.m_exchange->respond(m_protocol.errorResponse(503, Reason));
}

void CoordinatorNode::applyWithdrawals() {
  if (m_ledTerm == 0)
    return;
  std::vector<TargetId> Withdrawn;
  for (const auto &[Id, Server] : m_servers.all())
    if (!Server.m_announcement.m_draining &&
        isWithdrawn(m_core->state(), {Id, Server.m_announcement.m_startMillis}))
      Withdrawn.push_back(Id);
  for (const TargetId &Id : Withdrawn)
    m_servers.withdraw(monotonicNow(), Id);
  if (Withdrawn.empty())
    return;
  pushDirectory();
  schedulePlan();
}

} // namespace turmericdyke
