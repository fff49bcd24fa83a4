#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace turmericdyke {

/// Forwards the complete events of a stream and remembers the identifier of the
/// last one, so that another server can continue after it. A partial event is
/// held back until the rest arrives, so a stream that breaks within an event is
/// resumed as if the event had not begun.
class EventRelay {
public:
  /// Takes bytes of the stream and returns the complete events received so far,
  /// unchanged.
  std::string feed(std::string_view Bytes);
  /// Drops the partial event that is held back, before the stream is resumed.
  void dropPartial() { m_partial.clear(); }

  /// Bytes of the partial event that is held back.
  std::size_t partialBytes() const { return m_partial.size(); }
  /// Whether no partial event is held back.
  bool atBoundary() const { return m_partial.empty(); }
  /// Identifier of the last complete event; empty before the first one.
  const std::optional<std::string> &lastId() const { return m_lastId; }
  std::uint64_t events() const { return m_events; }

private:
  void recordEvents(std::string_view Event);

  std::string m_partial;
  std::optional<std::string> m_lastId;
  std::uint64_t m_events = 0;
};

} // namespace turmericdyke
