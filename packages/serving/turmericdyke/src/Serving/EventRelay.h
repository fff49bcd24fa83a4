#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace turmericdyke {

/// Passes on the whole events of a stream and remembers the identifier of the
/// last one, so that another server can go on behind it. A part of an event is
/// held back until the rest arrives: a stream that breaks within an event is
/// resumed as if the event had not begun.
class EventRelay {
public:
  /// Takes bytes of the stream and returns the whole events among what was
  /// received, to be handed on as they are.
  std::string feed(std::string_view Bytes);
  /// Drops the part of an event that was held back, before a resumption.
  void dropPart() { m_part.clear(); }

  /// Whether the stream stands between two events.
  bool atBoundary() const { return m_part.empty(); }
  /// Identifier of the last whole event; nothing before the first.
  const std::optional<std::string> &lastId() const { return m_lastId; }
  std::uint64_t events() const { return m_events; }

private:
  void noteEvent(std::string_view Event);

  std::string m_part;
  std::optional<std::string> m_lastId;
  std::uint64_t m_events = 0;
};

} // namespace turmericdyke
