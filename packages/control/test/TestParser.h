#pragma once

#include "turmericdyke/Control"

/// Stands in for the parser of declarations: any text but "bad" names the only
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
