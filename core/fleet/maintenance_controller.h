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

/// The platform's list, as it was just read.
struct FleetHostListRead
{
    std::set<HostId> live;
};

/// Slot time that one entry host spent on a service since it last told.
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

/// For the log.
struct FleetLogEntry
{
    FleetStep step{};
    PoolId pool;
    HostId host;
    /// Pool that a moved host goes to.
    PoolId target;
    /// Hosts of the pool that are out on purpose, and that have failed.
    std::size_t out = 0;
    std::size_t failed = 0;
};

using FleetEffect = std::variant<PlatformCall, FleetLogEntry>;
using FleetEffects = std::vector<FleetEffect>;

/// Maintains every host once in its pool's interval, in waves that follow racks, and moves hosts between pools, within
/// each pool's budget.
///
/// Any entry host may plan any pool; rendezvous hashing only saves work. A drain begins by a conditional write of the
/// pool's row, which counts the hosts that are out and those that have failed, so that two planners cannot exceed the
/// budget together. Everything a planner needs to go on is in the rows, so another takes over in mid-wave.
class MaintenanceController
{
public:
    static constexpr Duration planInterval{2'000};
    /// A host list older than this starts no drain: the entry host may be cut off.
    static constexpr Duration listFreshFor{10'000};
    /// Time for which all entry hosts have stopped giving new work to a host that drains.
    static constexpr Duration drainPropagationTime{5'000};
    /// Jobs that may not run twice are waited for this long.
    static constexpr Duration longestDrain{4 * 3'600'000};
    /// A host that is not back by then counts as failed to return.
    static constexpr Duration longestReboot{1'800'000};
    /// Part of the interval before its end in which a host's turn may come, as a divisor.
    static constexpr int leadDivisor = 5;

    explicit MaintenanceController(HostId host);

    FleetEffects handle(const FleetEvent &event, Instant now);

private:
    /// What one reading of the table brought.
    struct View
    {
        /// The files' hosts in the pools that they belong to now.
        std::shared_ptr<const Config> config;
        double jobCores = 0;
        std::map<PoolId, StoredRow> pools;
        std::map<HostId, StoredRow> hosts;
        std::set<HostId> withJobs;
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

    void beginReading();
    void readHosts();
    void read(const RowsFound &found);
    void plan();
    void planPool(const Pool &pool, const std::vector<PlannedMove> &moves);
    std::map<PoolId, std::vector<PlannedMove>> planMoves();
    void startMoves(const Pool &pool, PoolRow &row, const std::vector<PlannedMove> &moves);
    HostRow returned(const HostOut &out) const;
    bool advance(PoolRow &row, HostOut &out);
    void onRebootState(const Reboot &reboot, bool done);
    void startDrains(const Pool &pool, PoolRow &row);
    std::vector<HostId> due(const Pool &pool, const PoolRow &row) const;
    std::vector<HostId> failedHosts(const Pool &pool, const PoolRow &row) const;
    WallTime maintainedAt(const HostId &host) const;
    void watchDrains();
    bool drained(const HostOut &out) const;
    bool isOwnToPlan(const Pool &pool) const;
    bool ownsMoves() const;
    bool knowsHosts() const;
    PoolRow rowOf(const PoolId &pool) const;
    std::uint64_t versionOf(const PoolId &pool) const;
    OperationId call(PlatformRequest request);
    void note(FleetStep step, const PoolRow &row, const HostId &host, const PoolId &target = {});

    HostId m_host;
    Instant m_now;
    FleetEffects m_effects;
    std::uint64_t m_lastOperation = 0;
    std::shared_ptr<const Config> m_config;
    std::vector<HostId> m_live;
    std::set<HostId> m_listed;
    TimePoint m_listedAt;
    TimePoint m_nextPlan;
    MoveController m_moves;
    View m_view;
    bool m_hostsRead = false;
    /// When this entry host first saw each drain that is under way, by host and time of the drain. The wall clock in
    /// the row may have been set since.
    std::map<std::pair<HostId, WallTime>, TimePoint> m_drainsSeen;
    std::set<OperationId> m_reads;
    std::map<OperationId, Reboot> m_reboots;
};

} // namespace radishvane
