#pragma once

#include "core/cells/cell_messages.h"
#include "core/cells/job_book.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace radishvane::cells
{

/// What the wave keeper wants done.
struct WavePlan
{
    /// Hosts to be maintained now; nothing runs on them.
    std::vector<std::pair<HostId, std::uint64_t>> maintain;
    /// Workers that get no new tasks, since their hosts come next.
    std::set<WorkerId> cordoned;
    /// Waves whose row has changed.
    std::vector<WaveRow> changed;
    /// Waves of which the operator is told.
    std::vector<std::pair<std::uint64_t, bool>> reports;
    bool listHosts = false;
};

/// Maintenance waves: which host is emptied, and which is maintained, with at most as many down as the wave allows.
class WaveKeeper
{
public:
    /// Interval between two looks at the hosts while a wave is under way.
    static constexpr Duration listInterval{400};
    /// Hosts that are emptied ahead, for each that may be down.
    static constexpr std::size_t emptiedAhead = 1;
    /// A host that was ordered down is not expected back sooner.
    static constexpr Duration settleTime{600};
    /// Interval between two tries of an order.
    static constexpr Duration retryInterval{300};

    void clear();
    void restore(const std::vector<WaveRow> &rows);
    void see(const std::vector<Wave> &waves);
    void see(const std::vector<SiteHost> &hosts, TimePoint asked);
    /// @return the worker that ran on the host when it was ordered; empty when none was known.
    WorkerId ordered(const HostId &host, std::uint64_t wave, HostOrderOutcome outcome, TimePoint now);
    void reported(std::uint64_t wave, bool written);

    WavePlan plan(const WorkerRoster &roster, TimePoint now);
    bool isActive() const;

private:
    enum class HostStage {
        Waiting,
        Emptying,
        /// The order is under way.
        Ordered,
        /// The order was accepted or may have been.
        Down,
        Done,
    };

    struct WaveHost
    {
        HostStage stage = HostStage::Waiting;
        TimePoint since;
        TimePoint notBefore;
        /// The order was accepted for certain.
        bool accepted = false;
        /// Worker that ran on the host when it was ordered.
        WorkerId worker;
    };

    struct WaveState
    {
        Wave wave;
        std::map<HostId, WaveHost> hosts;
        bool begun = false;
        bool completed = false;
        bool reportedRunning = false;
        bool reportedCompleted = false;
    };

    void planWave(WaveState &state, const WorkerRoster &roster, WavePlan &plan, TimePoint now);
    void advance(WaveState &state, TimePoint now, WavePlan &plan);
    WaveRow rowOf(const WaveState &state) const;
    bool isBusyElsewhere(const HostId &host, std::uint64_t wave) const;

    std::map<std::uint64_t, WaveState> m_waves;
    std::map<std::uint64_t, WaveRow> m_restored;
    std::map<HostId, SiteHost> m_hosts;
    TimePoint m_listedAt;
    bool m_listed = false;
    TimePoint m_nextList;
};

} // namespace radishvane::cells
