#pragma once

namespace turmericdyke {

/// Long requests run many times longer than the rest, so routing and admission
/// count them separately and bound the slots they hold.
enum class RequestClass { Short, Long };

} // namespace turmericdyke
