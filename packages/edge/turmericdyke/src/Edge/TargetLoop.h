#pragma once

#include <thread>

#include "turmericdyke/src/Loop/EventLoop.h"

namespace turmericdyke {

/// An event loop on a thread of its own, on which the connections to targets
/// are served. It must outlive them.
class TargetLoop {
public:
  TargetLoop();
  ~TargetLoop();
  TargetLoop(const TargetLoop &) = delete;
  TargetLoop &operator=(const TargetLoop &) = delete;

  EventLoop &loop() { return m_loop; }

private:
  EventLoop m_loop;
  std::thread m_thread;
};

} // namespace turmericdyke
