#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace radishvane
{

/// Identifier that is a name chosen by an operator or a caller. The tag makes each kind of name a type of its own.
template<typename Tag>
class NameId
{
public:
    NameId() = default;
    explicit NameId(std::string name) : m_name(std::move(name))
    {
    }

    const std::string &name() const
    {
        return m_name;
    }

    bool empty() const
    {
        return m_name.empty();
    }

    auto operator<=>(const NameId &) const = default;

private:
    std::string m_name;
};

/// Identifier that is a number. The tag makes each kind of number a type of its own.
template<typename Tag>
struct NumberId
{
    std::uint64_t value = 0;

    auto operator<=>(const NumberId &) const = default;
};

using TeamId = NameId<struct TeamTag>;
using ServiceId = NameId<struct ServiceTag>;
using PoolId = NameId<struct PoolTag>;
using HostId = NameId<struct HostTag>;
using RackId = NameId<struct RackTag>;
using ZoneId = NameId<struct ZoneTag>;
using BackendId = NameId<struct BackendTag>;
using JobId = NameId<struct JobTag>;

/// One request of a caller together with its answer.
using ExchangeId = NumberId<struct ExchangeTag>;
/// One attempt to run a request on one backend server.
using AttemptId = NumberId<struct AttemptTag>;
/// One request to the platform's table service or object store.
using OperationId = NumberId<struct OperationTag>;
/// One process of an entry host; increases with each restart.
using Incarnation = NumberId<struct IncarnationTag>;
/// Version of a set of declarative files.
using ConfigVersion = NumberId<struct ConfigVersionTag>;

} // namespace radishvane

template<typename Tag>
struct std::hash<radishvane::NameId<Tag>>
{
    std::size_t operator()(const radishvane::NameId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.name());
    }
};

template<typename Tag>
struct std::hash<radishvane::NumberId<Tag>>
{
    std::size_t operator()(const radishvane::NumberId<Tag> &id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};
