#include "turmericdyke/src/Edge/PromptText.h"

#include <nlohmann/json.hpp>

namespace turmericdyke {

namespace internal {
namespace {

using Json = nlohmann::json;

void append(const Json &Value, std::string &Text) {
  if (Value.is_string())
    Text += Value.get_ref<const std::string &>();
  else
    Text += Value.dump();
  Text += '\n';
}

} // namespace
} // namespace internal

std::string promptText(const nlohmann::json &Body) {
  std::string Text;
  auto Prompt = Body.find("prompt");
  if (Prompt != Body.end())
    internal::append(*Prompt, Text);
  auto Messages = Body.find("messages");
  if (Messages == Body.end() || !Messages->is_array())
    return Text;
  for (const internal::Json &Message : *Messages) {
    if (!Message.is_object())
      continue;
    for (const char *Field : {"role", "content"})
      if (Message.contains(Field))
        internal::append(Message[Field], Text);
  }
  return Text;
}

RequestSize requestSize(const nlohmann::json &Body, std::size_t PromptBytes) {
  RequestSize Size;
  Size.m_promptTokens = estimateTokens(static_cast<std::int64_t>(PromptBytes));
  for (const char *Field : {"max_completion_tokens", "max_tokens"})
    if (Body.contains(Field) && Body[Field].is_number_unsigned())
      Size.m_tokenLimit = Body[Field].get<std::int64_t>();
  return Size;
}

} // namespace turmericdyke
