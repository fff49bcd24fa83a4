#include "LiveLoad.h"

#include <future>

#include <fmt/format.h>

#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

using namespace turmericdyke;

namespace {

constexpr int ChatThreads = 4;
constexpr int CallThreads = 2;
constexpr absl::Duration ChatPause = absl::Milliseconds(20);
constexpr absl::Duration CallPause = absl::Milliseconds(50);
constexpr absl::Duration ChangePause = absl::Milliseconds(300);
constexpr absl::Duration ObservePause = absl::Milliseconds(200);
constexpr absl::Duration CallTimeout = absl::Seconds(15);
/// How long an operator retries a change whose outcome is unknown.
constexpr absl::Duration ResolveTimeout = absl::Seconds(30);

httplib::Headers callerHeaders() {
  return {{"Authorization", fmt::format("Bearer {}", CallerKey)}};
}

/// Reads the tokens of an event stream. The answer is complete if it contains a
/// finish reason, then the end marker, and no error.
void readStream(const std::string &Body, CallerRecord &Record) {
  bool Finished = false;
  for (absl::string_view Event : absl::StrSplit(Body, "\n\n")) {
    bool Error = Event.substr(0, 12) == "event: error";
    std::size_t Data = Event.find("data: ");
    if (Data == absl::string_view::npos)
      continue;
    std::string Text(Event.substr(Data + 6));
    if (Text == "[DONE]") {
      Record.m_complete = Finished;
      continue;
    }
    Record.m_complete = false;
    Json Chunk = Json::parse(Text, nullptr, false);
    if (Error) {
      Record.m_outcome = Chunk["error"]["outcome"];
      return;
    }
    if (!Chunk.is_object())
      return;
    const Json &Choice = Chunk["choices"][0];
    Record.m_body += Choice["delta"].value("content", "");
    Finished = Choice["finish_reason"] == "stop";
  }
}

void readRefusal(const httplib::Response &Answer, CallerRecord &Record) {
  Json Body = Json::parse(Answer.body, nullptr, false);
  if (!Body.is_object() || !Body.contains("error"))
    return;
  Record.m_outcome = Body["error"].value("outcome", "");
  Record.m_request = Body["error"].value("request", "");
  Record.m_body = Answer.body;
}

} // namespace

CallerRecord sendChat(const LiveCluster &Cluster, std::size_t Node,
                      const std::string &Text, int Tokens,
                      absl::Duration Timeout) {
  CallerRecord Record;
  Record.m_text = Text;
  Record.m_node = Node;
  Record.m_tokens = Tokens;
  Record.m_sent = monotonicNow();
  Json Message = {{"role", "user"}, {"content", Text}};
  Json Body = {{"messages", Json::array({Message})},
               {"stream", true},
               {"max_tokens", Tokens}};
  httplib::Result Answer = clientOf(Cluster.callerAddress(Node), Timeout)
                               ->Post("/v1/chat/completions", callerHeaders(),
                                      Body.dump(), "application/json");
  if (!Answer)
    return Record;
  Record.m_status = Answer->status;
  if (Answer->status != 200) {
    readRefusal(*Answer, Record);
    return Record;
  }
  Record.m_request = Answer->get_header_value("X-Turmericdyke-Request");
  readStream(Answer->body, Record);
  return Record;
}

std::string callBody(const std::string &Key) {
  return Json{{"slot", Key}}.dump();
}

CallerRecord sendCall(const LiveCluster &Cluster, std::size_t Node,
                      const std::string &Key) {
  CallerRecord Record;
  Record.m_text = Key;
  Record.m_node = Node;
  Record.m_sent = monotonicNow();
  httplib::Headers Headers = callerHeaders();
  Headers.emplace("Idempotency-Key", Key);
  httplib::Result Answer = clientOf(Cluster.callerAddress(Node), CallTimeout)
                               ->Post("/v1/services/booking/bookings", Headers,
                                      callBody(Key), "application/json");
  if (!Answer)
    return Record;
  Record.m_status = Answer->status;
  if (Answer->status != 200) {
    readRefusal(*Answer, Record);
    return Record;
  }
  Record.m_complete = true;
  Record.m_request = Answer->get_header_value("X-Turmericdyke-Request");
  Record.m_body = Answer->body;
  return Record;
}

std::string expectedAnswer(const std::string &Text, int Tokens) {
  std::string Answer;
  for (int Index = 0; Index < Tokens; ++Index)
    Answer += standInToken(Index, Text);
  return Answer;
}

LiveLoad::LiveLoad(const LiveCluster &Cluster) : m_cluster(Cluster) {
  for (int Thread = 0; Thread < ChatThreads; ++Thread)
    m_threads.emplace_back([this, Thread] { runChats(Thread); });
  for (int Thread = 0; Thread < CallThreads; ++Thread)
    m_threads.emplace_back([this, Thread] { runCalls(Thread); });
  m_threads.emplace_back([this] { runOperator(); });
  for (std::size_t Node = 0; Node < NodeCount; ++Node)
    m_threads.emplace_back([this, Node] { pollNode(Node); });
}

LiveLoad::~LiveLoad() { stop(); }

