#include <algorithm>
#include <memory>
#include <random>
#include <vector>

#include <doctest/doctest.h>

#include "turmericdyke/Serving"

using namespace turmericdyke;

// Guards against many attempts that each stay within their own bound and
// together use up the memory of the process.
TEST_CASE("holders with more than an equal part stop growing once the budget "
          "is used up, and the others do not") {
  constexpr std::size_t Limit = 100'000;
  constexpr std::size_t Large = 20'000;
  BufferBudget Budget(Limit);
  std::vector<std::unique_ptr<BufferShare>> Faulty;
  Faulty.reserve(50);
  for (int At = 0; At < 50; ++At)
    Faulty.push_back(std::make_unique<BufferShare>(Budget));
  std::vector<std::size_t> Held(Faulty.size(), 0);
  std::vector<std::unique_ptr<BufferShare>> Sound;
  for (std::size_t Round = 0; Round < 20; ++Round) {
    for (std::size_t At = 0; At < Faulty.size(); ++At) {
      if (Faulty[At] == nullptr || Held[At] + 1000 > Large)
        continue;
      Held[At] += 1000;
      if (!Faulty[At]->resize(Held[At]))
        Faulty[At].reset();
    }
    Sound.push_back(std::make_unique<BufferShare>(Budget));
    CHECK(Sound.back()->resize(1000));
    CHECK(Budget.total() <= 2 * Limit);
  }
  CHECK(std::count(Faulty.begin(), Faulty.end(), nullptr) > 0);
  Faulty.clear();
  Sound.clear();
  CHECK(Budget.total() == 0);
}

TEST_CASE("the sum stays below twice the budget, whatever the order") {
  constexpr std::size_t Limit = 1 << 20;
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    std::mt19937 Random(Seed);
    BufferBudget Budget(Limit);
    std::vector<std::unique_ptr<BufferShare>> Shares(400);
    std::vector<std::size_t> Held(Shares.size(), 0);
    for (int Step = 0; Step < 40'000; ++Step) {
      std::size_t At = Random() % Shares.size();
      if (Shares[At] == nullptr)
        Shares[At] = std::make_unique<BufferShare>(Budget);
      Held[At] = std::min<std::size_t>(Held[At] + Random() % 16'384, 1 << 18);
      if (!Shares[At]->resize(Held[At]) || Random() % 100 == 0) {
        Shares[At].reset();
        Held[At] = 0;
      }
      // The one that asks has the new bytes already.
      CHECK(Budget.total() <= 2 * Limit + 16'384);
    }
  }
}
