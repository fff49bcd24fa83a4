#include <doctest/doctest.h>

#include "turmericdyke/Declaration"
#include "turmericdyke/src/Control/ControlState.h"
#include "turmericdyke/src/Coordinator/SuspectRecords.h"

namespace turmericdyke {

// Guards against a part that crashes targets again after a change of the leader
// or a restart, until the new leader has found it out once more.
TEST_CASE("a refused key outlives the leader that found it, and is marked when "
          "the refusal has expired") {
  constexpr SuspectKey Guilty = 0xfedcba9876543210;
  const absl::Time Begin = absl::FromUnixSeconds(1'800'000'000);
  ControlState State(&parseDeclarationJson);
  std::uint64_t Index = 0;
  (void)State.apply(++Index, Tick{Begin});
  for (const MarkSuspects &Command :
       refusalCommands({Guilty, 8, {"a/1", "b/1", "c/1"}}))
    (void)State.apply(++Index, Command);
  ControlState Restored =
      ControlState::restore(State.snapshot(), &parseDeclarationJson).value();
  SuspectLists Lists = suspectLists(Restored, {7});
  CHECK(Lists.m_refused == std::vector<SuspectKey>{Guilty});
  CHECK(Lists.m_suspects == std::vector<SuspectKey>{7});
  CHECK_FALSE(wasRefused(Restored, Guilty));
  (void)Restored.apply(++Index, Tick{Begin + absl::Minutes(11)});
  CHECK(suspectLists(Restored, {}).m_version == 0);
  CHECK(wasRefused(Restored, Guilty));
  for (const MarkSuspects &Command : refusalCommands({Guilty, 2, {"d/1"}}))
    (void)Restored.apply(++Index, Command);
  CHECK(suspectLists(Restored, {}).m_refused ==
        std::vector<SuspectKey>{Guilty});
}

} // namespace turmericdyke
