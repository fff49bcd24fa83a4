#pragma once

#include <memory>
#include <string>
#include <sys/epoll.h>

#include "turmericdyke/src/Http/ConnectionShare.h"
#include "turmericdyke/src/Http/HttpReader.h"
#include "turmericdyke/src/Http/HttpServer.h"

namespace turmericdyke {

class ServerExchange;

/// A caller's connection to an `HttpServer`.
class ServerConnection : public HttpReaderEvents,
                         public BudgetHolder,
                         public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(HttpServer &Server, std::uint64_t Id,
                   internal::Descriptor Socket);
  ~ServerConnection() override;

  void open();
  /// Queues bytes of the response and sends what the socket accepts.
  void send(std::string_view Bytes);
  /// Called when the response is complete; the next request may be read.
  void exchangeDone(bool KeepAlive);
  /// Closes the connection with a TCP reset.
  void reset();
  void close();

  bool keepsAlive() const;
  bool isIdle() const;
  std::size_t unsentBytes() const { return m_output.size() - m_sent; }
  void closeIfIdle();
  /// Refuses a request that was read in part.
  void refuseIncomplete();
  /// Ends the connection if a timeout has expired.
  void checkTimeouts(Instant Now);

  bool onHead() override;
  void onBody(std::string_view Bytes) override;
  void onMessageEnd() override;
  void giveUp() override;

private:
  void onReady(std::uint32_t Events);
  void readSocket();
  void readInput();
  /// Sends what the socket accepts; false if the connection has ended.
  bool flush();
  /// Closes the connection so that the peer receives the whole output.
  void closeAfterOutput();
  void updateEvents();
  void refuse(HttpServerEvent Reason, int Status);
  void growBody(std::size_t More);
  /// Reports what the connection holds.
  void updateShare();
  std::size_t heldBytes() const;
  ConnectionUse use() const;
  /// Whether there is room for a complete request to run, which holds `Held`
  /// and takes `More`. Incomplete requests are given up for it.
  bool makeRoomToRun(std::size_t Held, std::size_t More);

  HttpServer &m_server;
  std::uint64_t m_id;
  internal::Descriptor m_socket;
  HttpReader m_reader;
  std::string m_body;
  std::string m_input;
  std::string m_output;
  std::size_t m_sent = 0;
  std::shared_ptr<ServerExchange> m_exchange;
  bool m_keepAlive = true;
  bool m_bodyTooLarge = false;
  bool m_closeWhenSent = false;
  /// The response was sent before the request was read to its end.
  bool m_refused = false;
  bool m_closed = false;
  /// A complete request was refused for want of memory.
  bool m_noRoomToRun = false;
  std::uint32_t m_watchedEvents = EPOLLIN;
  Instant m_lastRead;
  /// Until when bytes of the peer are dropped after the last response.
  Instant m_lingersUntil = absl::InfiniteFuture();
  /// When the first byte of the current request was read.
  Instant m_requestStart = absl::InfiniteFuture();
  ConnectionShare m_share;
};

} // namespace turmericdyke
