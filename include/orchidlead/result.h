#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

namespace orchidlead {

/// A value of type `Value` or an error of type `Error`, without exceptions.
///
/// Each layer has its own `Error` type and converts the errors of the layer below. Access to the
/// value of an error, or to the error of a value, terminates the process.
template <class Value, class Error>
using result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<Value, Error,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using BOOST_OUTCOME_V2_NAMESPACE::failure;
using BOOST_OUTCOME_V2_NAMESPACE::success;

} // namespace orchidlead
