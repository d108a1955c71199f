#pragma once

#include "core/base/clock.h"
#include "core/config/config.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace radishvane
{

/// A host as input of the planner.
struct PlannedHost
{
    HostId host;
    /// Pool that the host belongs to, or goes to while it moves.
    PoolId pool;
    RackId rack;
    /// Live, and neither draining nor moving.
    bool usable = true;
    /// Moving into the pool.
    bool arriving = false;
    /// Pools whose work the host can run; std::nullopt means every pool. Any host may be in the spare pool.
    std::optional<std::set<PoolId>> serves{};
};

/// Current load of each pool, as the number of hosts that it fully uses.
using PoolDemands = std::map<PoolId, double>;

/// A planned transfer of one host to another pool.
struct PlannedMove
{
    HostId host;
    PoolId from;
    PoolId to;
};

/// Decides how many hosts each pool needs and which hosts to move.
///
/// Pools grow immediately and shrink with a delay: the need of a pool is its peak demand within the hold time, so that
/// a recurring peak finds its hosts in place. Hosts that no pool needs go to the spare pool. Pools grow from the spare
/// pool first, since an idle host needs no drain. The spare hosts are also the common buffer of all pools for the loss
/// of a rack. The planning weights of the site set the hold time: the weights of buffer cost and share shorten it, the
/// weight of moves lengthens it.
class PoolPlanner
{
public:
    static constexpr Duration minHoldTime{10 * 60'000};
    static constexpr Duration maxHoldTime{24 * 3'600'000};
    /// Hold time of a site whose planning weights are equal.
    static constexpr Duration defaultHoldTime{2 * 3'600'000};
    /// Target utilization of a pool's hosts; the rest absorbs growth of demand between two plans.
    static constexpr double maxUtilization = 0.9;

    /// @return moves to start now; @p hosts marks the moves that are already in progress.
    std::vector<PlannedMove> plan(const Config &config, const std::vector<PlannedHost> &hosts,
                                  const PoolDemands &demands, TimePoint now);

    static Duration holdTime(const PlanningWeights &weights);

private:
    struct Sample
    {
        TimePoint at;
        double hosts = 0;
    };

    /// Working state of one pool during one plan.
    struct PoolView
    {
        std::vector<const PlannedHost *> usable;
        std::size_t arriving = 0;
        /// Hosts needed for the peak demand within the hold time, within minHoldTime, and for the current demand.
        std::size_t need = 0;
        std::size_t recentNeed = 0;
        std::size_t currentNeed = 0;
        TimePoint lastShortageAt;

        std::size_t present() const
        {
            return usable.size() + arriving;
        }
    };

    using PoolViews = std::map<PoolId, PoolView>;

    void record(const PoolId &pool, double demand, Duration hold, TimePoint now);
    double peakWithin(const PoolId &pool, Duration time, TimePoint now) const;
    PoolViews buildPoolViews(const Config &config, const std::vector<PlannedHost> &hosts, const PoolDemands &demands,
                             TimePoint now);
    static void growPools(PoolViews &pools, const PoolId &spare, std::vector<PlannedMove> &moves);
    /// Selects the pool that gives a host to @p to: among pools with surplus hosts the one whose last shortage is the
    /// most recent. Pools peak in turn, so that this pool is expected to need its hosts again last.
    static std::optional<PoolId> selectDonor(const PoolViews &pools, const PoolId &spare, const PoolId &to);
    static void shrinkPools(PoolViews &pools, const PoolId &spare, std::vector<PlannedMove> &moves);
    /// @param serving pool whose work the host must be able to run; std::nullopt allows any host.
    static void planMove(PoolViews &pools, const PoolId &from, const PoolId &to, const std::optional<PoolId> &serving,
                         std::vector<PlannedMove> &moves);

    /// Monotonic queue of demand samples for each pool: only samples that can still be the peak, in falling order.
    std::map<PoolId, std::deque<Sample>> m_samples;
    std::map<PoolId, TimePoint> m_lastShortageAt;
    std::optional<TimePoint> m_firstPlan;
};

} // namespace radishvane
