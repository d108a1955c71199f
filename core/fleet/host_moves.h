#pragma once

#include "core/config/config.h"
#include "core/messages/rows.h"

#include <map>
#include <memory>

namespace radishvane
{

/// Host rows of the table, by host.
using HostRows = std::map<HostId, HostRow>;

/// Host rows as last read from the table; they hold the pools of moved hosts.
struct HostPlacementsUpdated
{
    HostRows rows;
};

/// Returns the configuration with each moved host in its present pool. Each service keeps only the backend servers
/// whose hosts are in its pool. A move is ignored once the files declare another pool for the host than at the time of
/// the move, or disable moves.
std::shared_ptr<const Config> applyHostMoves(const std::shared_ptr<const Config> &declared, const HostRows &rows);

} // namespace radishvane
