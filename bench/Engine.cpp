#include "Engine.h"

#include <algorithm>
#include <utility>

namespace turmericdyke::bench {

namespace {

constexpr std::size_t CachedPrefixes = 6;

} // namespace

std::uint64_t hashOfPrefix(int Prefix) {
  return prefixHash(std::to_string(Prefix));
}

Engine::Engine(const Workload &W, double Speed)
    : m_workload(W), m_speed(Speed) {}

void Engine::submit(Job *J) { m_waiting.push_back(J); }

void Engine::remove(Job *J) {
  std::erase(m_waiting, J);
  if (std::erase(m_running, J) > 0)
    m_usedTokens -= cacheTokens(*J);
}

void Engine::lose() {
  m_isLost = true;
  m_waiting.clear();
  m_running.clear();
}

Engine::Progress Engine::step(Instant Now, double Seconds) {
  Progress P;
  if (m_isLost)
    return P;
  startWaiting();
  double Prefill = m_speed * m_workload.m_prefillRate * Seconds;
  double Decoding = 0;
  for (Job *J : m_running)
    Decoding += J->m_prefillLeft <= 0;
  double Tokens = m_speed * m_workload.m_decodeRate * Seconds /
                  (1 + Decoding / m_workload.m_halfBatch);
  for (Job *J : m_running) {
    if (J->m_prefillLeft <= 0) {
      J->m_generated += Tokens;
      if (J->m_generated >= J->m_outputTokens)
        P.m_finished.push_back(J);
      continue;
    }
    double Part = std::min(Prefill, J->m_prefillLeft);
    Prefill -= Part;
    J->m_prefillLeft -= Part;
    if (J->m_prefillLeft > 0)
      continue;
    J->m_observedAt = Now;
    J->m_observedTokens = J->m_generated;
    if (!J->hasFirstToken())
      P.m_firstTokens.push_back(J);
  }
  for (Job *J : P.m_finished)
    remove(J);
  return P;
}

TargetLoad Engine::load() const {
  TargetLoad Load;
  Load.m_running = static_cast<std::int64_t>(m_running.size());
  Load.m_waiting = static_cast<std::int64_t>(m_waiting.size());
  for (const Job *J : m_running)
    Load.m_runningLong += J->m_class == RequestClass::Long;
  return Load;
}

std::vector<CacheEvent> Engine::takeEvents() {
  return std::exchange(m_events, {});
}

void Engine::startWaiting() {
  while (!m_waiting.empty() &&
         m_running.size() < static_cast<std::size_t>(m_workload.m_slots)) {
    auto Next = m_waiting.begin();
    if (m_priorities)
      Next = std::find_if(m_waiting.begin(), m_waiting.end(), [](Job *J) {
        return J->m_class == RequestClass::Short;
      });
    if (Next == m_waiting.end())
      Next = m_waiting.begin();
    bool Fits = m_usedTokens + cacheTokens(**Next) <= m_workload.m_cacheTokens;
    if (!Fits && !m_running.empty())
      return;
    Job *J = *Next;
    m_waiting.erase(Next);
    start(J);
  }
}

void Engine::start(Job *J) {
  bool Hit = touchPrefix(J->m_prefix);
  // A resumed request computes its prompt and its own output again.
  J->m_prefillLeft = J->m_promptTokens + J->m_generated;
  if (!Hit)
    J->m_prefillLeft += PrefixTokens;
  m_usedTokens += cacheTokens(*J);
  m_running.push_back(J);
}

bool Engine::touchPrefix(int Prefix) {
  bool Hit = std::erase(m_prefixes, Prefix) > 0;
  m_prefixes.push_front(Prefix);
  if (Hit)
    return true;
  m_events.push_back({++m_sequence, hashOfPrefix(Prefix), false});
  if (m_prefixes.size() <= CachedPrefixes)
    return false;
  m_events.push_back({++m_sequence, hashOfPrefix(m_prefixes.back()), true});
  m_prefixes.pop_back();
  return false;
}

double Engine::cacheTokens(const Job &J) {
  return PrefixTokens + J.m_promptTokens + J.m_outputTokens;
}

} // namespace turmericdyke::bench
