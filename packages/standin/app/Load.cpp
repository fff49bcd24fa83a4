// Sends streamed completion requests and prints the latencies measured by the
// caller. With --replica it calls a stand-in target directly, which gives the
// baseline for the overhead of a node.

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "absl/synchronization/mutex.h"
#include "turmericdyke/Base"

DEFINE_string(address, "127.0.0.1:8080", "IP:port of the node, or of a target");
DEFINE_string(key, "demo-key", "bearer key of the customer");
DEFINE_string(replica, "", "call a target of this replica directly");
DEFINE_string(generation, "", "generation of that replica");
DEFINE_int32(requests, 1000, "number of requests");
DEFINE_int32(concurrency, 1, "concurrent requests, each on its own connection");
DEFINE_int32(tokens, 16, "tokens per answer");

using namespace turmericdyke;

namespace {

struct Latencies {
  absl::Mutex m_lock;
  std::vector<double> m_firstMs ABSL_GUARDED_BY(m_lock);
  std::vector<double> m_wholeMs ABSL_GUARDED_BY(m_lock);
  std::int64_t m_failed ABSL_GUARDED_BY(m_lock) = 0;
};

httplib::Request makeRequest(int Number) {
  httplib::Request Request;
  Request.method = "POST";
  Request.path = "/v1/chat/completions";
  Request.headers = {{"Authorization", "Bearer " + FLAGS_key},
                     {"Accept-Encoding", "identity"}};
  if (!FLAGS_replica.empty()) {
    Request.set_header("X-Turmericdyke-Replica", FLAGS_replica);
    Request.set_header("X-Turmericdyke-Generation", FLAGS_generation);
    Request.set_header("X-Turmericdyke-Attempt",
                       fmt::format("direct-{}", Number));
  }
  nlohmann::json Message = {{"role", "user"}, {"content", "hello"}};
  Request.body = nlohmann::json{
      {"messages", nlohmann::json::array({Message})},
      {"stream", true},
      {"max_tokens",
       FLAGS_tokens}}.dump();
  return Request;
}

void callOnce(httplib::Client &Client, int Number, Latencies &Seen) {
  httplib::Request Request = makeRequest(Number);
  Instant Start = monotonicNow();
  Instant First = Start;
  std::string Body;
  Request.content_receiver = [&](const char *Bytes, std::size_t Count,
                                 std::uint64_t, std::uint64_t) {
    if (Body.empty())
      First = monotonicNow();
    Body.append(Bytes, Count);
    return true;
  };
  httplib::Result Answer = Client.send(Request);
  Instant End = monotonicNow();
  bool Whole = Answer && Answer->status == 200 &&
               isFinalResponse(Answer->status, Answer->headers) &&
               Body.find("data: [DONE]\n\n") != std::string::npos;
  absl::MutexLock Lock(&Seen.m_lock);
  if (!Whole) {
    ++Seen.m_failed;
    return;
  }
  Seen.m_firstMs.push_back(absl::ToDoubleMilliseconds(First - Start));
  Seen.m_wholeMs.push_back(absl::ToDoubleMilliseconds(End - Start));
}

void runWorker(std::atomic<int> &Next, Latencies &Seen) {
  httplib::Client Client("http://" + FLAGS_address);
  Client.set_keep_alive(true);
  Client.set_tcp_nodelay(true);
  Client.set_read_timeout(std::chrono::seconds(60));
  for (int Number = Next++; Number < FLAGS_requests; Number = Next++)
    callOnce(Client, Number, Seen);
}

double percentile(std::vector<double> &Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[std::min(
      Values.size() - 1,
      static_cast<std::size_t>(Share * static_cast<double>(Values.size())))];
}

void printRow(std::string_view Name, std::vector<double> &Values) {
  fmt::print("{} p50={:.3f} p95={:.3f} p99={:.3f}\n", Name,
             percentile(Values, 0.5), percentile(Values, 0.95),
             percentile(Values, 0.99));
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  Latencies Seen;
  std::atomic<int> Next{0};
  Instant Start = monotonicNow();
  std::vector<std::thread> Workers;
  Workers.reserve(static_cast<std::size_t>(FLAGS_concurrency));
  for (int Worker = 0; Worker < FLAGS_concurrency; ++Worker)
    Workers.emplace_back([&] { runWorker(Next, Seen); });
  for (std::thread &Worker : Workers)
    Worker.join();
  double Seconds = absl::ToDoubleSeconds(monotonicNow() - Start);
  absl::MutexLock Lock(&Seen.m_lock);
  auto Whole = static_cast<double>(Seen.m_wholeMs.size());
  fmt::print("whole={} failed={} seconds={:.2f} requests_per_second={:.0f} "
             "tokens_per_second={:.0f}\n",
             Whole, Seen.m_failed, Seconds, Whole / Seconds,
             Whole * FLAGS_tokens / Seconds);
  printRow("first_token_ms", Seen.m_firstMs);
  printRow("whole_ms", Seen.m_wholeMs);
  return Seen.m_failed == 0 ? 0 : 1;
}
