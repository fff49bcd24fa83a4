#include "turmericdyke/src/StandIn/StandInTarget.h"

#include <atomic>
#include <set>
#include <thread>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "turmericdyke/src/Base/HttpSyntax.h"
#include "turmericdyke/src/Base/Instant.h"
#include "turmericdyke/src/Base/ListenBacklog.h"
#include "turmericdyke/src/Base/LogLine.h"
#include "turmericdyke/src/Fleet/Order.h"

namespace turmericdyke {

namespace internal {
namespace {

using Json = nlohmann::json;

constexpr std::size_t ServerThreads = 64;
constexpr int CrashExitCode = 70;
constexpr absl::Duration MaxStall = absl::Seconds(30);
constexpr absl::Duration PollInterval = absl::Milliseconds(20);

bool matches(const std::string &Body, const std::string &Text) {
  return !Text.empty() && Body.find(Text) != std::string::npos;
}

/// Returns the prompt or the last message of a completion request.
std::string requestText(const Json &Body) {
  if (!Body.is_object())
    return "";
  auto Prompt = Body.find("prompt");
  if (Prompt != Body.end() && Prompt->is_string())
    return Prompt->get<std::string>();
  auto Messages = Body.find("messages");
  if (Messages == Body.end() || !Messages->is_array() || Messages->empty() ||
      !Messages->back().is_object())
    return "";
  auto Content = Messages->back().find("content");
  bool IsText = Content != Messages->back().end() && Content->is_string();
  return IsText ? Content->get<std::string>() : "";
}

std::string streamChunk(bool Chat, const std::string &Token, bool Last) {
  Json Choice = {{"index", 0}};
  if (Chat)
    Choice["delta"] = Last ? Json::object() : Json{{"content", Token}};
  else
    Choice["text"] = Last ? "" : Token;
  Choice["finish_reason"] = Last ? Json("stop") : Json(nullptr);
  return fmt::format(
      "data: {}\n\n",
      Json{{"object", "chunk"}, {"choices", Json::array({Choice})}}.dump());
}

std::string completeAnswer(bool Chat, const std::string &Echo,
                           std::int64_t Tokens) {
  std::string Text;
  for (std::int64_t Index = 0; Index < Tokens; ++Index)
    Text += standInToken(Index, Echo);
  Json Choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  return Json{{"object", "completion"},
              {"choices", Json::array({Choice})},
              {"usage", {{"completion_tokens", Tokens}}}}
      .dump();
}

} // namespace
} // namespace internal

class StandInTarget::Impl {
public:
  explicit Impl(StandInOptions Options);
  ~Impl() { crash(); }

  void crash();
  void stopServing();
  bool crashesOn(const httplib::Request &Request, httplib::Response &Response);
  void announceLoop();
  bool announceOnce();

  void onOrder(const httplib::Request &Request, httplib::Response &Response);
  void onCompletion(const httplib::Request &Request,
                    httplib::Response &Response, bool Chat);
  void onCancel(const httplib::Request &Request, httplib::Response &Response);
  void onServiceCall(const httplib::Request &Request,
                     httplib::Response &Response);
  bool stream(std::size_t Run, const std::string &Body, bool Chat,
              std::int64_t Tokens, httplib::DataSink &Sink);
  bool refuses(const httplib::Request &Request, httplib::Response &Response);
  std::size_t startRun(const httplib::Request &Request, std::string Text);
  void recordArrival();
  void finishRun(std::size_t Run, bool Whole);
  void stall(httplib::DataSink &Sink);
  void startLoading(const Order &Received)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);

  StandInOptions m_options;
  ListenBacklog m_backlog;
  httplib::Server m_server;
  std::thread m_serverThread;
  std::thread m_announceThread;
  std::atomic<bool> m_stopped{false};
  std::atomic<bool> m_announcing{true};
  std::size_t m_nextNode = 0;

