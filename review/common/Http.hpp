// Small HTTP/1.1 helpers over blocking loopback sockets.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;

inline double seconds(Clock::time_point From, Clock::time_point To) {
  return std::chrono::duration<double>(To - From).count();
}

inline sockaddr_in socketAddress(const std::string &Address) {
  sockaddr_in Where{};
  std::size_t Colon = Address.rfind(':');
  Where.sin_family = AF_INET;
  Where.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Where.sin_addr);
  return Where;
}

inline int listenOn(const std::string &Address) {
  int File = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(File, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  sockaddr_in Where = socketAddress(Address);
  if (bind(File, reinterpret_cast<sockaddr *>(&Where), sizeof Where) != 0 ||
      listen(File, 128) != 0) {
    close(File);
    return -1;
  }
  return File;
}

// Connects within `Timeout` seconds; -1 if that fails.
inline int connectTo(const std::string &Address, double Timeout) {
  int File = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in Where = socketAddress(Address);
  int On = 1;
  setsockopt(File, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  if (connect(File, reinterpret_cast<sockaddr *>(&Where), sizeof Where) != 0) {
    pollfd Ready{File, POLLOUT, 0};
    int Error = errno;
    socklen_t Size = sizeof Error;
    bool Connected =
        Error == EINPROGRESS &&
        poll(&Ready, 1, static_cast<int>(Timeout * 1000)) == 1 &&
        getsockopt(File, SOL_SOCKET, SO_ERROR, &Error, &Size) == 0 &&
        Error == 0;
    if (!Connected) {
      close(File);
      return -1;
    }
  }
  return File;
}

inline bool sendAll(int File, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count =
        send(File, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count < 0 && errno == EAGAIN) {
      pollfd Ready{File, POLLOUT, 0};
      if (poll(&Ready, 1, 1000) != 1)
        return false;
      continue;
    }
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

// A request or response: its first line, its fields in lower case, its body.
struct Message {
  std::string First;
  std::map<std::string, std::string> Fields;
  std::string Body;

  std::string field(const std::string &Name) const {
    auto Found = Fields.find(Name);
    return Found == Fields.end() ? std::string() : Found->second;
  }
  int status() const {
    return First.size() > 12 ? std::atoi(First.c_str() + 9) : 0;
  }
  std::string method() const { return First.substr(0, First.find(' ')); }
  std::string target() const {
    std::size_t From = First.find(' ') + 1;
    return First.substr(From, First.find(' ', From) - From);
  }
};

// Reads messages that state their length. `Input` keeps what follows one.
class Reader {
public:
  explicit Reader(int File) : m_file(File) {}

  // Nothing if the connection ends or `Deadline` passes before the message is
  // complete.
  std::optional<Message> read(Clock::time_point Deadline) {
    std::size_t End = std::string::npos;
    while ((End = m_input.find("\r\n\r\n")) == std::string::npos)
      if (!more(Deadline))
        return std::nullopt;
    Message Read;
    std::string Head = m_input.substr(0, End + 2);
    m_input.erase(0, End + 4);
    std::size_t At = Head.find("\r\n");
    Read.First = Head.substr(0, At);
    for (At += 2; At < Head.size();) {
      std::size_t LineEnd = Head.find("\r\n", At);
      std::string Line = Head.substr(At, LineEnd - At);
      At = LineEnd + 2;
      std::size_t Colon = Line.find(':');
      std::string Name = Line.substr(0, Colon);
      std::transform(Name.begin(), Name.end(), Name.begin(), ::tolower);
      std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Read.Fields[Name] = Value == std::string::npos ? "" : Line.substr(Value);
    }
    if (Read.field("transfer-encoding") == "chunked")
      return readChunks(Read, Deadline) ? std::optional(Read) : std::nullopt;
    std::size_t Length = 0;
    if (!Read.field("content-length").empty())
      Length = std::stoul(Read.field("content-length"));
    while (m_input.size() < Length)
      if (!more(Deadline))
        return std::nullopt;
    Read.Body = m_input.substr(0, Length);
    m_input.erase(0, Length);
    return Read;
  }

  // Whether any byte of a message has arrived that is not complete.
  bool partial() const { return !m_input.empty(); }

private:
  bool more(Clock::time_point Deadline) {
    double Left = seconds(Clock::now(), Deadline);
    pollfd Ready{m_file, POLLIN, 0};
    if (Left <= 0 || poll(&Ready, 1, static_cast<int>(Left * 1000) + 1) != 1)
      return false;
    char Buffer[16384];
    ssize_t Count = recv(m_file, Buffer, sizeof Buffer, 0);
    if (Count <= 0)
      return false;
    m_input.append(Buffer, static_cast<std::size_t>(Count));
    return true;
  }

  bool readChunks(Message &Read, Clock::time_point Deadline) {
    for (;;) {
      std::size_t End = std::string::npos;
      while ((End = m_input.find("\r\n")) == std::string::npos)
        if (!more(Deadline))
          return false;
      std::size_t Size = std::stoul(m_input.substr(0, End), nullptr, 16);
      while (m_input.size() < End + 2 + Size + 2)
        if (!more(Deadline))
          return false;
      Read.Body += m_input.substr(End + 2, Size);
      m_input.erase(0, End + 2 + Size + 2);
      if (Size == 0)
        return true;
    }
  }

  int m_file;
  std::string m_input;
};

// One call on a new connection. Nothing if there is no complete response.
inline std::optional<Message> callOnce(const std::string &Address,
                                       const std::string &Request,
                                       double Timeout) {
  int File = connectTo(Address, std::min(Timeout, 1.0));
  if (File < 0)
    return std::nullopt;
  std::optional<Message> Read;
  if (sendAll(File, Request))
    Read =
        Reader(File).read(Clock::now() + std::chrono::milliseconds(
                                             static_cast<int>(Timeout * 1000)));
  close(File);
  return Read;
}

// A call to a coordinator. Follows up to two redirects, as servers and the
// operator do.
inline std::optional<Message>
callControl(std::string Address, const std::string &Method,
            const std::string &Path, const std::string &Body, double Timeout) {
  for (int Hop = 0;; ++Hop) {
    std::optional<Message> Read = callOnce(
        Address,
        Method + " " + Path + " HTTP/1.1\r\nHost: " + Address +
            "\r\nContent-Type: application/json\r\nConnection: close\r\n"
            "Content-Length: " +
            std::to_string(Body.size()) + "\r\n\r\n" + Body,
        Timeout);
    if (!Read || Read->status() != 307 || Hop == 2)
      return Read;
    std::string Location = Read->field("location").substr(7);
    Address = Location.substr(0, Location.find('/'));
  }
}

} // namespace review
