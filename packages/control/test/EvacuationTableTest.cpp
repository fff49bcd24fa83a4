#include <string>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "TestParser.h"
#include "turmericdyke/Control"

using namespace turmericdyke;

namespace {

const FailureDomainId North("north");

/// A state to which evacuation orders are applied at consecutive log indexes.
struct OrderedState {
  CommandResult order(bool Evacuated, const FailureDomainId &Domain = North) {
    return m_state.apply(++m_index, SetEvacuation{Domain, Evacuated});
  }
  const EvacuationRecord &record() const {
    return m_state.evacuations().at(North);
  }

  ControlState m_state{testParser};
  std::uint64_t m_index = 0;
};

nlohmann::json decoded(const ControlState &State) {
  return nlohmann::json::from_cbor(State.snapshot());
}

std::string encoded(const nlohmann::json &Snapshot) {
  std::string Bytes;
  nlohmann::json::to_cbor(Snapshot, Bytes);
  return Bytes;
}

} // namespace

// Guards against a repeated order that gets another result than the first, or
// that counts as a new one: servers would be cold again after each resent end.
TEST_CASE("a repeated evacuation order gets the same result and changes "
          "nothing") {
  OrderedState F;
  CHECK(F.order(false) == CommandResult(CommandApplied{}));
  CHECK(F.m_state.evacuations().empty());
  CHECK(F.order(true) == CommandResult(CommandApplied{}));
  CHECK(F.record() == EvacuationRecord{true, 2});
  CHECK(F.order(true) == CommandResult(CommandApplied{}));
  CHECK(F.record() == EvacuationRecord{true, 2});
  CHECK(F.order(false) == CommandResult(CommandApplied{}));
  CHECK(F.order(false) == CommandResult(CommandApplied{}));
  CHECK(F.record() == EvacuationRecord{false, 4});
}

// Guards against two operators who undo each other's orders: the log decides
// their sequence, and orders on different failure domains are independent.
TEST_CASE("orders of two operators are applied in the order of the log") {
  OrderedState F;
  F.order(true);
  F.order(true, FailureDomainId("south"));
  F.order(false);
  F.order(true);
  CHECK(F.record() == EvacuationRecord{true, 4});
  CHECK(F.m_state.evacuations().at(FailureDomainId("south")).m_inForce);
}

// Guards against an acknowledged order that a restart or a snapshot for another
// coordinator loses.
TEST_CASE("evacuations are kept in the snapshot") {
  OrderedState F;
  F.order(true);
  F.order(true, FailureDomainId("south"));
  F.order(false);
  auto Restored = ControlState::restore(F.m_state.snapshot(), testParser);
  REQUIRE(Restored);
  CHECK(Restored.value().evacuations() == F.m_state.evacuations());
  CHECK(Restored.value().snapshot() == F.m_state.snapshot());
}

// Guards against a new build that cannot start from the data of an older one.
TEST_CASE("a snapshot of a version without evacuations has none") {
  OrderedState F;
  F.order(true);
  nlohmann::json Old = decoded(F.m_state);
  Old.erase("evacuations");
  auto Restored = ControlState::restore(encoded(Old), testParser);
  REQUIRE(Restored);
  CHECK(Restored.value().evacuations().empty());
  CHECK(Restored.value().appliedIndex() == F.m_index);
}

TEST_CASE("a snapshot with malformed evacuations gives an error") {
  OrderedState F;
  F.order(true);
  for (const nlohmann::json &Wrong :
       {nlohmann::json(7), nlohmann::json::array({7}),
        nlohmann::json::array({{{"failure_domain", "north"}}})}) {
    nlohmann::json Snapshot = decoded(F.m_state);
    Snapshot["evacuations"] = Wrong;
    CHECK_FALSE(ControlState::restore(encoded(Snapshot), testParser));
  }
}

// Guards against an order without a name that would be stored under an empty
// one, which servers without a failure domain announce.
TEST_CASE("an order must name a failure domain") {
  CHECK_FALSE(decodeCommand(encodeCommand(SetEvacuation{})));
}
