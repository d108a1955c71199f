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

/// One host as the planner sees it.
struct PlannedHost
{
    HostId host;
    /// Pool that the host belongs to, or goes to while it moves.
    PoolId pool;
    RackId rack;
    /// Live, and neither drained nor on its way.
    bool usable = true;
    /// On its way into the pool.
    bool arriving = false;
    /// Pools whose work the host can do, besides resting in the spare pool; nothing stands for all.
    std::optional<std::set<PoolId>> serves{};
};

/// Work that a pool has now, in hosts that it would fill.
using PoolDemands = std::map<PoolId, double>;

/// One host that should go from one pool to another.
struct PlannedMove
{
    HostId host;
    PoolId from;
    PoolId to;
};

/// Decides how many hosts each pool needs and which hosts to move.
///
/// Pools grow at once and shrink late: a pool's need is the most that it had within the hold time, so that a peak that
/// comes back finds its hosts in place. Hosts that no pool needs rest in the spare pool, which every pool grows from
/// first, since an idle host needs no drain. Its hosts are the buffer of all pools together for the loss of a rack. The
/// site's weights set the hold time: buffer cost and nearness to shares shorten it, moves lengthen it.
class PoolPlanner
{
public:
    static constexpr Duration minHoldTime{10 * 60'000};
    static constexpr Duration maxHoldTime{24 * 3'600'000};
    /// Hold time of a site that weighs everything alike.
    static constexpr Duration defaultHoldTime{2 * 3'600'000};
    /// Part of a pool's hosts that work should fill; the rest takes up what comes between two plans.
    static constexpr double mostUse = 0.9;

    /// Moves to begin now; those under way are told by the hosts.
    std::vector<PlannedMove> plan(const Config &config, const std::vector<PlannedHost> &hosts,
                                  const PoolDemands &demands, TimePoint now);

    static Duration holdTime(const PlanningWeights &weights);

private:
    struct Sample
    {
        TimePoint at;
        double hosts = 0;
    };

    /// One pool during one plan.
    struct PoolView
    {
        std::vector<const PlannedHost *> usable;
        std::size_t arriving = 0;
        /// Need within the hold time, within the shortest one, and at this moment.
        std::size_t need = 0;
        std::size_t keep = 0;
        std::size_t needNow = 0;
        /// When the pool last had too few hosts.
        TimePoint grewAt;

        std::size_t present() const
        {
            return usable.size() + arriving;
        }
    };

    using PoolViews = std::map<PoolId, PoolView>;

    void record(const PoolId &pool, double demand, Duration hold, TimePoint now);
    double peakWithin(const PoolId &pool, Duration time, TimePoint now) const;
    PoolViews look(const Config &config, const std::vector<PlannedHost> &hosts, const PoolDemands &demands,
                   TimePoint now);
    static void fill(PoolViews &pools, const PoolId &spare, std::vector<PlannedMove> &moves);
    /// Work peaks in turn: of the pools that have hosts to give, the one that grew last will need them last.
    static std::optional<PoolId> giver(const PoolViews &pools, const PoolId &spare, const PoolId &to);
    static void release(PoolViews &pools, const PoolId &spare, std::vector<PlannedMove> &moves);
    /// @param serving pool whose work the host must be able to do; nothing for any host.
    static void move(PoolViews &pools, const PoolId &from, const PoolId &to, const std::optional<PoolId> &serving,
                     std::vector<PlannedMove> &moves);

    /// Samples that may still be the peak, falling, by pool.
    std::map<PoolId, std::deque<Sample>> m_samples;
    std::map<PoolId, TimePoint> m_grewAt;
    std::optional<TimePoint> m_firstPlan;
};

} // namespace radishvane
