#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "turmericdyke/src/Groups/GroupPlanner.h"
#include "turmericdyke/src/Http/HttpClientPool.h"

namespace turmericdyke {

class CoordinatorDialect;

/// Sends orders to servers and reports how each was answered.
class OrderCalls {
public:
  using Answered = std::function<void(const GroupOrder &, OrderAnswer)>;

  /// Everything given must outlive the object.
  OrderCalls(EventLoop &Loop, HttpClientPool &Pool,
             const CoordinatorDialect &Dialect, Answered OnAnswer);
  ~OrderCalls();

  void send(const GroupOrder &Order, std::uint64_t Fence);
  std::size_t running() const { return m_running.size(); }

private:
  class Call;
  void finish(Call &Ended, OrderAnswer Answer);

  EventLoop &m_loop;
  HttpClientPool &m_pool;
  const CoordinatorDialect &m_dialect;
  Answered m_onAnswer;
  std::list<std::shared_ptr<Call>> m_running;
};

} // namespace turmericdyke
