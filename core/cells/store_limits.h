#pragma once

#include "core/cells/cell_rows.h"

#include <cstddef>
#include <functional>
#include <variant>

namespace radishvane::cells
{

/// What one change takes of a call to the store.
struct EntrySize
{
    std::size_t entries = 0;
    std::size_t bytes = 0;

    EntrySize &operator+=(const EntrySize &other)
    {
        entries += other.entries;
        bytes += other.bytes;
        return *this;
    }
};

/// A change that a transaction contains: a row that is written, or a job whose rows are deleted.
using StoreEntry = std::variant<const OwnerRow *, const JobRow *, const ProgressRow *, const RosterRow *,
                                const WaveRow *, const HostOrdersRow *, const ReleaseRow *, const DeletedJob *>;

/// What the store accepts in one call.
struct StoreLimits
{
    /// Entries beside the condition on the owner's row.
    std::size_t maxEntries = 0;
    /// Bytes of all entries, as encoded.
    std::size_t maxBytes = 0;
    /// Exact size of a change as encoded. The core has no encoding of its own.
    std::function<EntrySize(const StoreEntry &)> sizeOf;
};

} // namespace radishvane::cells
