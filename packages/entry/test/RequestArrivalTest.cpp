#include <optional>

#include <doctest/doctest.h>

#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Entry/EntryProtocol.h"
#include "turmericdyke/src/Entry/RequestArrival.h"
#include "turmericdyke/src/Fleet/ModelArrivals.h"

using namespace turmericdyke;

// Guards against a measured demand that callers inflate with a large maximum of
// output tokens, or with models that do not exist.
TEST_CASE("a request counts with its stated tokens, within the usual output") {
  ServiceEntry Service;
  Service.m_id = ServiceId("llm");
  Service.m_engine.emplace();
  Service.m_engine->m_kvCapacityTokens = 5000;
  Service.m_engine->m_typicalPromptTokens = 300;
  Service.m_engine->m_typicalOutputTokens = 80;
  Service.m_engine->m_models.push_back({"m"});
  CallerRequest Request;
  Request.m_model = "m";
  std::optional<double> Relative;
  auto Counted = [&](std::int64_t Prompt, std::int64_t MaxOutput) {
    Request.m_promptTokens = Prompt;
    Request.m_maxOutputTokens = MaxOutput;
    return arrivalOf(Service, Request, Relative);
  };
  using Arrivals = ModelArrivals;
  CHECK(Counted(700, 60) == Arrivals{Service.m_id, "m", 1, 700, 60});
  CHECK(Counted(700, 4096) == Arrivals{Service.m_id, "m", 1, 700, 80});
  CHECK(Counted(0, 0) == Arrivals{Service.m_id, "m", 1, 300, 80});
  CHECK(Counted(1 << 30, 60).m_promptTokens == 5000);
  // Measured lengths replace the stated maximum.
  Relative = 0.25;
  CHECK(Counted(700, 60) == Arrivals{Service.m_id, "m", 1, 700, 20});
  Relative.reset();
  Request.m_model = "unknown";
  CHECK(Counted(700, 60) == Arrivals{Service.m_id, "", 1, 0, 0});
}
