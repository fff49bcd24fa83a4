#include "turmericdyke/src/Admission/ConcurrencyController.h"

#include "turmericdyke/src/Admission/BacklogController.h"

namespace turmericdyke {

std::unique_ptr<ConcurrencyController>
makeConcurrencyController(ConcurrencyBounds Bounds) {
  return std::make_unique<BacklogController>(Bounds);
}

} // namespace turmericdyke
