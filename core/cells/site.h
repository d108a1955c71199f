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

/// Times of the site's admission service for one queue.
struct AdmissionTimes
{
    Duration decision{0};
    /// Beyond that, for each worker asked about.
    Duration eachWorker{0};
    /// A ticket is good for so long.
    Duration validity{0};
};

/// A queue: the calls that belong to it, and the pool whose workers run its tasks.
struct Queue
{
    QueueId id;
    std::string host;
    /// The longest prefix of a path selects the queue.
    std::string prefix;
    PoolId pool;
    /// 0 comes first.
    std::uint32_t priority = 0;
    /// A task that has failed this often fails its job; lasting tasks have no such bound.
    std::uint32_t mostFailures = 1;
    /// Objective: this many times the longest chain of work, and targetDuration more.
    double stretch = 1.0;
    Duration targetDuration{0};
    /// Open to callers without a key.
    bool open = false;
    /// Where it is set, only workers that the admission service names may run a step.
    std::optional<AdmissionTimes> admission;
};

struct SitePool
{
    PoolId id;
    /// Its hosts are switched off and cost nothing.
    bool standby = false;
};

struct SiteTeam
{
    TeamId id;
    /// Jobs a second that it may count on when all is full.
    double weight = 1;
    /// Most that its tasks may take of all workers together; 0 in a resource is no bound.
    Resources ceiling;
};

/// The operator's configuration in force, as far as it concerns jobs.
struct SiteConfig
{
    std::uint64_t version = 0;
    std::map<QueueId, Queue> queues;
    std::map<PoolId, SitePool> pools;
    std::map<TeamId, SiteTeam> teams;
    std::map<std::string, TeamId> keys;

    /// The queue of a call, or nullptr; the port in @p host does not count.
    const Queue *queueOf(std::string_view host, std::string_view path) const;
};

using SiteConfigPtr = std::shared_ptr<const SiteConfig>;

enum class WorkerState {
    Ready,
    /// It leaves soon and takes no more tasks.
    Draining,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 2> workerStateNames{"ready", "draining"};

/// What a worker says of itself in discovery.
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
    /// The one of the labels that names its rack.
    RackId rack;
    /// Milliseconds since 1970 of this life's start.
    std::int64_t born = 0;

    bool operator==(const WorkerEntry &) const = default;
};

/// Hosts that the operator wants maintained.
struct Wave
{
    std::uint64_t number = 0;
    std::vector<HostId> hosts;
    /// Time for the whole wave.
    Duration duration{0};
    /// Most hosts that are down for it at one time.
    std::uint32_t mostAtOnce = 1;

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

/// A host as the platform lists it.
struct SiteHost
{
    HostId id;
    PoolId pool;
    SiteHostState state = SiteHostState::Up;
    /// Empty when no worker runs on it.
    WorkerId worker;
    Resources room;
    std::set<std::string> labels;
    RackId rack;
};

/// All hosts by the newest list of the platform.
struct HostList
{
    std::map<HostId, SiteHost> hosts;
    /// When the list was asked for; nothing while there is none.
    std::optional<TimePoint> askedAt;
};

} // namespace radishvane::cells
