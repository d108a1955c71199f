#pragma once

#include <boost/outcome/result.hpp>

#include <string>

namespace radishvane
{

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// Error of one layer: its code, and the error of the layer below as text for the log.
template<typename Code>
struct LayerError
{
    Code code{};
    std::string detail;
};

/// Value or error that one layer returns. Exceptions do not cross a layer.
template<typename Value, typename Error>
using Result = outcome::basic_result<Value, Error, outcome::policy::all_narrow>;

} // namespace radishvane
