#pragma once

#include "core/cells/job_graph.h"
#include "core/config/config.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace radishvane::cells
{

/// Response times of the site's admission service for one queue.
struct AdmissionTimes
{
    Duration decision{0};
    /// Additional time for each worker in the request.
    Duration perWorker{0};
    /// Lifetime of a ticket.
    Duration validity{0};
};

/// A queue: selects calls by host name and path prefix, and names the pool whose workers run its tasks.
struct Queue
{
    QueueId id;
    std::string host;
    /// Path prefix; the longest matching prefix selects the queue.
    std::string prefix;
    PoolId pool;
    /// 0 is the highest priority.
    std::uint32_t priority = 0;
    /// A task that has failed this many times fails its job; service tasks have no limit.
    std::uint32_t maxFailures = 1;
    /// Objective for a job's duration: the critical path times @c stretch, plus @c targetDuration.
    double stretch = 1.0;
    Duration targetDuration{0};
    /// Open to callers without a key.
    bool open = false;
    /// If set, only workers that the admission service names may run a step.
    std::optional<AdmissionTimes> admission;
};

struct SitePool
{
    PoolId id;
    /// The hosts of a standby pool are switched off and cost nothing.
    bool standby = false;
};

struct SiteTeam
{
    TeamId id;
    /// Jobs per second that the team is guaranteed under full load.
    double weight = 1;
    /// Limit of the resources that its tasks may use on all workers together; 0 means that a resource is unlimited.
    Resources ceiling;
};

/// The active site configuration of the operator, limited to the parts that concern jobs.
struct SiteConfig
{
    std::uint64_t version = 0;
    std::map<QueueId, Queue> queues;
    std::map<PoolId, SitePool> pools;
    std::map<TeamId, SiteTeam> teams;
    std::map<std::string, TeamId> keys;

    /// Returns the queue of a call or nullptr; ignores a port in @p host.
    const Queue *queueOf(std::string_view host, std::string_view path) const;
};

using SiteConfigPtr = std::shared_ptr<const SiteConfig>;

enum class WorkerState {
    Ready,
    /// The worker is about to leave and accepts no more tasks.
    Draining,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 2> workerStateNames{"ready", "draining"};

/// Entry of a worker in discovery.
struct WorkerEntry
{
    WorkerId id;
    HostId host;
    PoolId pool;
    Endpoint endpoint;
    ZoneId zone;
    WorkerState state = WorkerState::Ready;
    Resources room;
    std::set<std::string> labels;
    /// Rack of the worker, taken from one of its labels.
    RackId rack;
    /// Start of this incarnation in milliseconds since 1970.
    std::int64_t startedAtMs = 0;

    bool operator==(const WorkerEntry &) const = default;
};

/// Maintenance wave: hosts that the operator has scheduled for maintenance.
struct Wave
{
    std::uint64_t number = 0;
    std::vector<HostId> hosts;
    /// Time limit of the whole wave.
    Duration duration{0};
    /// Limit of hosts that are down for the wave at the same time.
    std::uint32_t maxHostsDown = 1;

    bool operator==(const Wave &) const = default;
};

enum class SiteHostState {
    Up,
    Moving,
    Maintained,
    Down,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 4> siteHostStateNames{"up", "moving", "maintained", "down"};

/// A host in the list of the platform.
struct SiteHost
{
    HostId id;
    PoolId pool;
    SiteHostState state = SiteHostState::Up;
    /// Empty if no worker runs on the host.
    WorkerId worker;
    Resources room;
    std::set<std::string> labels;
    RackId rack;
};

/// The newest list of hosts from the platform.
struct HostList
{
    std::map<HostId, SiteHost> hosts;
    /// Time of the request for the list; empty before the first list.
    std::optional<TimePoint> requestedAt;
};

} // namespace radishvane::cells
