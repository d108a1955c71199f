#pragma once

#include "core/cells/cell_messages.h"
#include "core/cells/job_registry.h"

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
};

/// Maintenance waves: which host is emptied, and which is maintained, with at most as many down as the wave allows.
class WaveKeeper
{
public:
    /// Hosts that are emptied ahead, for each that may be down.
    static constexpr std::size_t emptiedAhead = 1;
    /// A host that was ordered down is not expected back sooner.
    static constexpr Duration settleTime{600};
    /// Interval between two tries of an order.
    static constexpr Duration retryInterval{300};

    void clear();
    void restore(const std::vector<WaveRow> &rows);
    void see(const std::vector<Wave> &waves);
    /// @return the worker that ran on the host when it was ordered; empty when none was known.
    WorkerId ordered(const HostId &host, std::uint64_t wave, HostOrderOutcome outcome, TimePoint now);
    void reported(std::uint64_t wave, bool written);

    /// @param moving hosts that are on their way to another pool.
    WavePlan plan(const HostList &list, const WorkerRoster &roster, const std::set<HostId> &moving, TimePoint now);
    /// Whether a wave has hosts to maintain.
    bool isOpen() const;
    /// Hosts that a wave empties or has ordered down.
    std::set<HostId> busy() const;

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

    /// What the plan of a wave goes by.
    struct View
    {
        const HostList &list;
        const WorkerRoster &roster;
        const std::set<HostId> &moving;
        TimePoint now;

        const SiteHost *find(const HostId &host) const;
        bool isUp(const HostId &host) const;
    };

    void planWave(WaveState &state, const View &view, WavePlan &plan);
    void advance(WaveState &state, const View &view, WavePlan &plan);
    void chooseNext(WaveState &state, const View &view, std::size_t most);
    static bool isTaken(const WaveHost &host);
    WaveRow rowOf(const WaveState &state) const;
    bool isBusyElsewhere(const HostId &host, std::uint64_t wave) const;

    std::map<std::uint64_t, WaveState> m_waves;
    std::map<std::uint64_t, WaveRow> m_restored;
};

} // namespace radishvane::cells
