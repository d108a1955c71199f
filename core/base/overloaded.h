#pragma once

namespace radishvane
{

/// Builds one visitor out of a lambda for each alternative of a variant.
///
/// Visitors have no catch-all, so a new alternative does not compile until every place has decided about it.
template<typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace radishvane
