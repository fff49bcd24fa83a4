#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "turmericdyke/Control"

using namespace turmericdyke;

namespace {

std::string cbor(const nlohmann::json &Value) {
  std::string Bytes;
  nlohmann::json::to_cbor(Value, Bytes);
  return Bytes;
}

std::vector<Command> oneOfEach() {
  const absl::Time Time = absl::FromUnixMicros(1'700'000'000'123'456);
  const std::string Binary("\x00\xff\n", 3);
  Assignment Value;
  Value.m_replica = ReplicaId("r1");
  Value.m_generation = 4;
  Value.m_members = {{TargetId("t1"), HostId("h1"), 4}};
  const CustomerId Acme("acme");
  return {ApplyDeclaration{"c1", 3, "ann", R"({"customers":[]})", Time},
          SetDrained{"c2", TargetId("t1"), HostId(""), true},
          SetAssignment{Value, 3},
          RemoveAssignment{ReplicaId("r1"), 4},
          AcceptBuild{ReplicaId("r1"), 4, "build-7"},
          ReleaseHost{HostId("h1"), ReplicaId("r1"), 4},
          ReserveFencingTokens{NodeId("n1"), 1000},
          BeginOnceOnly{Acme, "key", Binary, NodeId("n1"), 9, AttemptId("a1"),
                        Time},
          FinishOnceOnly{Acme, "key", NodeId("n1"), 9, AttemptId("a1"), true,
                         OnceOnlyOutcome::Ran, 200, Binary, true},
          NodeLost{NodeId("n1"), 9},
          MarkSuspects{"t1/4", {{Acme, Binary}, {CustomerId("b"), "d"}}},
          ClearSuspect{{Acme, Binary}},
          BeginSuspectRun{{Acme, Binary}, NodeId("n"), 3},
          EndSuspectRun{{Acme, Binary}, NodeId("n"), 3},
          Tick{Time},
          SetLimits{{absl::Hours(1), 7, 8}},
          SetEvacuation{FailureDomainId("north"), true}};
}

} // namespace

TEST_CASE("each command is unchanged after encoding and decoding, also with "
          "fields of a newer version") {
  for (const Command &Sent : oneOfEach()) {
    nlohmann::json Newer = nlohmann::json::from_cbor(encodeCommand(Sent));
    Newer["introduced_later"] = 1;
    Result<Command, ControlError> Read = decodeCommand(cbor(Newer));
    REQUIRE(Read.has_value());
    CHECK(Read.value() == Sent);
  }
}

TEST_CASE("a field of a wrong type is an error and does not become a default") {
  for (const Command &Sent : oneOfEach()) {
    nlohmann::json Valid = nlohmann::json::from_cbor(encodeCommand(Sent));
    for (const auto &Entry : Valid.items()) {
      nlohmann::json Broken = Valid;
      Broken[Entry.key()] = nlohmann::json::array({nullptr});
      CHECK_MESSAGE(!decodeCommand(cbor(Broken)).has_value(), Entry.key());
    }
  }
}

TEST_CASE("truncated and corrupted commands give a result, not an exception") {
  for (const Command &Sent : oneOfEach()) {
    const std::string Bytes = encodeCommand(Sent);
    for (std::size_t At = 0; At < Bytes.size(); ++At) {
      CHECK_FALSE(decodeCommand(Bytes.substr(0, At)).has_value());
      std::string Flipped = Bytes;
      Flipped[At] = static_cast<char>(Flipped[At] ^ 0x55);
      static_cast<void>(decodeCommand(Flipped));
    }
  }
}

TEST_CASE(
    "an unknown kind is not an error, so that an older node can skip it") {
  Result<Command, ControlError> Read =
      decodeCommand(cbor({{"kind", "introduced_later"}, {"field", 1}}));
  REQUIRE(Read.has_value());
  CHECK(Read.value() == Command(UnknownCommand{"introduced_later"}));
}

TEST_CASE("deeply nested commands and oversized fields are rejected before "
          "they exhaust stack or memory") {
  CHECK_FALSE(decodeCommand(std::string(1 << 20, '\x81')).has_value());
  CHECK_FALSE(decodeCommand(std::string(MaxCommandBytes + 1, 'x')).has_value());
  FinishOnceOnly Finish;
  Finish.m_customer = CustomerId("acme");
  Finish.m_key = "key";
  Finish.m_node = NodeId("n1");
  Finish.m_answerBody = std::string(MaxStoredAnswerBytes + 1, 'x');
  CHECK_FALSE(decodeCommand(encodeCommand(Finish)).has_value());
  Finish.m_answerBody.pop_back();
  CHECK(decodeCommand(encodeCommand(Finish)).has_value());
}
