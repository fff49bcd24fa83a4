#include "turmericdyke/src/Base/HttpSyntax.h"

namespace turmericdyke {

bool isStatusCode(int Status) {
  constexpr int First = 100;
  constexpr int Last = 599;
  return First <= Status && Status <= Last;
}

} // namespace turmericdyke