  mutable absl::Mutex m_lock;
  TargetAnnouncement m_state ABSL_GUARDED_BY(m_lock);
  Instant m_loadedAt ABSL_GUARDED_BY(m_lock) = absl::InfiniteFuture();
  std::vector<StandInRun> m_runs ABSL_GUARDED_BY(m_lock);
  Instant m_lastArrival ABSL_GUARDED_BY(m_lock) = absl::InfinitePast();
  std::set<std::string> m_cancelledAttempts ABSL_GUARDED_BY(m_lock);
};

StandInTarget::Impl::Impl(StandInOptions Options)
    : m_options(std::move(Options)) {
  m_server.new_task_queue = [] {
    return new httplib::ThreadPool(internal::ServerThreads);
  };
  m_server.set_tcp_nodelay(true);
  m_server.set_socket_options([this](socket_t Socket) {
    httplib::default_socket_options(Socket);
    m_backlog.setSocket(Socket);
  });
  m_server.Post("/v1/orders", [this](const auto &Request, auto &Response) {
    onOrder(Request, Response);
  });
  m_server.Post("/v1/cancel", [this](const auto &Request, auto &Response) {
    onCancel(Request, Response);
  });
  m_server.Post("/v1/chat/completions",
                [this](const auto &Request, auto &Response) {
                  onCompletion(Request, Response, true);
                });
  m_server.Post("/v1/completions", [this](const auto &Request, auto &Response) {
    onCompletion(Request, Response, false);
  });
  m_server.Get("/stand-in/runs", [this](const auto &, auto &Response) {
    internal::Json Runs = internal::Json::array();
    absl::MutexLock Lock(&m_lock);
    for (const StandInRun &Run : m_runs)
      Runs.push_back({{"attempt", Run.m_attempt.str()},
                      {"path", Run.m_path},
                      {"idempotency_key", Run.m_idempotencyKey},
                      {"finished", Run.m_finished}});
    Response.set_content(Runs.dump(), "application/json");
  });
  m_server.Get(R"(/.*)", [this](const auto &Request, auto &Response) {
    onServiceCall(Request, Response);
  });
  m_server.Post(R"(/.*)", [this](const auto &Request, auto &Response) {
    onServiceCall(Request, Response);
  });
  int Port = m_server.bind_to_any_port("127.0.0.1");
  m_backlog.raise();
  {
    absl::MutexLock Lock(&m_lock);
    m_state.m_target = m_options.m_target;
    m_state.m_incarnation =
        static_cast<std::uint64_t>(absl::GetCurrentTimeNanos());
    m_state.m_host = m_options.m_host;
    m_state.m_fabricDomain = m_options.m_fabricDomain;
    m_state.m_failureDomain = m_options.m_failureDomain;
    m_state.m_accelerators = m_options.m_accelerators;
    m_state.m_address = fmt::format("127.0.0.1:{}", Port);
    m_state.m_kind = m_options.m_kind;
    m_state.m_service = m_options.m_service;
    m_state.m_engineBuild = m_options.m_engineBuild;
    m_state.m_checksFencing = m_options.m_checksFencing;
    m_state.m_state = m_options.m_kind == TargetKind::Service
                          ? TargetState::Ready
                          : TargetState::Idle;
  }
  m_serverThread = std::thread([this] { m_server.listen_after_bind(); });
  m_announceThread = std::thread([this] { announceLoop(); });
}

void StandInTarget::Impl::stopServing() {
  m_stopped = true;
  m_server.stop();
}

void StandInTarget::Impl::crash() {
  stopServing();
  if (m_serverThread.joinable())
    m_serverThread.join();
  if (m_announceThread.joinable())
    m_announceThread.join();
}

