#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "turmericdyke/Base"

using namespace turmericdyke;

TEST_CASE("a key hash matches only its own key, also after a round trip "
          "through text") {
  KeyHash Hash = KeyHash::make("key-1", "0123456789abcdef");
  std::optional<KeyHash> Read = KeyHash::parse(Hash.text());
  REQUIRE(Read.has_value());
  CHECK(Read->matches("key-1"));
  CHECK_FALSE(Read->matches("key-2"));
  CHECK_FALSE(Read->matches(""));
}

TEST_CASE(
    "malformed key hashes are rejected instead of matching an empty digest") {
  CHECK_FALSE(KeyHash::parse("").has_value());
  CHECK_FALSE(KeyHash::parse("sha256::").has_value());
  CHECK_FALSE(KeyHash::parse("sha256:00:zz").has_value());
  CHECK_FALSE(KeyHash::parse("md5:00:00").has_value());
}

TEST_CASE("CRC-32C has the published check value") {
  CHECK(crc32c("123456789") == 0xE3069283u);
}

TEST_CASE("parsing arbitrary text as a key hash does not crash") {
  CHECK(rc::check([](const std::string &Text) { (void)KeyHash::parse(Text); }));
}

TEST_CASE("metrics keep series with different labels apart and write "
          "cumulative buckets") {
  MetricsRegistry Metrics;
  Metrics.increment("refused_total", {{"customer", "a"}});
  Metrics.increment("refused_total", {{"customer", "b"}}, 2);
  Metrics.observe("wait_seconds", 0.5, {{"customer", "a"}});
  Metrics.observe("wait_seconds", 5000, {{"customer", "a"}});
  CHECK(Metrics.value("refused_total", {{"customer", "a"}}) == 1);
  std::string Text = Metrics.prometheusText();
  CHECK(Text.find("refused_total{customer=\"b\"} 2\n") != std::string::npos);
  CHECK(Text.find("wait_seconds_bucket{customer=\"a\",le=\"+Inf\"} 2\n") !=
        std::string::npos);
  CHECK(Text.find("wait_seconds_bucket{customer=\"a\",le=\"1000\"} 1\n") !=
        std::string::npos);
}

// Guards against corrupted documents and against input that decompresses
// without bound.
TEST_CASE("decompression restores the compressed bytes, within a size limit") {
  CHECK(rc::check("round trip", [](const std::string &Bytes) {
    RC_ASSERT(decompress(compress(Bytes), Bytes.size() + 1) == Bytes);
  }));
  std::string Repeated(1 << 20, 'a');
  CHECK(decompress(compress(Repeated), Repeated.size()) == Repeated);
  CHECK_FALSE(decompress(compress(Repeated), Repeated.size() / 2).has_value());
  CHECK_FALSE(decompress("not compressed", 100).has_value());
  std::string Truncated = compress(Repeated);
  Truncated.resize(Truncated.size() / 2);
  CHECK_FALSE(decompress(Truncated, Repeated.size()).has_value());
}

// Guards against a port that wraps around into another server's, and against
// two spellings of one address.
TEST_CASE("only IP:port in decimal is a server's address") {
  for (const char *Address : {"10.0.0.1:1", "10.0.0.1:65535", "[::1]:80"})
    CHECK(isServerAddress(Address));
  for (const char *Address : {"",
                              ":",
                              ":80",
                              "10.0.0.1",
                              "10.0.0.1:",
                              "10.0.0.1:0",
                              "10.0.0.1:65536",
                              "10.0.0.1:65616",
                              "10.0.0.1:080",
                              "10.0.0.1:+80",
                              "10.0.0.1: 80",
                              "10.0.0.1:80 ",
                              "10.0.0.1:0x50",
                              "10.0.0.1:8e1",
                              "010.0.0.1:80",
                              "10.0.1:80",
                              "host:80",
                              "::1:80",
                              "[::1:80",
                              "0.0.0.0:80",
                              "[::]:80"}) {
    CAPTURE(Address);
    CHECK_FALSE(isServerAddress(Address));
  }
  CHECK_FALSE(isServerAddress(std::string("10.0.0.1") + '\0' + ":80"));
  CHECK(parseSocketAddress("127.0.0.1:0").has_value());
}

// Guards against bytes of a server in trouble that pass for an answer.
TEST_CASE("a final response has a status from 200 to 599 and tokens as names") {
  using Fields = std::vector<std::pair<std::string, std::string>>;
  const Fields Sound = {{"Content-Type", "a"}, {"!#$%&'*+-.^_`|~09azAZ", ""}};
  for (int Status : {200, 404, 599})
    CHECK(isFinalResponse(Status, Sound));
  for (int Status : {-1, 0, 99, 100, 103, 199, 600, 999})
    CHECK_FALSE(isFinalResponse(Status, Sound));
  for (const char *Name : {"", " ", "a b", "a ", "\ta", "a\x01", "a\x7f",
                           "a:", "a\"", "a(", "a\xc3\xa4"})
    CHECK_FALSE(isFinalResponse(200, Fields{{"Date", "x"}, {Name, "x"}}));
}
