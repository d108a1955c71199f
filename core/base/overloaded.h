#pragma once

namespace radishvane
{

/// Combines one lambda per alternative of a variant into a visitor for std::visit.
///
/// Visitors have no generic fallback, so a new alternative fails to compile until every visitor handles it.
template<typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace radishvane
