#include "turmericdyke/src/Node/OrderSender.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "turmericdyke/src/Base/LogLine.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::size_t OrderThreads = 4;
constexpr std::size_t MaxQueuedOrders = 4096;
constexpr std::chrono::milliseconds OrderConnectTimeout(300);
constexpr std::chrono::milliseconds OrderReadTimeout(700);

void post(const AddressedOrder &Value) {
  httplib::Client Client("http://" + Value.m_address);
  Client.set_connection_timeout(OrderConnectTimeout);
  Client.set_read_timeout(OrderReadTimeout);
  httplib::Result Answer = Client.Post(
      "/v1/orders", toJson(Value.m_order).dump(), "application/json");
  const Order &Sent = Value.m_order;
  LogLine(LogLevel::Info, "order_sent")
      .field("order", Sent.m_id)
      .field("kind", nameOf(Sent.m_kind))
      .field("target", Sent.m_target)
      .field("replica", Sent.m_membership.m_replica)
      .field("generation", Sent.m_membership.m_generation)
      .field("fence", Sent.m_fencingToken)
      .field("status", Answer ? Answer->status : 0);
}

} // namespace
} // namespace internal

OrderSender::OrderSender() {
  for (std::size_t Index = 0; Index < internal::OrderThreads; ++Index)
    m_threads.emplace_back([this] { run(); });
}

OrderSender::~OrderSender() {
  {
    absl::MutexLock Lock(&m_lock);
    m_stopped = true;
  }
  for (std::thread &Thread : m_threads)
    Thread.join();
}

void OrderSender::send(Instant Now, AddressedOrder Value) {
  absl::MutexLock Lock(&m_lock);
  // The planner issues an order again when it expires, so dropping it here only
  // delays it.
  if (m_queue.size() >= internal::MaxQueuedOrders)
    return;
  absl::Duration Lifetime = absl::Milliseconds(Value.m_order.m_expiresInMs);
  m_queue.push_back({std::move(Value), Now + Lifetime});
}

void OrderSender::run() {
  for (;;) {
    Queued Next;
    {
      absl::MutexLock Lock(&m_lock);
      m_lock.Await(absl::Condition(this, &OrderSender::hasWork));
      if (m_stopped)
        return;
      Next = std::move(m_queue.front());
      m_queue.pop_front();
    }
    absl::Duration Left = Next.m_expires - monotonicNow();
    if (Left <= absl::ZeroDuration())
      continue;
    Next.m_order.m_order.m_expiresInMs = absl::ToInt64Milliseconds(Left);
    internal::post(Next.m_order);
  }
}

} // namespace turmericdyke
