#pragma once

#include "core/fleet/pool_planner.h"
#include "core/messages/rows.h"

#include <map>
#include <set>
#include <vector>

namespace radishvane
{

/// Works out what each pool has to do from what entry hosts and the table tell, and asks the planner for moves.
class MoveController
{
public:
    static constexpr Duration planInterval{30'000};

    /// What one reading of the table brought. The hosts stand in the pools that they belong to now.
    struct View
    {
        const Config &config;
        /// The same as the files declare it.
        const Config &declared;
        const std::map<PoolId, PoolRow> &pools;
        /// Hosts that the platform lists as live.
        const std::set<HostId> &live;
        /// Processors that waiting and running jobs ask for.
        double jobCores = 0;
    };

    /// Slot time that entry hosts spent on a service.
    void spent(const ServiceId &service, double slotMilliseconds, TimePoint now);

    /// @return moves to begin, by the pool that the host leaves; none before the next plan is due.
    std::map<PoolId, std::vector<PlannedMove>> plan(const View &view, TimePoint now);

private:
    PoolDemands demands(const View &view, TimePoint now) const;
    static std::vector<PlannedHost> hosts(const View &view);

    PoolPlanner m_planner;
    TimePoint m_nextPlan;
    TimePoint m_spentSince;
    std::map<ServiceId, double> m_spent;
};

} // namespace radishvane
