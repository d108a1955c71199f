#pragma once

#include "core/base/clock.h"
#include "core/config/config.h"
#include "core/fleet/move_controller.h"
#include "core/messages/platform_messages.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace radishvane
{

// Events.

struct FleetConfigChanged
{
    std::shared_ptr<const Config> config;
};

/// Live entry hosts, this one included.
struct FleetPeersChanged
{
    std::vector<HostId> live;
};

/// The hosts that the platform lists as live.
struct FleetHostListRead
{
    std::set<HostId> live;
};

/// Slot time that one entry host used for a service since its last report.
struct FleetUsageReported
{
    ServiceId service;
    double slotMilliseconds = 0;
};

struct FleetTick
{
};

using FleetEvent = std::variant<PlatformAnswered, FleetConfigChanged, FleetPeersChanged, FleetHostListRead,
                                FleetUsageReported, FleetTick>;

// Effects.

enum class FleetStep {
    DrainStarted,
    RebootStarted,
    Returned,
    NotReturned,
    BudgetUsedUp,
    MoveStarted,
    Moved,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 7> fleetStepNames{"drain",          "reboot", "returned", "not-returned",
                                                                "budget-used-up", "move",   "moved"};

/// One log line about a step of maintenance or of a move.
struct FleetLogEntry
{
    FleetStep step{};
    PoolId pool;
    HostId host;
    /// Destination pool of a moved host; empty for maintenance.
    PoolId target;
    /// Hosts of the pool that maintenance or a move has taken out, and hosts that have failed.
    std::size_t out = 0;
    std::size_t failed = 0;
};

using FleetEffect = std::variant<PlatformCall, FleetLogEntry>;
using FleetEffects = std::vector<FleetEffect>;

/// Drains and reboots every host once per maintenance interval of its pool, rack by rack, and moves hosts between
/// pools. Both stay within the availability budget of each pool.
///
/// Any entry host may plan any pool; rendezvous hashing only avoids duplicate work. A drain starts with a conditional
/// write of the pool's row, which lists the hosts that are out and those that have failed, so that concurrent planners
/// cannot exceed the budget together. The rows hold the whole state of a wave, so that another planner can continue it.
class MaintenanceController
{
public:
    static constexpr Duration planInterval{2'000};
    /// No drain starts from an older host list, since the entry host may be cut off from the platform.
    static constexpr Duration maxHostListAge{10'000};
    /// Time after the start of a drain until every entry host has stopped sending new work to the host.
    static constexpr Duration drainPropagationTime{5'000};
    /// A drain waits at most this long for the host's jobs, some of which may not run twice.
    static constexpr Duration maxDrainDuration{4 * 3'600'000};
    /// A host whose reboot takes longer is logged as not returned.
    static constexpr Duration maxRebootDuration{1'800'000};
    /// Maintenance of a host may start in the last 1/maintenanceWindowDivisor of its interval.
    static constexpr int maintenanceWindowDivisor = 5;

    explicit MaintenanceController(HostId host);

    FleetEffects handle(const FleetEvent &event, Instant now);

private:
    /// Rows read in one scan of the table.
    struct View
    {
        /// Configuration with each host in its present pool, after host moves.
        std::shared_ptr<const Config> config;
        double jobCores = 0;
        std::map<PoolId, StoredRow> pools;
        std::map<HostId, StoredRow> hosts;
        std::set<HostId> hostsWithJobs;
        int unread = 0;
        bool failed = false;
    };

    struct Reboot
    {
        PoolId pool;
        HostId host;
    };

    void on(const PlatformAnswered &event);
    void on(const FleetConfigChanged &event);
    void on(const FleetPeersChanged &event);
    void on(const FleetHostListRead &event);
    void on(const FleetUsageReported &event);
    void on(const FleetTick &event);

    void startTableScan();
    void scanHosts();
    void addRows(const RowsFound &found);
    void plan();
    void planPool(const Pool &pool, const std::vector<PlannedMove> &moves);
    std::map<PoolId, std::vector<PlannedMove>> planMoves();
    void startMoves(const Pool &pool, PoolRow &row, const std::vector<PlannedMove> &moves);
    HostRow rowAfterReturn(const HostOutage &out) const;
    bool advancePhase(PoolRow &row, HostOutage &out);
    void onRebootState(const Reboot &reboot, bool done);
    void startDrains(const Pool &pool, PoolRow &row);
    std::vector<HostId> dueHosts(const Pool &pool, const PoolRow &row) const;
    std::vector<HostId> failedHosts(const Pool &pool, const PoolRow &row) const;
    WallTime maintainedAt(const HostId &host) const;
    void trackDrains();
    bool isDrained(const HostOutage &out) const;
    bool ownsPool(const Pool &pool) const;
    bool ownsMoves() const;
    bool hasFreshHostList() const;
    PoolRow poolRow(const PoolId &pool) const;
    std::uint64_t poolRowVersion(const PoolId &pool) const;
    OperationId call(PlatformRequest request);
    void log(FleetStep step, const PoolRow &row, const HostId &host, const PoolId &target = {});

    HostId m_host;
    Instant m_now;
    FleetEffects m_effects;
    std::uint64_t m_lastOperation = 0;
    std::shared_ptr<const Config> m_config;
    std::vector<HostId> m_livePeers;
    std::set<HostId> m_listedHosts;
    TimePoint m_hostListReadAt;
    TimePoint m_nextPlan;
    MoveController m_moveController;
    View m_view;
    bool m_hostsScanned = false;
    /// Steady time at which this entry host first observed each active drain, by host and start of the drain. The wall
    /// clock may have been set since the row was written.
    std::map<std::pair<HostId, WallTime>, TimePoint> m_drainsObserved;
    std::set<OperationId> m_pendingReads;
    std::map<OperationId, Reboot> m_pendingReboots;
};

} // namespace radishvane
