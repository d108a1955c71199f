#pragma once

#include "core/cells/cell_messages.h"
#include "core/cells/job_registry.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace radishvane::cells
{

/// Actions that the wave controller requests.
struct WavePlan
{
    /// Idle hosts to be maintained now, with their waves.
    std::vector<std::pair<HostId, std::uint64_t>> hostsToMaintain;
    /// Workers that get no new tasks, since their hosts are maintained next.
    std::set<WorkerId> cordoned;
    /// Rows of waves whose stored state has changed.
    std::vector<WaveRow> changedRows;
    /// Waves to report to the operator, and whether each one is completed.
    std::vector<std::pair<std::uint64_t, bool>> reports;
};

/// Drains and maintains the hosts of maintenance waves, and limits how many hosts of a wave are down at the same time.
class WaveController
{
public:
    /// Number of hosts that are drained in advance for each host that may be down.
    static constexpr std::size_t drainedAhead = 1;
    /// Minimum time from a maintenance order until a listed host counts as up again.
    static constexpr Duration restartTime{600};
    /// Interval between two attempts of an order.
    static constexpr Duration retryInterval{300};
    /// A host that no list has shown for this time, and whose workers are not in discovery, has left the site.
    static constexpr Duration absenceTime{3'000};

    void clear();
    void restore(const std::vector<WaveRow> &rows);
    void observe(const std::vector<Wave> &waves, TimePoint now);
    /// Updates the state of a host from the answer to its maintenance order.
    /// @return the worker that ran on the host at the time of the order; empty if none was known.
    WorkerId handleOutcome(const HostId &host, std::uint64_t wave, HostOrderOutcome outcome, TimePoint now);
    void handleReportOutcome(std::uint64_t wave, bool written, TimePoint now);

    /// @param moving hosts that are moving to another pool.
    /// @param inDoubt hosts that count as down, since an earlier order may still be carried out.
    WavePlan plan(const HostList &list, const WorkerRoster &roster, const std::set<HostId> &moving,
                  const std::set<HostId> &inDoubt, TimePoint now);
    /// Whether a wave is not completed.
    bool isOpen() const;
    /// Hosts that a wave drains or has ordered down.
    std::set<HostId> occupiedHosts() const;

private:
    enum class HostStage {
        Waiting,
        Draining,
        /// The order was sent and has no answer yet.
        Ordered,
        /// The order was accepted, or may have been.
        Down,
        Done,
        /// The host has left the site. It waits again if it is back before the wave is completed.
        Absent,
    };

    struct WaveHost
    {
        HostStage stage = HostStage::Waiting;
        TimePoint since;
        TimePoint notBefore;
        /// The host service has confirmed the order.
        bool accepted = false;
        /// Worker that ran on the host at the time of the order.
        WorkerId worker;
        /// The last time at which a list or discovery showed the host, or at which a wave named it first.
        TimePoint seenAt;
        /// Request of the first list without the host since then.
        std::optional<TimePoint> missingSince;
    };

    struct WaveState
    {
        Wave wave;
        std::map<HostId, WaveHost> hosts;
        bool begun = false;
        bool completed = false;
        bool reportedRunning = false;
        bool reportedCompleted = false;
        /// The last report was not written; the next one is not sent before this time.
        TimePoint reportNotBefore;
    };

    /// Input for the plan of a wave.
    struct View
    {
        const HostList &list;
        const WorkerRoster &roster;
        const std::set<HostId> &moving;
        const std::set<HostId> &inDoubt;
        TimePoint now;

        const SiteHost *find(const HostId &host) const;
        bool isUp(const HostId &host) const;
    };

    void planWave(WaveState &state, const View &view, WavePlan &plan);
    void updateHosts(WaveState &state, const View &view, WavePlan &plan);
    /// Updates whether a host is part of the site.
    /// @return whether it has left.
    static bool updatePresence(const HostId &host, WaveHost &entry, const View &view);
    static bool needsNoMaintenance(const WaveHost &host);
    void selectNextHosts(WaveState &state, const View &view, std::size_t maxHosts);
    static bool isOccupied(const WaveHost &host);
    WaveRow toRow(const WaveState &state) const;
    bool isOccupiedByOtherWave(const HostId &host, std::uint64_t wave) const;

    std::map<std::uint64_t, WaveState> m_waves;
    std::map<std::uint64_t, WaveRow> m_restored;
};

} // namespace radishvane::cells
