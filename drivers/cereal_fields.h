#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/config/config.h"

#include <cereal/cereal.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

/// Fields of binary messages and rows, with bounds on lengths from untrusted bytes.
namespace radishvane
{

/// Bounds on what a length in a message may claim, checked before anything is allocated.
inline constexpr std::uint32_t mostItems = 4'096;
inline constexpr std::uint32_t mostTextBytes = 32 << 20;

/// Names and addresses are short, and a length of one byte keeps heartbeats small.
template<typename Archive>
void nameField(Archive &archive, std::string &text)
{
    auto size = static_cast<std::uint8_t>(text.size());
    archive(size);
    text.resize(size);
    archive(cereal::binary_data(text.data(), text.size()));
}

template<typename Archive>
void textField(Archive &archive, std::string &text)
{
    auto size = static_cast<std::uint32_t>(text.size());
    archive(size);
    if (size > mostTextBytes) {
        throw std::length_error("text of " + std::to_string(size) + " bytes");
    }
    text.resize(size);
    archive(cereal::binary_data(text.data(), text.size()));
}

template<typename Archive, typename Item>
void listField(Archive &archive, std::vector<Item> &items)
{
    auto size = static_cast<std::uint32_t>(items.size());
    archive(size);
    if (size > mostItems) {
        throw std::length_error("list of " + std::to_string(size) + " items");
    }
    items.resize(size);
    for (Item &item : items) {
        archive(item);
    }
}

/// A flag is one byte, 0 or 1. Any other value in a bool is undefined behaviour.
template<typename Archive>
void flagField(Archive &archive, bool &flag)
{
    std::uint8_t byte = flag ? 1 : 0;
    archive(byte);
    if (byte > 1) {
        throw std::out_of_range("flag of " + std::to_string(byte));
    }
    flag = byte == 1;
}

/// An enumerator is its number, which @p names must contain.
template<typename Archive, typename Enum, std::size_t Count>
void enumField(Archive &archive, Enum &value, const std::array<std::string_view, Count> &names)
{
    auto number = static_cast<std::underlying_type_t<Enum>>(value);
    archive(number);
    if (number < 0 || static_cast<std::size_t>(number) >= names.size()) {
        throw std::out_of_range("enumerator " + std::to_string(number));
    }
    value = static_cast<Enum>(number);
}

template<typename Archive>
void durationField(Archive &archive, Duration &duration)
{
    auto count = static_cast<std::uint32_t>(
        std::clamp<Duration::rep>(duration.count(), 0, std::numeric_limits<std::uint32_t>::max()));
    archive(count);
    duration = Duration(count);
}

template<typename Archive, typename Tag>
void serialize(Archive &archive, NameId<Tag> &id)
{
    std::string name = id.name();
    nameField(archive, name);
    id = NameId<Tag>(std::move(name));
}

template<typename Archive, typename Tag>
void serialize(Archive &archive, NumberId<Tag> &id)
{
    archive(id.value);
}

template<typename Archive>
void serialize(Archive &archive, Endpoint &endpoint)
{
    nameField(archive, endpoint.address);
    archive(endpoint.port);
}

} // namespace radishvane
