#include "turmericdyke/src/Peer/Http2Connection.h"

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <sys/socket.h>
#include <vector>

#include <fmt/format.h>
#include <nghttp2/nghttp2.h>

#include "absl/strings/numbers.h"

namespace turmericdyke::internal {

namespace {

constexpr std::uint32_t MaxConcurrentStreams = 256;
// A window of 1 MiB carries 1 GB/s at a round trip of 1 ms; the window of the
// connection allows several large messages.
constexpr std::uint32_t StreamWindowBytes = 1 << 20;
constexpr std::int32_t ConnectionWindowBytes = 16 << 20;
constexpr std::size_t ReadChunkBytes = 64 << 10;
// Keeps one busy connection from delaying the others of the thread.
constexpr int ReadChunksPerCall = 16;
constexpr std::size_t OutputBufferBytes = 256 << 10;
constexpr std::size_t MaxPathBytes = 128;

const std::uint8_t *octets(std::string_view Text) {
  return reinterpret_cast<const std::uint8_t *>(Text.data());
}

nghttp2_nv header(std::string_view Name, std::string_view Value) {
  return {const_cast<std::uint8_t *>(octets(Name)),
          const_cast<std::uint8_t *>(octets(Value)), Name.size(), Value.size(),
          NGHTTP2_NV_FLAG_NO_COPY_NAME};
}

std::string_view view(const std::uint8_t *Bytes, std::size_t Size) {
  return {reinterpret_cast<const char *>(Bytes), Size};
}

} // namespace

/// The C callbacks of nghttp2; their user data is the connection.
struct Http2Connection::Callbacks {
  static Http2Connection &self(void *UserData) {
    return *static_cast<Http2Connection *>(UserData);
  }

  static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *Frame,
                            void *UserData) {
    if (Frame->headers.cat == NGHTTP2_HCAT_REQUEST)
      self(UserData).m_streams.try_emplace(Frame->hd.stream_id);
    return 0;
  }

  static int onHeader(nghttp2_session *, const nghttp2_frame *Frame,
                      const std::uint8_t *Name, std::size_t NameSize,
                      const std::uint8_t *Value, std::size_t ValueSize,
                      std::uint8_t, void *UserData) {
    self(UserData).receiveHeader(Frame->hd.stream_id, view(Name, NameSize),
                                 view(Value, ValueSize));
    return 0;
  }

  static int onData(nghttp2_session *, std::uint8_t, std::int32_t Id,
                    const std::uint8_t *Bytes, std::size_t Size,
                    void *UserData) {
    return self(UserData).receiveData(Id, view(Bytes, Size))
               ? 0
               : NGHTTP2_ERR_CALLBACK_FAILURE;
  }

  static int onFrame(nghttp2_session *, const nghttp2_frame *Frame,
                     void *UserData) {
    Http2Connection &Self = self(UserData);
    std::uint8_t Flags = Frame->hd.flags;
    if (Frame->hd.type == NGHTTP2_PING) {
      if ((Flags & NGHTTP2_FLAG_ACK) != 0)
        Self.m_listener.onPingAck();
      return 0;
    }
    bool CarriesEnd =
        Frame->hd.type == NGHTTP2_DATA || Frame->hd.type == NGHTTP2_HEADERS;
    auto Found = Self.m_streams.find(Frame->hd.stream_id);
    if (CarriesEnd && (Flags & NGHTTP2_FLAG_END_STREAM) != 0 &&
        Found != Self.m_streams.end())
      Self.complete(Found->first, Found->second);
    return 0;
  }

  static int onStreamClose(nghttp2_session *, std::int32_t Id, std::uint32_t,
                           void *UserData) {
    self(UserData).closeStream(Id);
    return 0;
  }

