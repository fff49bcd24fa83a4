#pragma once

#include <atomic>
#include <cerrno>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

#include "absl/time/clock.h"
#include "turmericdyke/src/Loop/Sockets.h"

namespace turmericdyke {

/// How a scripted server ends a connection once it has sent its bytes.
enum class Ending {
  /// In order, once the client has closed its side too.
  InOrder,
  /// With a reset, although bytes of the request are still on their way.
  Reset,
  /// In order, and then with a reset, as the rest of the request is not read.
  InOrderThenReset,
  /// Not before the client does, or the server is destroyed.
  Held
};

/// A server that answers the head of each request, one connection at a time,
/// with the same bytes, whatever follows the head.
class ScriptedServer {
public:
  ScriptedServer(std::string Answer, Ending End,
                 absl::Duration Delay = absl::ZeroDuration())
      : m_answer(std::move(Answer)), m_end(End), m_delay(Delay),
        m_listener(std::move(internal::listenOn("127.0.0.1:0")).value()) {
    // Accepted connections inherit it, so that a long upload comes to a halt.
    internal::limitReceived(m_listener, MaxReceiveBytes);
    m_thread = std::thread([this] { run(); });
  }
  ~ScriptedServer() {
    m_stop = true;
    m_thread.join();
  }
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  std::string address() const { return internal::boundAddress(m_listener); }
  /// Requests whose head has arrived.
  int requests() const { return m_requests; }

private:
  static constexpr int MaxReceiveBytes = 64 << 10;

  static void pause() { absl::SleepFor(absl::Milliseconds(1)); }

  void run() {
    while (!m_stop) {
      internal::Descriptor Client = internal::acceptFrom(m_listener);
      if (Client.get() < 0)
        pause();
      else if (readHead(Client.get()))
        answer(Client.get());
    }
  }

  bool readHead(int File) {
    std::string Head;
    char Buffer[1024];
    while (!m_stop && Head.find("\r\n\r\n") == std::string::npos) {
      ssize_t Count = recv(File, Buffer, sizeof Buffer, 0);
      if (Count == 0 || (Count < 0 && errno != EAGAIN))
        return false;
      if (Count < 0)
        pause();
      else
        Head.append(Buffer, static_cast<std::size_t>(Count));
    }
    return !m_stop;
  }

  void answer(int File) {
    ++m_requests;
    absl::SleepFor(m_delay);
    sendAll(File);
    if (m_end == Ending::InOrder || m_end == Ending::InOrderThenReset)
      shutdown(File, SHUT_WR);
    if (m_end == Ending::InOrder || m_end == Ending::Held)
      drain(File);
    if (m_end == Ending::InOrderThenReset)
      absl::SleepFor(absl::Milliseconds(20));
    if (m_end != Ending::Reset && m_end != Ending::InOrderThenReset)
      return;
    // With a linger time of 0, close(2) resets the connection.
    linger Now{1, 0};
    setsockopt(File, SOL_SOCKET, SO_LINGER, &Now, sizeof Now);
  }

  void sendAll(int File) const {
    std::string_view Rest = m_answer;
    while (!m_stop && !Rest.empty()) {
      ssize_t Count = send(File, Rest.data(), Rest.size(), MSG_NOSIGNAL);
      if (Count < 0 && errno != EAGAIN)
        return;
      if (Count < 0)
        pause();
      else
        Rest.remove_prefix(static_cast<std::size_t>(Count));
    }
  }

  /// Reads until the client closes.
  void drain(int File) const {
    char Buffer[16384];
    while (!m_stop) {
      ssize_t Count = recv(File, Buffer, sizeof Buffer, 0);
      if (Count == 0 || (Count < 0 && errno != EAGAIN))
        return;
      if (Count < 0)
        pause();
    }
  }

  const std::string m_answer;
  const Ending m_end;
  const absl::Duration m_delay;
  internal::Descriptor m_listener;
  std::atomic<bool> m_stop{false};
  std::atomic<int> m_requests{0};
  std::thread m_thread;
};

} // namespace turmericdyke