bool StandInTarget::Impl::crashesOn(const httplib::Request &Request,
                                    httplib::Response &Response) {
  if (!internal::matches(Request.body, m_options.m_crashText))
    return false;
  LogLine(LogLevel::Error, "stand_in_crash")
      .field("target", m_options.m_target);
  if (m_options.m_exitOnCrash)
    std::_Exit(internal::CrashExitCode);
  stopServing();
  // Breaks the connection before any part of the answer is sent.
  Response.set_content_provider(
      1, "text/plain",
      [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
  return true;
}

void StandInTarget::Impl::announceLoop() {
  while (!m_stopped) {
    if (m_announcing)
      announceOnce();
    Instant Until = monotonicNow() + m_options.m_announceInterval;
    while (!m_stopped && monotonicNow() < Until)
      absl::SleepFor(internal::PollInterval);
  }
}

bool StandInTarget::Impl::announceOnce() {
  if (m_options.m_nodes.empty())
    return false;
  std::string Body;
  {
    absl::MutexLock Lock(&m_lock);
    if (m_state.m_state == TargetState::Loading && monotonicNow() >= m_loadedAt)
      m_state.m_state = TargetState::Ready;
    ++m_state.m_sequence;
    Body = toJson(m_state).dump();
  }
  httplib::Client Client(
      "http://" + m_options.m_nodes[m_nextNode % m_options.m_nodes.size()]);
  Client.set_connection_timeout(std::chrono::milliseconds(300));
  Client.set_read_timeout(std::chrono::milliseconds(700));
  httplib::Headers Headers = {
      {"Authorization", "Bearer " + m_options.m_targetKey}};
  httplib::Result Answer =
      Client.Post("/v1/targets/announce", Headers, Body, "application/json");
  if (Answer && isFinalResponse(Answer->status, Answer->headers) &&
      Answer->status == 200)
    return true;
  ++m_nextNode;
  return false;
}

void StandInTarget::Impl::startLoading(const Order &Received) {
  bool SameWeights = m_state.m_spec == Received.m_spec &&
                     m_state.m_state == TargetState::Ready;
  m_state.m_spec = Received.m_spec;
  m_state.m_membership = Received.m_membership;
  m_state.m_state = SameWeights ? TargetState::Ready : TargetState::Loading;
  m_loadedAt = monotonicNow() + m_options.m_loadTime;
}

void StandInTarget::Impl::onOrder(const httplib::Request &Request,
                                  httplib::Response &Response) {
  internal::Json Body = internal::Json::parse(Request.body, nullptr, false);
  Result<Order, FleetError> Parsed = parseOrder(Body);
  if (!Parsed) {
    Response.status = 400;
    return;
  }
  const Order &Received = Parsed.value();
  absl::MutexLock Lock(&m_lock);
  bool Stale = m_options.m_checksFencing &&
               Received.m_fencingToken < m_state.m_highestFencingToken;
  if (Stale || Received.m_incarnation != m_state.m_incarnation) {
    Response.status = 409;
    Response.set_content(toJson(m_state).dump(), "application/json");
    return;
  }
  m_state.m_highestFencingToken =
      std::max(m_state.m_highestFencingToken, Received.m_fencingToken);
  switch (Received.m_kind) {
  case OrderKind::Join:
    startLoading(Received);
    break;
  case OrderKind::Release:
    m_state.m_membership = {};
    m_state.m_state = TargetState::Idle;
    break;
  case OrderKind::Drain:
    m_state.m_state = TargetState::Draining;
    break;
  }
  Response.set_content(toJson(m_state).dump(), "application/json");
}

void StandInTarget::Impl::onCancel(const httplib::Request &Request,
                                   httplib::Response &Response) {
  internal::Json Body = internal::Json::parse(Request.body, nullptr, false);
  if (!Body.is_object() || !Body.contains("attempt") ||
      !Body["attempt"].is_string()) {
    Response.status = 400;
    return;
  }
  absl::MutexLock Lock(&m_lock);
  m_cancelledAttempts.insert(Body["attempt"].get<std::string>());
  Response.set_content("{}", "application/json");
}

bool StandInTarget::Impl::refuses(const httplib::Request &Request,
                                  httplib::Response &Response) {
  absl::MutexLock Lock(&m_lock);
  const ReplicaMembership &Membership = m_state.m_membership;
  bool Member = Request.get_header_value("X-Turmericdyke-Replica") ==
                    Membership.m_replica.str() &&
                Request.get_header_value("X-Turmericdyke-Generation") ==
                    fmt::format("{}", Membership.m_generation);
  if (m_state.m_state == TargetState::Ready &&
      (Member || m_state.m_kind == TargetKind::Service))
    return false;
  Response.status = 409;
  Response.set_header("X-Turmericdyke-Outcome", "not_run");
  return true;
}

std::size_t StandInTarget::Impl::startRun(const httplib::Request &Request,
                                          std::string Text) {
  StandInRun Run;
  Run.m_attempt = AttemptId(Request.get_header_value("X-Turmericdyke-Attempt"));
  Run.m_path = Request.path;
  Run.m_idempotencyKey = Request.get_header_value("Idempotency-Key");
  Run.m_request = RequestId(Request.get_header_value("X-Turmericdyke-Request"));
  Run.m_text = std::move(Text);
  absl::MutexLock Lock(&m_lock);
  m_runs.push_back(std::move(Run));
  ++m_state.m_load.m_running;
  return m_runs.size() - 1;
}

void StandInTarget::Impl::recordArrival() {
  absl::MutexLock Lock(&m_lock);
  m_lastArrival = monotonicNow();
}

void StandInTarget::Impl::finishRun(std::size_t Run, bool Whole) {
  absl::MutexLock Lock(&m_lock);
  m_runs[Run].m_finished = Whole;
  --m_state.m_load.m_running;
}

void StandInTarget::Impl::stall(httplib::DataSink &Sink) {
  Instant Until = monotonicNow() + internal::MaxStall;
  while (!m_stopped && monotonicNow() < Until && Sink.is_writable())
    absl::SleepFor(internal::PollInterval);
}

bool StandInTarget::Impl::stream(std::size_t Run, const std::string &Body,
                                 bool Chat, std::int64_t Tokens,
                                 httplib::DataSink &Sink) {
  std::string Attempt;
  std::string Echo;
  {
    absl::MutexLock Lock(&m_lock);
    Attempt = m_runs[Run].m_attempt.str();
    if (m_options.m_echo)
      Echo = m_runs[Run].m_text;
  }
  for (std::int64_t Index = 0; Index < Tokens; ++Index) {
    absl::SleepFor(m_options.m_tokenInterval);
    bool Cancelled = false;
    {
      absl::MutexLock Lock(&m_lock);
      Cancelled = m_cancelledAttempts.count(Attempt) != 0;
    }
    std::string Chunk =
        internal::streamChunk(Chat, standInToken(Index, Echo), false);
    if (m_stopped || Cancelled || !Sink.is_writable() ||
        !Sink.write(Chunk.data(), Chunk.size()))
      return false;
    if (Index == Tokens / 2 && internal::matches(Body, m_options.m_stallText)) {
      stall(Sink);
      return false;
    }
    if (Index == Tokens / 2 &&
        internal::matches(Body, m_options.m_earlyEndText)) {
      Sink.done();
      return true;
    }
  }
  std::string End = internal::streamChunk(Chat, "", true) + "data: [DONE]\n\n";
  if (!Sink.write(End.data(), End.size()))
    return false;
  finishRun(Run, true);
  Sink.done();
  return true;
}

void StandInTarget::Impl::onCompletion(const httplib::Request &Request,
                                       httplib::Response &Response, bool Chat) {
  recordArrival();
  std::string Attempt = Request.get_header_value("X-Turmericdyke-Attempt");
  if (internal::matches(Request.body, m_options.m_wrongAttemptText))
    Attempt = "crossed";
  Response.set_header("X-Turmericdyke-Attempt", Attempt);
  if (refuses(Request, Response))
    return;
  if (crashesOn(Request, Response))
    return;
  internal::Json Body = internal::Json::parse(Request.body, nullptr, false);
  std::int64_t Tokens = m_options.m_tokens;
  if (Body.is_object() && Body.contains("max_tokens") &&
      Body["max_tokens"].is_number_integer())
    Tokens = Body["max_tokens"].get<std::int64_t>();
  std::string Text = internal::requestText(Body);
  std::size_t Run = startRun(Request, Text);
  bool Stream = Body.is_object() && Body.value("stream", false);
  if (!Stream) {
    absl::SleepFor(m_options.m_tokenInterval * Tokens);
    Response.set_content(
        internal::completeAnswer(Chat, m_options.m_echo ? Text : "", Tokens),
        "application/json");
    finishRun(Run, true);
    return;
  }
  Response.set_chunked_content_provider(
      "text/event-stream",
      [this, Run, Text = Request.body, Chat, Tokens](std::size_t,
                                                     httplib::DataSink &Sink) {
        return stream(Run, Text, Chat, Tokens, Sink);
      },
      [this, Run](bool) {
        absl::MutexLock Lock(&m_lock);
        if (!m_runs[Run].m_finished)
          --m_state.m_load.m_running;
      });
}

void StandInTarget::Impl::onServiceCall(const httplib::Request &Request,
                                        httplib::Response &Response) {
  recordArrival();
  Response.set_header("X-Turmericdyke-Attempt",
                      Request.get_header_value("X-Turmericdyke-Attempt"));
  if (m_options.m_kind != TargetKind::Service) {
    Response.status = 404;
    return;
  }
  if (crashesOn(Request, Response))
    return;
  std::size_t Run = startRun(Request, Request.body);
  absl::SleepFor(m_options.m_tokenInterval);
  finishRun(Run, true);
  internal::Json Answer = {{"service", m_options.m_service.str()},
                           {"run", Run + 1}};
  if (m_options.m_echo)
    Answer["echo"] = Request.body;
  Response.set_content(Answer.dump(), "application/json");
}

std::string standInToken(std::int64_t Index, std::string_view Text) {
  return Text.empty() ? fmt::format("token{} ", Index)
                      : fmt::format("token{}:{} ", Index, Text);
}

StandInTarget::StandInTarget(StandInOptions Options)
    : m_impl(std::make_unique<Impl>(std::move(Options))) {}

StandInTarget::~StandInTarget() = default;

std::string StandInTarget::address() const { return announcement().m_address; }

void StandInTarget::crash() { m_impl->crash(); }

bool StandInTarget::crashed() const { return m_impl->m_stopped; }

void StandInTarget::setAnnouncing(bool Announcing) {
  m_impl->m_announcing = Announcing;
}

void StandInTarget::leave() {
  {
    absl::MutexLock Lock(&m_impl->m_lock);
    m_impl->m_state.m_state = TargetState::Leaving;
  }
  m_impl->announceOnce();
}

void StandInTarget::setEngineBuild(std::string Build) {
  absl::MutexLock Lock(&m_impl->m_lock);
  m_impl->m_state.m_engineBuild = std::move(Build);
}

std::vector<StandInRun> StandInTarget::runs() const {
  absl::MutexLock Lock(&m_impl->m_lock);
  return m_impl->m_runs;
}

Instant StandInTarget::lastArrival() const {
  absl::MutexLock Lock(&m_impl->m_lock);
  return m_impl->m_lastArrival;
}

std::size_t StandInTarget::cancelled() const {
  absl::MutexLock Lock(&m_impl->m_lock);
  return m_impl->m_cancelledAttempts.size();
}

TargetAnnouncement StandInTarget::announcement() const {
  absl::MutexLock Lock(&m_impl->m_lock);
  return m_impl->m_state;
}

} // namespace turmericdyke
