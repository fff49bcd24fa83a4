#include "turmericdyke/src/Fleet/SwimMessage.h"

#include "turmericdyke/src/Fleet/JsonReader.h"

namespace turmericdyke {

namespace internal {
namespace {

constexpr std::string_view NodeStateNames[] = {"alive", "suspect", "dead",
                                               "left"};
constexpr std::string_view NodeStateKeys[] = {"a", "s", "d", "l"};
constexpr std::string_view SwimKindKeys[] = {"p", "r", "a", "n", "q", "y"};

nlohmann::json updateJson(const NodeUpdate &Update) {
  return {{"n", Update.m_node.str()},
          {"a", Update.m_address},
          {"i", Update.m_incarnation},
          {"s", NodeStateKeys[static_cast<std::size_t>(Update.m_state)]}};
}

void readUpdates(const nlohmann::json &Values, std::vector<NodeUpdate> &Updates,
                 JsonReader &Outer) {
  for (const nlohmann::json &Value : Values) {
    NodeUpdate Update;
    JsonReader Reader(Value);
    Reader.id("n", Update.m_node, true)
        .text("a", Update.m_address)
        .number("i", Update.m_incarnation)
        .choice("s", Update.m_state, NodeStateKeys);
    if (Reader.error())
      return Outer.fail("u", *Reader.error());
    Updates.push_back(std::move(Update));
  }
}

} // namespace
} // namespace internal

std::string_view nameOf(NodeState State) {
  return internal::NodeStateNames[static_cast<std::size_t>(State)];
}

nlohmann::json toJson(const SwimMessage &Message) {
  nlohmann::json Value = {
      {"k", internal::SwimKindKeys[static_cast<std::size_t>(Message.m_kind)]},
      {"f", Message.m_from.str()},
      {"a", Message.m_address},
      {"i", Message.m_incarnation},
      {"q", Message.m_sequence}};
  if (Message.m_leaving)
    Value["l"] = true;
  if (!Message.m_subject.empty())
    Value["s"] = Message.m_subject.str();
  if (!Message.m_subjectAddress.empty())
    Value["sa"] = Message.m_subjectAddress;
  if (Message.m_tableHash != 0)
    Value["h"] = Message.m_tableHash;
  if (Message.m_wantsReply)
    Value["w"] = true;
  if (Message.m_updates.empty())
    return Value;
  nlohmann::json &Updates = Value["u"] = nlohmann::json::array();
  for (const NodeUpdate &Update : Message.m_updates)
    Updates.push_back(internal::updateJson(Update));
  return Value;
}

Result<SwimMessage, FleetError> parseSwimMessage(const nlohmann::json &Value) {
  SwimMessage Read;
  internal::JsonReader Reader(Value);
  Reader.choice("k", Read.m_kind, internal::SwimKindKeys)
      .id("f", Read.m_from, true)
      .text("a", Read.m_address, true)
      .number("i", Read.m_incarnation)
      .flag("l", Read.m_leaving)
      .number("q", Read.m_sequence)
      .id("s", Read.m_subject)
      .text("sa", Read.m_subjectAddress)
      .number("h", Read.m_tableHash)
      .flag("w", Read.m_wantsReply);
  if (const nlohmann::json *Updates = Reader.list("u"))
    internal::readUpdates(*Updates, Read.m_updates, Reader);
  if (Reader.error())
    return failure(*Reader.error());
  return Read;
}

} // namespace turmericdyke