  static ssize_t readBody(nghttp2_session *, std::int32_t, std::uint8_t *Buffer,
                          std::size_t Size, std::uint32_t *DataFlags,
                          nghttp2_data_source *Source, void *) {
    auto &State = *static_cast<Stream *>(Source->ptr);
    std::size_t Count = std::min(Size, State.m_outgoing.size() - State.m_sent);
    std::copy_n(State.m_outgoing.data() + State.m_sent, Count, Buffer);
    State.m_sent += Count;
    if (State.m_sent == State.m_outgoing.size())
      *DataFlags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(Count);
  }

  static nghttp2_session *open(Http2Connection &Owner) {
    nghttp2_session_callbacks *Table = nullptr;
    int Done = nghttp2_session_callbacks_new(&Table);
    assert(Done == 0 && "out of memory");
    nghttp2_session_callbacks_set_on_begin_headers_callback(Table,
                                                            onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(Table, onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Table, onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(Table, onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(Table,
                                                           onStreamClose);
    nghttp2_session *Session = nullptr;
    Done = Owner.m_role == Role::Client
               ? nghttp2_session_client_new(&Session, Table, &Owner)
               : nghttp2_session_server_new(&Session, Table, &Owner);
    assert(Done == 0 && "out of memory");
    (void)Done;
    nghttp2_session_callbacks_del(Table);
    return Session;
  }
};

Http2Connection::Http2Connection(Role Side, Descriptor Socket,
                                 Http2Limits Limits, Http2Listener &Listener)
    : m_role(Side), m_socket(std::move(Socket)), m_limits(Limits),
      m_listener(Listener), m_session(Callbacks::open(*this)) {
  const nghttp2_settings_entry Settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxConcurrentStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindowBytes},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
  nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, Settings,
                          std::size(Settings));
  nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0,
                                        ConnectionWindowBytes);
}

Http2Connection::~Http2Connection() { nghttp2_session_del(m_session); }

std::int32_t Http2Connection::submitRequest(std::string_view Authority,
                                            std::string_view Path,
                                            std::string Body) {
  // nghttp2 copies the provider, which must point to the stream's state. The
  // state is therefore added to the map before the stream identifier is
  // assigned.
  const nghttp2_nv Headers[] = {
      header(":method", "POST"), header(":scheme", "http"),
      header(":authority", Authority), header(":path", Path)};
  std::int32_t Next =
      static_cast<std::int32_t>(nghttp2_session_get_next_stream_id(m_session));
  Stream &State = m_streams[Next];
  State.m_outgoing = std::move(Body);
  nghttp2_data_provider Provider{{.ptr = &State}, Callbacks::readBody};
  std::int32_t Id = nghttp2_submit_request(
      m_session, nullptr, Headers, std::size(Headers), &Provider, nullptr);
  if (Id < 0)
    m_streams.erase(Next);
  assert((Id < 0 || Id == Next) && "stream numbers are assigned in order");
  return Id;
}

void Http2Connection::submitResponse(std::int32_t Id, int Status,
                                     std::string Body) {
  auto Found = m_streams.find(Id);
  if (Found == m_streams.end())
    return;
  std::string Text = fmt::format("{}", Status);
  const nghttp2_nv Headers[] = {header(":status", Text)};
  Stream &State = Found->second;
  State.m_outgoing = std::move(Body);
  nghttp2_data_provider Provider{{.ptr = &State}, Callbacks::readBody};
  nghttp2_submit_response(m_session, Id, Headers, std::size(Headers),
                          State.m_outgoing.empty() ? nullptr : &Provider);
}

void Http2Connection::submitPing() {
  nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
}

void Http2Connection::submitGoAway() { m_goAway = true; }

void Http2Connection::receiveHeader(std::int32_t Id, std::string_view Name,
                                    std::string_view Value) {
  auto Found = m_streams.find(Id);
  if (Found == m_streams.end())
    return;
  if (Name == ":path")
    Found->second.m_path = Value.substr(0, MaxPathBytes);
  else if (Name == ":method")
    Found->second.m_isPost = Value == "POST";
  else if (Name == ":status" && m_role == Role::Client)
    (void)absl::SimpleAtoi(absl::string_view(Value.data(), Value.size()),
                           &Found->second.m_status);
}

