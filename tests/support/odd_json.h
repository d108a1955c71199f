#pragma once

#include <string>

namespace radishvane::tests
{

/// Lists in lists, @p depth of them.
inline std::string nestedList(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Objects in objects, @p depth of them.
inline std::string nestedObject(std::size_t depth)
{
    std::string text;
    for (std::size_t level = 0; level < depth; ++level) {
        text += "{\"a\":";
    }
    return text + '0' + std::string(depth, '}');
}

} // namespace radishvane::tests
