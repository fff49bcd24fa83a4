#include "turmericdyke/src/Edge/ClusterView.h"

namespace turmericdyke {

std::shared_ptr<const ClusterView> ViewHolder::get() const {
  absl::MutexLock Lock(&m_lock);
  return m_view;
}

void ViewHolder::set(std::shared_ptr<const ClusterView> View) {
  absl::MutexLock Lock(&m_lock);
  m_view = std::move(View);
}

} // namespace turmericdyke
