#include "core/config/field_reader.h"

#include <algorithm>
#include <charconv>

namespace radishvane
{

namespace
{

constexpr std::size_t maxNameLength = 63;

bool isName(const std::string &text)
{
    if (text.empty() || text.size() > maxNameLength) {
        return false;
    }
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; });
}

template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

bool isIpv4(std::string_view text)
{
    constexpr int octets = 4;
    for (int octet = 0; octet < octets; ++octet) {
        const auto dot = text.find('.');
        const bool last = octet == octets - 1;
        if (last != (dot == std::string_view::npos)) {
            return false;
        }
        if (!parseNumber<std::uint8_t>(text.substr(0, dot))) {
            return false;
        }
        text.remove_prefix(last ? text.size() : dot + 1);
    }
    return true;
}

} // namespace

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.find(':');
    if (colon == std::string::npos || !isIpv4(std::string_view(text).substr(0, colon))) {
        return std::nullopt;
    }
    const auto port = parseNumber<std::uint16_t>(std::string_view(text).substr(colon + 1));
    if (!port || *port == 0) {
        return std::nullopt;
    }
    return Endpoint{text.substr(0, colon), *port};
}

FieldReader::FieldReader(const Node &node, std::string context, std::vector<ConfigProblem> &problems)
    : m_node(node), m_mapping(std::get_if<Mapping>(&node.value)), m_context(std::move(context)), m_problems(problems)
{
    if (m_mapping == nullptr) {
        report(ConfigProblemKind::WrongType, "", "", m_context + " must be a mapping of fields");
        return;
    }
    std::set<std::string> seen;
    for (const auto &[field, value] : m_mapping->fields) {
        if (!seen.insert(field).second) {
            m_problems.push_back({ConfigProblemKind::DuplicateName, value.at, field, "", "is written twice"});
        }
    }
}

const Position &FieldReader::at() const
{
    return m_node.at;
}

bool FieldReader::has(const std::string &field) const
{
    return m_mapping != nullptr
        && std::any_of(m_mapping->fields.begin(), m_mapping->fields.end(),
                       [&](const auto &entry) { return entry.name == field; });
}

const Node *FieldReader::find(const std::string &field)
{
    m_read.insert(field);
    if (m_mapping == nullptr) {
        return nullptr;
    }
    for (const auto &[name, node] : m_mapping->fields) {
        if (name == field) {
            return &node;
        }
    }
    report(ConfigProblemKind::MissingField, field, "", "is required in " + m_context);
    return nullptr;
}

const Scalar *FieldReader::scalar(const std::string &field)
{
    const Node *node = find(field);
    if (node == nullptr) {
        return nullptr;
    }
    const auto *value = std::get_if<Scalar>(&node->value);
    if (value == nullptr) {
        report(ConfigProblemKind::WrongType, field, "", "must be a single value");
    }
    return value;
}

std::string FieldReader::name(const std::string &field)
{
    const Scalar *value = scalar(field);
    if (value == nullptr) {
        return {};
    }
    if (!isName(*value)) {
        report(ConfigProblemKind::OutOfRange, field, *value, "must be 1 to 63 lower-case letters, digits or hyphens");
        return {};
    }
    return *value;
}

std::string FieldReader::text(const std::string &field)
{
    const Scalar *value = scalar(field);
    if (value == nullptr) {
        return {};
    }
    if (value->empty()) {
        report(ConfigProblemKind::OutOfRange, field, *value, "must not be empty");
    }
    return *value;
}

std::uint32_t FieldReader::number(const std::string &field, Range range)
{
    const Scalar *value = scalar(field);
    if (value == nullptr) {
        return range.min;
    }
    const auto number = parseNumber<std::uint32_t>(*value);
    if (!number || *number < range.min || *number > range.max) {
        const std::string bounds = std::to_string(range.min) + " to " + std::to_string(range.max);
        report(ConfigProblemKind::OutOfRange, field, *value, "must be a whole number from " + bounds);
        return range.min;
    }
    return *number;
}

std::uint32_t FieldReader::number(const std::string &field, Range range, std::uint32_t fallback)
{
    return has(field) ? number(field, range) : fallback;
}

double FieldReader::decimal(const std::string &field, double least, double most, double fallback)
{
    const Scalar *value = has(field) ? scalar(field) : nullptr;
    if (value == nullptr) {
        return fallback;
    }
    const auto number = parseNumber<double>(*value);
    if (!number || !(*number >= least && *number <= most)) {
        report(ConfigProblemKind::OutOfRange, field, *value,
               "must be a number from " + std::to_string(least) + " to " + std::to_string(most));
        return fallback;
    }
    return *number;
}

bool FieldReader::flag(const std::string &field, bool fallback)
{
    if (!has(field)) {
        return fallback;
    }
    const Scalar *value = scalar(field);
    if (value == nullptr) {
        return fallback;
    }
    if (*value != "true" && *value != "false") {
        report(ConfigProblemKind::OutOfRange, field, *value, "must be true or false");
    }
    return *value == "true";
}

Endpoint FieldReader::endpoint(const std::string &field)
{
    const Scalar *value = scalar(field);
    if (value == nullptr) {
        return {};
    }
    const auto endpoint = parseEndpoint(*value);
    if (!endpoint) {
        report(ConfigProblemKind::OutOfRange, field, *value,
               "must be an IPv4 address and a port, as in 127.0.0.1:8080");
        return {};
    }
    return *endpoint;
}

std::optional<Endpoint> FieldReader::optionalEndpoint(const std::string &field)
{
    if (!has(field)) {
        return std::nullopt;
    }
    return endpoint(field);
}

const std::vector<Node> &FieldReader::items(const std::string &field)
{
    static const std::vector<Node> none;
    m_read.insert(field);
    if (!has(field)) {
        return none;
    }
    const auto *sequence = std::get_if<Sequence>(&find(field)->value);
    if (sequence == nullptr) {
        report(ConfigProblemKind::WrongType, field, "", "must be a list");
        return none;
    }
    return sequence->items;
}

const Node *FieldReader::section(const std::string &field)
{
    m_read.insert(field);
    return has(field) ? find(field) : nullptr;
}

void FieldReader::finish()
{
    if (m_mapping == nullptr) {
        return;
    }
    for (const auto &[field, node] : m_mapping->fields) {
        if (!m_read.contains(field)) {
            m_problems.push_back(
                {ConfigProblemKind::UnknownField, node.at, field, "", "is not a field of " + m_context});
        }
    }
}

void FieldReader::report(ConfigProblemKind kind, const std::string &field, const std::string &value,
                         const std::string &message)
{
    m_problems.push_back({kind, positionOf(field), field, value, message});
}

Position FieldReader::positionOf(const std::string &field) const
{
    if (m_mapping != nullptr) {
        for (const auto &[name, node] : m_mapping->fields) {
            if (name == field) {
                return node.at;
            }
        }
    }
    return m_node.at;
}

} // namespace radishvane
