#include "turmericdyke/src/Base/ListenBacklog.h"

#include <sys/socket.h>

namespace turmericdyke {

namespace internal {
namespace {

constexpr int Backlog = 1024;

} // namespace
} // namespace internal

bool ListenBacklog::raise() {
  return ::listen(m_socket, internal::Backlog) == 0;
}

} // namespace turmericdyke
