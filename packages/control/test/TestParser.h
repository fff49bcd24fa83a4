#pragma once

#include "turmericdyke/Control"

/// Fake declaration parser: any text but "bad" is valid and names the only
/// customer.
inline turmericdyke::Result<turmericdyke::Declaration,
                            turmericdyke::DeclarationError>
testParser(std::string_view Text) {
  if (Text == "bad")
    return turmericdyke::failure(
        turmericdyke::DeclarationError{"", 0, "customers", "bad", "a name"});
  turmericdyke::Declaration Read;
  turmericdyke::CustomerId Id{Text};
  Read.m_customers[Id].m_id = Id;
  return Read;
}
