#include "turmericdyke/src/Groups/HeadChoice.h"

#include <algorithm>
#include <cassert>

namespace turmericdyke {

std::size_t chooseHead(Instant Now, absl::Span<const Instant> ColdUntil) {
  assert(!ColdUntil.empty() && "a group has members");
  auto IsEarlier = [Now](Instant A, Instant B) {
    return std::max(A, Now) < std::max(B, Now);
  };
  return static_cast<std::size_t>(
      std::min_element(ColdUntil.begin(), ColdUntil.end(), IsEarlier) -
      ColdUntil.begin());
}

} // namespace turmericdyke
