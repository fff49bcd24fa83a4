#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>

namespace turmericdyke {

/// A value or the error of the layer that returns it. Reading the wrong side
/// terminates the process.
template <class T, class E>
using Result =
    boost::outcome_v2::basic_result<T, E, boost::outcome_v2::policy::terminate>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

} // namespace turmericdyke
