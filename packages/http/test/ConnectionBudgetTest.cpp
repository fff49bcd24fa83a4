#include <memory>
#include <vector>

#include <doctest/doctest.h>

#include "turmericdyke/Http"

using namespace turmericdyke;

namespace {

constexpr std::size_t Limit = 1 << 20;
constexpr std::size_t Ordinary = ConnectionBudget::OrdinaryBytes;

/// A connection that releases what it holds when it is told to.
class FakeHolder : public BudgetHolder {
public:
  FakeHolder(const std::shared_ptr<ConnectionBudget> &Budget, std::size_t Bytes,
             ConnectionUse Use, Instant Progress = absl::InfinitePast())
      : m_share(Budget, this) {
    m_share.progressed(Progress);
    m_share.resize(Bytes, Use);
  }
  void giveUp() override {
    m_gaveUp = true;
    m_share.resize(0, ConnectionUse::Kept);
  }
  bool gaveUp() const { return m_gaveUp; }

private:
  ConnectionShare m_share;
  bool m_gaveUp = false;
};

void refuseAll(const ConnectionBudget &Budget) {
  while (BudgetHolder *Holder = Budget.incompleteToEnd())
    Holder->giveUp();
}

} // namespace

// Guards against the refusal of ordinary callers for what others hold.
TEST_CASE("the largest incomplete request goes first, ordinary ones go on") {
  auto Budget = std::make_shared<ConnectionBudget>(Limit);
  FakeHolder Small(Budget, Ordinary, ConnectionUse::Incomplete);
  FakeHolder Large(Budget, Limit / 2, ConnectionUse::Incomplete);
  refuseAll(*Budget);
  CHECK(!Large.gaveUp());
  FakeHolder Largest(Budget, Limit / 2 + 1, ConnectionUse::Incomplete);
  refuseAll(*Budget);
  CHECK(Largest.gaveUp());
  CHECK(!Large.gaveUp());
  CHECK(!Small.gaveUp());
}

TEST_CASE("ordinary requests may take the reserve, and no more") {
  auto Budget = std::make_shared<ConnectionBudget>(Limit);
  FakeHolder Running(Budget, Limit, ConnectionUse::Kept);
  CHECK(Budget->mayAccept());
  CHECK(Budget->mayRun(Ordinary / 2, Ordinary / 2));
  CHECK(!Budget->mayRun(Ordinary, 1));
  std::vector<std::unique_ptr<FakeHolder>> Small;
  for (std::size_t At = 0; At < 2 * Limit / Ordinary; ++At) {
    Small.push_back(std::make_unique<FakeHolder>(Budget, Ordinary,
                                                 ConnectionUse::Incomplete));
    refuseAll(*Budget);
  }
  CHECK(!Running.gaveUp());
  CHECK(Budget->total() == Limit + Limit / 4);
  CHECK(!Budget->mayAccept());
  CHECK(!Budget->mayRun(1, 1));
}

// Guards against cutting off callers that read, and against responses that no
// one reads and that hold the memory.
TEST_CASE("responses that are not read go before those that are") {
  Instant Now = monotonicNow();
  auto Budget = std::make_shared<ConnectionBudget>(Limit);
  FakeHolder Read(Budget, Limit / 2, ConnectionUse::Unread, Now);
  FakeHolder Waiting(Budget, Limit / 2, ConnectionUse::Unread,
                     Now - absl::Seconds(2));
  CHECK(Budget->unreadToEnd(Now) == nullptr);
  FakeHolder More(Budget, 1, ConnectionUse::Kept);
  REQUIRE(Budget->unreadToEnd(Now) == &Waiting);
  Waiting.giveUp();
  CHECK(Budget->unreadToEnd(Now) == nullptr);
  // Beyond the reserve the largest one goes although it is read.
  FakeHolder Running(Budget, Limit, ConnectionUse::Kept);
  CHECK(Budget->unreadToEnd(Now) == &Read);
}

TEST_CASE("a share is released with its holder") {
  auto Budget = std::make_shared<ConnectionBudget>(Limit);
  {
    FakeHolder Large(Budget, 2 * Limit, ConnectionUse::Incomplete);
    CHECK(Budget->isUsedUp());
  }
  CHECK(Budget->total() == 0);
  CHECK(Budget->largestIncomplete() == nullptr);
}
