#include "turmericdyke/src/Feed/ProgressByKey.h"

#include <algorithm>

namespace turmericdyke {

void ProgressByKey::add(const KeyProgress &Value) {
  std::uint64_t &Events = m_events[Value.m_key];
  Events = std::max(Events, Value.m_events);
}

std::vector<KeyProgress> ProgressByKey::take() {
  std::vector<KeyProgress> Taken;
  Taken.reserve(m_events.size());
  for (const auto &[Key, Events] : m_events)
    Taken.push_back({Key, Events});
  m_events.clear();
  return Taken;
}

} // namespace turmericdyke
