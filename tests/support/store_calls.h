#pragma once

#include "platform/store_client.h"

#include <algorithm>

namespace radishvane::tests
{

/// Bytes of a row's value that the platform's store accepts.
inline constexpr std::size_t maxStoreRowBytes = 65'536;

/// Whether the platform's store accepts a call, by the limits that the platform publishes.
inline bool isWithinLimits(const platform::RowTransaction &call)
{
    constexpr std::size_t maxNameBytes = 200;
    constexpr std::size_t maxEntries = 100;
    constexpr std::size_t maxBytes = 1'000'000;
    const bool haveRowsFit = std::all_of(call.writes.begin(), call.writes.end(), [](const platform::RowWrite &row) {
        return row.value.size() <= maxStoreRowBytes && row.row.key.size() <= maxNameBytes;
    });
    const std::size_t entries = call.expected.size() + call.writes.size() + call.removed.size();
    return haveRowsFit && entries <= maxEntries && platform::transactionBody(call).size() <= maxBytes;
}

} // namespace radishvane::tests
