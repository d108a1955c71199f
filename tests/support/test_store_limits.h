#pragma once

#include "platform/store_limits.h"
#include "tests/support/store_calls.h"

namespace radishvane::tests
{

/// Limits of the platform's store for the cell of a test.
inline cells::StoreLimits testStoreLimits()
{
    return platform::storeLimits(cells::CellId("c0"), maxStoreRowBytes);
}

} // namespace radishvane::tests