bool Http2Connection::receiveData(std::int32_t Id, std::string_view Bytes) {
  auto Found = m_streams.find(Id);
  if (Found == m_streams.end() || Found->second.m_done)
    return true;
  Stream &State = Found->second;
  if (State.m_received.size() + Bytes.size() > m_limits.m_bodyBytes) {
    State.m_done = true;
    m_receivedBytes -= State.m_received.size();
    State.m_received = std::string();
    m_listener.onOversized();
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, Id,
                              NGHTTP2_ENHANCE_YOUR_CALM);
    return true;
  }
  if (m_receivedBytes + Bytes.size() > m_limits.m_totalBytes) {
    m_overLimit = true;
    m_listener.onOversized();
    return false;
  }
  m_receivedBytes += Bytes.size();
  State.m_received.append(Bytes);
  return true;
}

void Http2Connection::complete(std::int32_t Id, Stream &State) {
  if (State.m_done)
    return;
  State.m_done = true;
  m_receivedBytes -= State.m_received.size();
  std::string Body = std::exchange(State.m_received, {});
  if (m_role == Role::Client)
    return m_listener.onResponse(Id, State.m_status, std::move(Body));
  if (!State.m_isPost)
    return submitResponse(Id, 405, {});
  std::string Path = State.m_path;
  m_listener.onRequest(Id, Path, std::move(Body));
}

void Http2Connection::closeStream(std::int32_t Id) {
  auto Found = m_streams.find(Id);
  if (Found == m_streams.end())
    return;
  bool Answered = Found->second.m_done;
  m_receivedBytes -= Found->second.m_received.size();
  m_streams.erase(Found);
  if (!Answered && m_role == Role::Client)
    m_listener.onResponse(Id, 0, {});
}

bool Http2Connection::read() {
  thread_local std::vector<std::uint8_t> Buffer(ReadChunkBytes);
  for (int Chunk = 0; Chunk < ReadChunksPerCall; ++Chunk) {
    ssize_t Count = recv(m_socket.get(), Buffer.data(), Buffer.size(), 0);
    if (Count == 0)
      return false;
    if (Count < 0)
      return errno == EAGAIN || errno == EINTR;
    ssize_t Used = nghttp2_session_mem_recv(m_session, Buffer.data(),
                                            static_cast<std::size_t>(Count));
    if (Used < 0 || m_overLimit)
      return false;
    if (static_cast<std::size_t>(Count) < Buffer.size())
      return true;
  }
  return true;
}

bool Http2Connection::write() {
  for (;;) {
    while (m_output.size() - m_written < OutputBufferBytes) {
      const std::uint8_t *Bytes = nullptr;
      ssize_t Count = nghttp2_session_mem_send(m_session, &Bytes);
      if (Count < 0)
        return false;
      if (Count == 0 && !m_goAway)
        break;
      if (Count == 0) {
        // Not earlier, because nghttp2 sends no responses after a session was
        // terminated.
        nghttp2_session_terminate_session(m_session, NGHTTP2_NO_ERROR);
        m_goAway = false;
        continue;
      }
      m_output.append(view(Bytes, static_cast<std::size_t>(Count)));
    }
    if (m_written == m_output.size())
      return true;
    ssize_t Count = send(m_socket.get(), m_output.data() + m_written,
                         m_output.size() - m_written, MSG_NOSIGNAL);
    if (Count < 0)
      return errno == EAGAIN || errno == EINTR;
    m_written += static_cast<std::size_t>(Count);
    if (m_written == m_output.size() || m_written >= OutputBufferBytes) {
      m_output.erase(0, m_written);
      m_written = 0;
    }
  }
}

bool Http2Connection::wantsWrite() const {
  return m_written < m_output.size() ||
         nghttp2_session_want_write(m_session) != 0;
}

bool Http2Connection::isFinished() const {
  return m_written == m_output.size() &&
         nghttp2_session_want_write(m_session) == 0 &&
         nghttp2_session_want_read(m_session) == 0;
}

} // namespace turmericdyke::internal
