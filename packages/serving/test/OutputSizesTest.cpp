#include <doctest/doctest.h>

#include "turmericdyke/Serving"

using namespace turmericdyke;

// Load: one model writes 5 events a response and another 35, as many requests
// each. Guards against a demand by stated maxima, which counts both alike.
TEST_CASE("the length of a model's responses is relative to its service's") {
  OutputSizes Sizes;
  ServiceId Service("llm");
  for (int At = 0; At < 7; ++At) {
    Sizes.record(Service, "short", 5);
    Sizes.record(Service, "long", 35);
  }
  CHECK_FALSE(Sizes.relativeSize(Service, "short"));
  Sizes.record(Service, "short", 5);
  Sizes.record(Service, "long", 35);
  CHECK(*Sizes.relativeSize(Service, "short") == doctest::Approx(0.25));
  CHECK(*Sizes.relativeSize(Service, "long") == doctest::Approx(1.75));
  CHECK_FALSE(Sizes.relativeSize(Service, "other"));
  CHECK_FALSE(Sizes.relativeSize(ServiceId("plain"), "short"));
  // The mean follows a change of the load.
  for (int At = 0; At < 300; ++At)
    Sizes.record(Service, "short", 35);
  CHECK(*Sizes.relativeSize(Service, "short") > 0.9);
}
