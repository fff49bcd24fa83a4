#include "turmericdyke/src/Peer/Cbor.h"

#include <algorithm>

namespace turmericdyke::internal {

namespace {

constexpr int MaxNesting = 16;
constexpr std::size_t MaxValues = 400'000;

/// Counts values and nesting levels without building a document.
class CborLimitChecker : public nlohmann::json_sax<nlohmann::json> {
public:
  bool null() override { return count(); }
  bool boolean(bool) override { return count(); }
  bool number_integer(std::int64_t) override { return count(); }
  bool number_unsigned(std::uint64_t) override { return count(); }
  bool number_float(double, const std::string &) override { return count(); }
  bool string(std::string &) override { return count(); }
  bool binary(nlohmann::json::binary_t &) override { return count(); }
  bool start_object(std::size_t) override { return enter(); }
  bool key(std::string &) override { return count(); }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::json::exception &) override {
    return false;
  }

private:
  bool count() { return ++m_values <= MaxValues; }
  bool enter() { return count() && ++m_nesting <= MaxNesting; }
  bool leave() {
    --m_nesting;
    return true;
  }

  std::size_t m_values = 0;
  int m_nesting = 0;
};

} // namespace

std::string toCbor(const nlohmann::json &Value) {
  std::string Bytes;
  nlohmann::json::to_cbor(Value, Bytes);
  return Bytes;
}

Result<nlohmann::json, PeerError> fromCbor(std::string_view Bytes) {
  try {
    CborLimitChecker Checker;
    if (nlohmann::json::sax_parse(Bytes.begin(), Bytes.end(), &Checker,
                                  nlohmann::json::input_format_t::cbor))
      return nlohmann::json::from_cbor(Bytes.begin(), Bytes.end());
    return failure(
        PeerError{PeerErrorCode::Malformed,
                  "malformed CBOR, or too many values or nesting levels"});
  } catch (const nlohmann::json::exception &) {
    return failure(PeerError{PeerErrorCode::Malformed, "not CBOR"});
  }
}

std::optional<std::string> bytesField(const nlohmann::json &Object,
                                      const char *Field, std::size_t MaxBytes) {
  if (!Object.is_object())
    return std::nullopt;
  auto Found = Object.find(Field);
  if (Found == Object.end() || !Found->is_binary())
    return std::nullopt;
  const nlohmann::json::binary_t &Bytes = Found->get_binary();
  if (Bytes.size() > MaxBytes)
    return std::nullopt;
  return std::string(Bytes.begin(), Bytes.end());
}

nlohmann::json bytesValue(std::string_view Bytes) {
  return nlohmann::json::binary(
      std::vector<std::uint8_t>(Bytes.begin(), Bytes.end()));
}

} // namespace turmericdyke::internal
