#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include "turmericdyke/Base"
#include "turmericdyke/src/Base/Text.h"

using namespace turmericdyke;

TEST_CASE("text helpers") {
  CHECK(equalsIgnoreCase("Retry-After", "retry-after"));
  CHECK_FALSE(equalsIgnoreCase("a", "ab"));
  CHECK(trimmed(" \tx y\r\n") == "x y");
  CHECK(splitList("a, ,b", ',') == std::vector<std::string_view>{"a", "b"});
  CHECK(parseInteger("-12") == -12);
  CHECK_FALSE(parseInteger("12x"));
  CHECK_FALSE(parseInteger(""));
  CHECK_FALSE(parseInteger("99999999999999999999"));
}

// Guards against a node that blocks because nobody reads its log.
TEST_CASE("a full pipe drops lines instead of blocking") {
  int Pipe[2];
  REQUIRE(pipe(Pipe) == 0);
  LogSink Sink(Pipe[1]);
  Instant Start = monotonicNow();
  std::string Line(1000, 'x');
  Line.back() = '\n';
  for (int At = 0; At < 2000; ++At)
    Sink.append(Line, true);
  CHECK(monotonicNow() - Start < absl::Seconds(2));
  CHECK(Sink.dropped() > 0);
  // Once the pipe is read, the log reports the dropped lines.
  std::string Read;
  char Buffer[65536];
  for (int Round = 0; Round < 100; ++Round) {
    Sink.flush();
    fcntl(Pipe[0], F_SETFL, O_NONBLOCK);
    ssize_t Count = read(Pipe[0], Buffer, sizeof Buffer);
    if (Count > 0)
      Read.append(Buffer, static_cast<std::size_t>(Count));
  }
  Sink.append("last\n", true);
  Sink.flush();
  ssize_t Count = read(Pipe[0], Buffer, sizeof Buffer);
  REQUIRE(Count > 0);
  Read.append(Buffer, static_cast<std::size_t>(Count));
  CHECK(Read.find("event=log_lines_dropped") != std::string::npos);
  close(Pipe[0]);
  close(Pipe[1]);
}

// Guards against a log whose rate grows without bound under load.
TEST_CASE("ordinary lines are limited in rate, important ones are not") {
  int Pipe[2];
  REQUIRE(pipe(Pipe) == 0);
  LogSink Sink(Pipe[1]);
  Sink.setBuffering(true);
  int Lines = static_cast<int>(LogSink::BurstLines) + 200;
  for (int At = 0; At < Lines; ++At)
    Sink.append("x\n", false);
  std::uint64_t Dropped = Sink.dropped();
  CHECK(Dropped > 0);
  Sink.append("important\n", true);
  CHECK(Sink.dropped() == Dropped);
  close(Pipe[0]);
  close(Pipe[1]);
}
