#include "turmericdyke/src/Entry/FirstEventTime.h"

#include "turmericdyke/src/Catalog/Catalog.h"
#include "turmericdyke/src/Catalog/RouteTable.h"
#include "turmericdyke/src/Entry/AttemptRequest.h"
#include "turmericdyke/src/Entry/EntryProtocol.h"
#include "turmericdyke/src/Serving/PromptTime.h"

namespace turmericdyke {

absl::Duration firstEventTime(const AttemptRequest &Request) {
  const ServiceEntry *Service =
      Request.m_routes.catalog().service(Request.m_service);
  const EngineModel *Model =
      Service != nullptr && Service->m_engine
          ? Service->m_engine->model(Request.m_caller.m_model)
          : nullptr;
  return Model == nullptr ? absl::ZeroDuration()
                          : longestFirstEvent(*Service->m_engine, *Model,
                                              Request.m_caller.m_promptTokens);
}

} // namespace turmericdyke
