#include "turmericdyke/src/Http/ServerExchange.h"

#include <cassert>
#include <utility>

#include "turmericdyke/src/Http/ServerConnection.h"

namespace turmericdyke {

ServerExchange::ServerExchange(std::weak_ptr<ServerConnection> Connection,
                               HttpRequest Request,
                               std::shared_ptr<ConnectionBudget> Budget,
                               std::size_t Bytes)
    : m_connection(std::move(Connection)), m_request(std::move(Request)),
      m_share(std::move(Budget), nullptr) {
  m_share.resize(Bytes, ConnectionUse::Kept);
}

void ServerExchange::respond(const HttpResponse &Response) {
  assert(!m_started && "an answer was begun already");
  std::shared_ptr<ServerConnection> Connection = m_connection.lock();
  m_started = true;
  m_done = true;
  if (!Connection || m_gone)
    return;
  std::string Bytes =
      responseHead(Response.m_status, Response.m_fields, BodyFraming::Length,
                   Response.m_body.size(), Connection->keepsAlive());
  if (m_request.m_method != "HEAD")
    Bytes += Response.m_body;
  Connection->send(Bytes);
  Connection->exchangeDone(Connection->keepsAlive());
}

void ServerExchange::start(int Status, const HttpFields &Fields) {
  assert(!m_started && "an answer was begun already");
  std::shared_ptr<ServerConnection> Connection = m_connection.lock();
  m_started = true;
  if (!Connection || m_gone)
    return;
  bool Chunks = m_request.m_acceptsChunked;
  m_keepsAlive = Chunks && Connection->keepsAlive();
  Connection->send(responseHead(
      Status, Fields, Chunks ? BodyFraming::Chunked : BodyFraming::UntilClose,
      0, m_keepsAlive));
}

void ServerExchange::write(std::string_view Bytes) {
  assert(m_started && !m_done && "begin the answer first");
  std::shared_ptr<ServerConnection> Connection = m_connection.lock();
  if (!Connection || m_gone || Bytes.empty())
    return;
  Connection->send(m_request.m_acceptsChunked ? chunk(Bytes)
                                              : std::string(Bytes));
}

void ServerExchange::finish() {
  assert(m_started && !m_done && "begin the answer first");
  m_done = true;
  std::shared_ptr<ServerConnection> Connection = m_connection.lock();
  if (!Connection || m_gone)
    return;
  if (m_request.m_acceptsChunked)
    Connection->send(chunk(""));
  Connection->exchangeDone(m_keepsAlive);
}

void ServerExchange::abort() {
  m_started = true;
  m_done = true;
  std::shared_ptr<ServerConnection> Connection = m_connection.lock();
  if (Connection && !m_gone)
    Connection->reset();
}

std::size_t ServerExchange::unsentBytes() const {
  std::shared_ptr<ServerConnection> Connection = m_connection.lock();
  return Connection ? Connection->unsentBytes() : 0;
}

void ServerExchange::markDisconnected() {
  m_gone = true;
  if (m_done)
    return;
  std::function<void()> Callback = std::exchange(m_onGone, nullptr);
  if (Callback)
    Callback();
}

} // namespace turmericdyke
