#include "core/fleet/host_moves.h"

namespace radishvane
{

namespace
{

bool isMoved(const Config &config, const Host &host, const HostRow &row)
{
    return !row.pool.empty() && row.declared == host.pool && row.pool != host.pool && config.pools.contains(row.pool);
}

} // namespace

std::shared_ptr<const Config> applyHostMoves(const std::shared_ptr<const Config> &declared, const HostRows &rows)
{
    if (!declared->movesHosts) {
        return declared;
    }
    auto placed = std::make_shared<Config>(*declared);
    for (auto &[id, host] : placed->hosts) {
        const auto row = rows.find(id);
        if (row != rows.end() && isMoved(*declared, host, row->second)) {
            host.pool = row->second.pool;
        }
    }
    for (auto &[id, service] : placed->services) {
        std::erase_if(service.backends, [&, &pool = service.pool](const BackendServer &backend) {
            const auto host = placed->hosts.find(backend.host);
            return host != placed->hosts.end() && host->second.pool != pool;
        });
    }
    return placed;
}

} // namespace radishvane
