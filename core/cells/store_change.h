#pragma once

#include "core/cells/cell_rows.h"

#include <cstdint>
#include <string>
#include <variant>

namespace radishvane::cells
{

/// A new job whose row has to be stored.
struct NewJobChange
{
    JobId id;

    bool operator==(const NewJobChange &) const = default;
};

/// A job whose progress has to be stored.
struct ProgressChange
{
    JobId id;

    bool operator==(const ProgressChange &) const = default;
};

struct WaveChange
{
    std::uint64_t number = 0;

    bool operator==(const WaveChange &) const = default;
};

/// A part of the list of workers that has to be stored.
struct RosterChange
{
    std::uint32_t part = 0;

    bool operator==(const RosterChange &) const = default;
};

struct HostOrdersChange
{
    bool operator==(const HostOrdersChange &) const = default;
};

/// A job whose rows have to be deleted.
struct DeletionChange
{
    JobId id;

    bool operator==(const DeletionChange &) const = default;
};

/// A change that the owner of a cell has to store, by what identifies it.
using StoreChange
    = std::variant<NewJobChange, ProgressChange, WaveChange, RosterChange, HostOrdersChange, DeletionChange>;

/// Name of a change in the log.
std::string changeName(const StoreChange &change);

} // namespace radishvane::cells
