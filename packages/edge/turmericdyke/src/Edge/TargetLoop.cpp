#include "turmericdyke/src/Edge/TargetLoop.h"

namespace turmericdyke {

TargetLoop::TargetLoop() : m_thread([this] { m_loop.run(); }) {}

TargetLoop::~TargetLoop() {
  m_loop.stop();
  m_thread.join();
  // Closed connections that were not yet released refer to the loop.
  m_loop.discardPosted();
}

} // namespace turmericdyke
