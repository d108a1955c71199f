#pragma once

#include "core/config/config.h"
#include "core/messages/rows.h"

#include <map>
#include <memory>

namespace radishvane
{

/// What the table says about hosts, by name.
using HostRows = std::map<HostId, HostRow>;

/// Where hosts belong, as the table just told.
struct HostPlacementsUpdated
{
    HostRows rows;
};

/// The configuration with each moved host in the pool that it belongs to now, and each service with the backend servers
/// whose hosts belong to its pool. A move is void once the files name another pool for the host, or hosts do not move.
std::shared_ptr<const Config> applyHostMoves(const std::shared_ptr<const Config> &declared, const HostRows &rows);

} // namespace radishvane
