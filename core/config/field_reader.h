#pragma once

#include "core/config/config.h"
#include "core/config/config_problem.h"

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace radishvane
{

/// Inclusive bounds of an integer.
struct Range
{
    std::uint32_t min = 0;
    std::uint32_t max = std::numeric_limits<std::uint32_t>::max();
};

/// Reads the fields of one mapping and collects all problems instead of stopping at the first.
class FieldReader
{
public:
    /// @param context noun phrase for the mapping in messages, such as "a pool".
    FieldReader(const Node &node, std::string context, std::vector<ConfigProblem> &problems);

    /// Reads a name of lower-case letters, digits and hyphens; empty after a problem.
    std::string name(const std::string &field);
    /// Reads text, which must not be empty.
    std::string text(const std::string &field);
    std::uint32_t number(const std::string &field, Range range);
    std::uint32_t number(const std::string &field, Range range, std::uint32_t fallback);
    /// Reads a decimal number in [@p least, @p most]; @p fallback when the field is absent.
    double decimal(const std::string &field, double least, double most, double fallback);
    bool flag(const std::string &field, bool fallback);
    /// Reads an IPv4 address and a port, written address:port.
    Endpoint endpoint(const std::string &field);
    std::optional<Endpoint> optionalEndpoint(const std::string &field);
    /// Returns the items of a sequence; empty when the field is absent.
    const std::vector<Node> &items(const std::string &field);
    /// Returns a nested mapping; nullptr when the field is absent.
    const Node *section(const std::string &field);
    bool has(const std::string &field) const;
    /// Reports every field that has not been read as unknown.
    void finish();

    void report(ConfigProblemKind kind, const std::string &field, const std::string &value, const std::string &message);
    const Position &at() const;

private:
    const Node *find(const std::string &field);
    const Scalar *scalar(const std::string &field);
    Position positionOf(const std::string &field) const;

    const Node &m_node;
    const Mapping *m_mapping = nullptr;
    std::string m_context;
    std::vector<ConfigProblem> &m_problems;
    std::set<std::string> m_read;
};

/// Parses address:port with an IPv4 address in dotted decimal notation.
std::optional<Endpoint> parseEndpoint(const std::string &text);

} // namespace radishvane