void LiveLoad::stop() {
  m_stop = true;
  for (std::thread &Thread : m_threads)
    Thread.join();
  m_threads.clear();
}

void LiveLoad::recordCrash(const std::string &Target) {
  absl::MutexLock Lock(&m_lock);
  m_crashes[Target] = monotonicNow();
}

void LiveLoad::addChat(CallerRecord Record) {
  absl::MutexLock Lock(&m_lock);
  m_chats.push_back(std::move(Record));
}

void LiveLoad::addCall(CallerRecord Record) {
  absl::MutexLock Lock(&m_lock);
  m_calls.push_back(std::move(Record));
}

void LiveLoad::runChats(int Thread) {
  for (int Number = 0; !m_stop; ++Number) {
    auto Node = static_cast<std::size_t>(Thread + Number) % NodeCount;
    addChat(sendChat(m_cluster, Node, fmt::format("chat-{}-{}", Thread, Number),
                     ChatTokens));
    absl::SleepFor(ChatPause);
  }
}

void LiveLoad::runCalls(int Thread) {
  for (int Number = 0; !m_stop; ++Number) {
    std::string Key = fmt::format("call-{}-{}", Thread, Number);
    auto First = static_cast<std::size_t>(Thread + Number) % NodeCount;
    auto Send = [&](std::size_t Offset) {
      return sendCall(m_cluster, (First + Offset) % NodeCount, Key);
    };
    auto Racing = std::async(std::launch::async, Send, 1);
    addCall(Send(0));
    addCall(Racing.get());
    addCall(Send(2));
  }
}

void LiveLoad::runOperator() {
  for (int Round = 0; !m_stop; ++Round) {
    auto Node = static_cast<std::size_t>(Round) % NodeCount;
    std::optional<Json> Declared = m_cluster.get(Node, "/v1/declaration");
    if (Declared) {
      std::uint64_t Base = (*Declared)["revision"];
      auto Resolve = [&](const char *Author, std::size_t First) {
        resolveChange(fmt::format("{}-{}", Author, Round), Base,
                      60 + Round % 30, First);
      };
      auto Racing = std::async(std::launch::async, Resolve, "bob",
                               (Node + 1) % NodeCount);
      Resolve("ann", Node);
      Racing.get();
    }
    absl::SleepFor(ChangePause);
  }
}

void LiveLoad::resolveChange(const std::string &ChangeId, std::uint64_t Base,
                             int DeadlineSeconds, std::size_t FirstNode) {
  Instant Until = monotonicNow() + ResolveTimeout;
  int Outcomes = 0;
  // The second outcome is that of sending the change again through another
  // node.
  for (std::size_t Node = FirstNode; Outcomes < 2 && monotonicNow() < Until;
       Node = (Node + 1) % NodeCount) {
    auto Answer = m_cluster.change(Node, ChangeId, Base, DeadlineSeconds);
    bool Resolved = Answer && (Answer->first == 200 || Answer->first == 409);
    if (!Resolved) {
      absl::SleepFor(CallPause);
      continue;
    }
    ++Outcomes;
    const Json &Body = Answer->second;
    ChangeRecord Record;
    Record.m_changeId = ChangeId;
    Record.m_base = Base;
    Record.m_result = Body["result"];
    Record.m_revision = Body.value("revision", std::uint64_t{0});
    Record.m_detail = Body.value("winning_change_id", "");
    Record.m_answered = monotonicNow();
    absl::MutexLock Lock(&m_lock);
    m_changes.push_back(std::move(Record));
  }
}

void LiveLoad::pollNode(std::size_t Node) {
  while (!m_stop) {
    NodeObservation Observed;
    Observed.m_node = Node;
    Observed.m_start = m_starts[Node];
    Observed.m_asked = monotonicNow();
    std::optional<Json> Status = m_cluster.get(Node, "/v1/status");
    std::optional<Json> History = m_cluster.get(Node, "/v1/history");
    // If the node was restarted in between, the documents are those of two
    // processes.
    if (Status && History && Observed.m_start == m_starts[Node]) {
      Observed.m_status = std::move(*Status);
      Observed.m_history = std::move(*History);
      absl::MutexLock Lock(&m_lock);
      m_observations.push_back(std::move(Observed));
    }
    absl::SleepFor(ObservePause);
  }
}

std::size_t LiveLoad::answered() const {
  absl::MutexLock Lock(&m_lock);
  std::size_t Count = 0;
  for (const CallerRecord &Record : m_chats)
    Count += Record.m_complete ? 1 : 0;
  return Count;
}

std::vector<CallerRecord> LiveLoad::chats() const {
  absl::MutexLock Lock(&m_lock);
  return m_chats;
}

std::vector<CallerRecord> LiveLoad::calls() const {
  absl::MutexLock Lock(&m_lock);
  return m_calls;
}

std::vector<ChangeRecord> LiveLoad::changes() const {
  absl::MutexLock Lock(&m_lock);
  return m_changes;
}

std::vector<NodeObservation> LiveLoad::observations() const {
  absl::MutexLock Lock(&m_lock);
  return m_observations;
}

std::map<std::string, Instant> LiveLoad::crashes() const {
  absl::MutexLock Lock(&m_lock);
  return m_crashes;
}
