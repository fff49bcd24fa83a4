#include "turmericdyke/src/Coordinator/OrderCalls.h"

#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Coordinator/CoordinatorDialect.h"

namespace turmericdyke {

namespace internal {
namespace {

/// Servers answer an order at once; it may have been lost after this time.
constexpr absl::Duration OrderTimeout = absl::Milliseconds(800);

} // namespace
} // namespace internal

class OrderCalls::Call : public ClientCallEvents {
public:
  Call(OrderCalls &Owner, GroupOrder Order)
      : m_owner(Owner), m_order(std::move(Order)) {}
  ~Call() override { m_owner.m_loop.cancel(m_timer); }

  void begin(std::uint64_t Fence) {
    m_connection = m_owner.m_pool.take(m_order.m_address);
    m_timer = m_owner.m_loop.after(internal::OrderTimeout, [this] {
      m_connection->cancel();
      m_owner.finish(*this, OrderAnswer::Unknown);
    });
    m_connection->call(m_owner.m_dialect.orderBytes(m_order, Fence), false,
                       *this);
  }

  bool onResponseHead(const HttpResponseHead &Head) override {
    m_status = Head.m_status;
    return true;
  }
  void onResponseBody(std::string_view) override {}
  void onCallEnd(ClientEnd End) override {
    m_keep = End == ClientEnd::Complete;
    m_owner.finish(*this, m_keep ? m_owner.m_dialect.readOrderAnswer(m_status)
                                 : OrderAnswer::Unknown);
  }

  OrderCalls &m_owner;
  GroupOrder m_order;
  std::unique_ptr<HttpClientConnection> m_connection;
  EventLoop::Timer m_timer;
  int m_status = 0;
  bool m_keep = false;
};

OrderCalls::OrderCalls(EventLoop &Loop, HttpClientPool &Pool,
                       const CoordinatorDialect &Dialect, Answered OnAnswer)
    : m_loop(Loop), m_pool(Pool), m_dialect(Dialect),
      m_onAnswer(std::move(OnAnswer)) {}

OrderCalls::~OrderCalls() = default;

void OrderCalls::send(const GroupOrder &Order, std::uint64_t Fence) {
  m_running.push_back(std::make_shared<Call>(*this, Order));
  m_running.back()->begin(Fence);
}

void OrderCalls::finish(Call &Ended, OrderAnswer Answer) {
  LogLine(LogLevel::Info, "order_answered")
      .field("order", nameOf(Ended.m_order.m_kind))
      .field("target", Ended.m_order.m_target)
      .field("group", Ended.m_order.m_group)
      .field("model", Ended.m_order.m_model)
      .field("status", Ended.m_status);
  m_loop.cancel(Ended.m_timer);
  // Freed on a later turn: this runs within a callback of the connection.
  for (auto At = m_running.begin(); At != m_running.end(); ++At) {
    if (At->get() != &Ended)
      continue;
    m_loop.post([this, Held = *At] {
      if (Held->m_keep)
        m_pool.give(std::move(Held->m_connection));
    });
    m_running.erase(At);
    break;
  }
  m_onAnswer(Ended.m_order, Answer);
}

} // namespace turmericdyke
