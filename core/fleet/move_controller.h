#pragma once

#include "core/fleet/pool_planner.h"
#include "core/messages/rows.h"

#include <map>
#include <set>
#include <vector>

namespace radishvane
{

/// Estimates the demand of each pool from reported slot time and waiting jobs, and has PoolPlanner plan host moves.
class MoveController
{
public:
    static constexpr Duration planInterval{30'000};

    /// Input of one plan, read from the table.
    struct View
    {
        /// Configuration with each host in its present pool, after host moves.
        const Config &config;
        /// Configuration as the files declare it, without host moves.
        const Config &declared;
        const std::map<PoolId, PoolRow> &pools;
        /// Hosts that the platform lists as live.
        const std::set<HostId> &live;
        /// Cores requested by waiting and running jobs.
        double jobCores = 0;
    };

    /// Adds slot time that an entry host used for a service.
    void addUsage(const ServiceId &service, double slotMilliseconds, TimePoint now);

    /// @return moves to start, by source pool; none before the next plan is due.
    std::map<PoolId, std::vector<PlannedMove>> plan(const View &view, TimePoint now);

private:
    PoolDemands estimateDemands(const View &view, TimePoint now) const;
    static std::vector<PlannedHost> plannedHosts(const View &view);

    PoolPlanner m_planner;
    TimePoint m_nextPlan;
    TimePoint m_usageSince;
    std::map<ServiceId, double> m_usage;
};

} // namespace radishvane
