#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "turmericdyke/Http"

using namespace turmericdyke;

namespace {

/// Records the events of a reader.
struct RecordedEvents : HttpReaderEvents {
  bool onHead() override {
    ++m_heads;
    return true;
  }
  void onBody(std::string_view Bytes) override { m_body.append(Bytes); }
  void onMessageEnd() override { ++m_ends; }

  int m_heads = 0;
  int m_ends = 0;
  std::string m_body;
};

HttpReadStatus readAll(HttpReader &Reader, std::string_view Bytes) {
  HttpReadStatus Status = HttpReadStatus::NeedsMore;
  while (!Bytes.empty()) {
    std::size_t Consumed = 0;
    Status = Reader.feed(Bytes, Consumed);
    if (Status != HttpReadStatus::MessageEnded &&
        Status != HttpReadStatus::NeedsMore)
      return Status;
    Bytes.remove_prefix(std::min(Consumed, Bytes.size()));
  }
  return Status;
}

} // namespace

// Guards against request smuggling.
TEST_CASE("ambiguous framing is rejected") {
  const std::string Post = "POST / HTTP/1.1\r\n";
  for (const std::string &Head :
       {Post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        Post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
        Post + "Content-Length: +3\r\n\r\n",
        Post + "Content-Length : 3\r\n\r\nabc", Post + "Bad Name: x\r\n\r\n",
        std::string("nonsense\r\n\r\n")}) {
    CAPTURE(Head);
    RecordedEvents Events;
    HttpReader Reader(HttpReader::Side::Requests, Events);
    CHECK(readAll(Reader, Head) == HttpReadStatus::Malformed);
    CHECK(Events.m_ends == 0);
  }
}

TEST_CASE("messages are separated correctly however the bytes are split") {
  const std::string Two = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: "
                          "4\r\n\r\nbody"
                          "POST /b HTTP/1.1\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  CHECK(rc::check("cuts", [&Two](const std::vector<std::uint8_t> &Cuts) {
    RecordedEvents Events;
    HttpReader Reader(HttpReader::Side::Requests, Events);
    std::size_t At = 0;
    for (std::uint8_t Cut : Cuts) {
      std::size_t Size = std::min<std::size_t>(Cut, Two.size() - At);
      readAll(Reader, std::string_view(Two).substr(At, Size));
      At += Size;
    }
    readAll(Reader, std::string_view(Two).substr(At));
    RC_ASSERT(Events.m_heads == 2);
    RC_ASSERT(Events.m_ends == 2);
    RC_ASSERT(Events.m_body == "bodyabc");
  }));
}

TEST_CASE("a header over the limit is rejected") {
  RecordedEvents Events;
  HttpReader Reader(HttpReader::Side::Requests, Events);
  Reader.setMaxHeadBytes(100);
  std::string Long = "GET / HTTP/1.1\r\nX: " + std::string(200, 'x');
  CHECK(readAll(Reader, Long) == HttpReadStatus::HeadTooLarge);
}

TEST_CASE("a body without a length ends with the connection") {
  RecordedEvents Events;
  HttpReader Reader(HttpReader::Side::Responses, Events);
  readAll(Reader, "HTTP/1.1 200 OK\r\n\r\npart");
  CHECK(Reader.response().m_endsWithConnection);
  CHECK(Events.m_ends == 0);
  CHECK(Reader.endOfInput());
  CHECK(Events.m_ends == 1);
}

TEST_CASE("a body with a length is truncated by the end of the connection") {
  RecordedEvents Events;
  HttpReader Reader(HttpReader::Side::Responses, Events);
  readAll(Reader, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  CHECK_FALSE(Reader.endOfInput());
}

TEST_CASE(
    "hop-by-hop headers are removed, including those that Connection names") {
  HttpFields Fields = {{"Connection", "close, X-Hop"},
                       {"x-hop", "1"},
                       {"Transfer-Encoding", "chunked"},
                       {"Keep", "2"}};
  Fields.removeHopByHop();
  REQUIRE(Fields.lines().size() == 1);
  CHECK(Fields.find("KEEP") == "2");
}

// Guards against framing without end, which holds a connection and a processor
// although no byte of a body arrives.
TEST_CASE("extensions of chunks and trailers have a bound, one-byte chunks "
          "have none") {
  const std::string Head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  auto Read = [&Head](const std::string &Part) {
    RecordedEvents Events;
    HttpReader Reader(HttpReader::Side::Responses, Events);
    HttpReadStatus Status = readAll(Reader, Head);
    for (std::size_t Bytes = 0;
         Bytes < (256 << 10) && Status == HttpReadStatus::NeedsMore;
         Bytes += Part.size())
      Status = readAll(Reader, Part);
    return Status;
  };
  CHECK(Read("1;" + std::string(1000, 'e') + "\r\nx\r\n") ==
        HttpReadStatus::Malformed);
  CHECK(Read("1\r\nx\r\n") == HttpReadStatus::NeedsMore);
  RecordedEvents Events;
  HttpReader Reader(HttpReader::Side::Responses, Events);
  REQUIRE(readAll(Reader, Head + "1\r\nx\r\n5;") == HttpReadStatus::NeedsMore);
  HttpReadStatus Status = HttpReadStatus::NeedsMore;
  for (int At = 0; At < 256 && Status == HttpReadStatus::NeedsMore; ++At)
    Status = readAll(Reader, std::string(1 << 10, 'e'));
  CHECK(Status == HttpReadStatus::Malformed);
}

// Guards against a check that depends on how the bytes of a head arrive.
TEST_CASE("a response is rejected or accepted however its bytes are split") {
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  const std::string End = "Content-Length: 2\r\n\r\n b";
  auto ReadSplit = [](const std::string &Bytes, std::size_t At,
                      RecordedEvents &Events) {
    HttpReader Reader(HttpReader::Side::Responses, Events);
    HttpReadStatus Status = readAll(Reader, Bytes.substr(0, At));
    return Status == HttpReadStatus::Malformed
               ? Status
               : readAll(Reader, Bytes.substr(At));
  };
  const std::vector<std::string> Broken = {
      "HTTP/1.1 000 X\r\n" + End,
      Ok + "Bad Name: 1\r\n" + End,
      Ok + "Trailing : 1\r\n" + End,
      Ok + " Leading: 1\r\n" + End,
      Ok + "Sound: 1\r\n Leading: 1\r\n" + End,
      Ok + "Empty:\r\n\tLeading: 1\r\n" + End};
  for (const std::string &Bytes : Broken)
    for (std::size_t At = 1; At < Bytes.size(); ++At) {
      CAPTURE(Bytes);
      CAPTURE(At);
      RecordedEvents Events;
      CHECK(ReadSplit(Bytes, At, Events) == HttpReadStatus::Malformed);
      CHECK(Events.m_heads == 0);
    }
  const std::string Sound = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
                            Ok + "Empty:\r\nPadded: \t 1 \t\r\n" + End;
  for (std::size_t At = 1; At < Sound.size(); ++At) {
    CAPTURE(At);
    RecordedEvents Events;
    CHECK(ReadSplit(Sound, At, Events) == HttpReadStatus::MessageEnded);
    CHECK(Events.m_heads == 2);
    CHECK(Events.m_body == " b");
  }
}
