#pragma once

#include "core/cells/store_limits.h"

namespace radishvane::cells
{

/// Tracks what a call to the store can still take while a transaction is built.
class CallBudget
{
public:
    CallBudget() = default;
    explicit CallBudget(const StoreLimits &limits);

    /// Whether a change of @p size fits.
    bool fits(const EntrySize &size) const;
    /// Uses up @p size if it fits.
    bool take(const EntrySize &size);
    /// Keeps half of the bytes that are left back until giveBack().
    void keepHalf();
    void giveBack();

private:
    std::size_t m_entries = 0;
    std::size_t m_bytes = 0;
    std::size_t m_keptBytes = 0;
};

} // namespace radishvane::cells
