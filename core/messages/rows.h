#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/config/config.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace radishvane
{

/// One start of one entry host: its name and its incarnation.
struct HolderId
{
    HostId host;
    Incarnation incarnation;

    auto operator<=>(const HolderId &) const = default;
};

/// Which set of declarative files is in force; one row.
struct ConfigRow
{
    ConfigVersion version;
    /// Name of the object that holds the files.
    std::string object;
    /// Objects of the latest applied sets, newest first; tells a writer whose answer was lost how its write ended.
    std::vector<std::string> recentObjects;
};

/// The session of one entry host; one row a host.
struct SessionRow
{
    HolderId holder;
    ZoneId zone;
    /// Grows each time the holder begins again after its session was ended by another host.
    std::uint64_t epoch = 0;
    /// Grows with each renewal.
    std::uint64_t renewals = 0;
    /// Set by another host that has seen no renewal for the length of a lease.
    bool ended = false;
    /// Where other entry hosts reach this one.
    Endpoint peer;
    /// Entry hosts that the holder knew at its last renewal; only they may end the session early.
    std::vector<HostId> witnesses;
};

/// What rights are used for.
enum class RightsUse {
    Requests,
    Jobs,
};

/// Wire and log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 2> rightsUseNames{"requests", "jobs"};

/// Rights of one team at one holder.
struct RightsGrant
{
    HolderId holder;
    RightsUse use = RightsUse::Requests;
    /// Session under which the leased rights hold.
    std::uint64_t epoch = 0;
    std::uint32_t standing = 0;
    std::uint32_t leased = 0;

    std::uint32_t total() const
    {
        return standing + leased;
    }
};

/// How a team's ceiling is split; one row a team. The grants sum to at most the ceiling, or shrink towards it.
struct RightsRow
{
    TeamId team;
    std::uint32_t ceiling = 0;
    /// Configuration that the ceiling comes from.
    ConfigVersion version;
    std::vector<RightsGrant> grants;

    std::uint32_t granted() const
    {
        std::uint32_t total = 0;
        for (const RightsGrant &grant : grants) {
            total += grant.total();
        }
        return total;
    }
};

/// First use of an idempotency key for a request that must not run twice.
struct ClaimRow
{
    HolderId holder;
    ExchangeId exchange;
    /// For clearing old claims only.
    WallTime claimedAt;
};

/// Life of a job.
enum class JobState {
    Queued,
    /// A start was decided; the worker may or may not have it.
    Starting,
    Running,
    Done,
    Failed,
    Cancelled,
};

/// Wire and log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 6> jobStateNames{"queued", "starting", "running",
                                                               "done",   "failed",   "cancelled"};

/// True for states that a job never leaves.
bool isTerminal(JobState state);

/// Why a job failed or waits.
enum class JobReason {
    None,
    LargerThanAnyWorker,
    UnknownTeam,
    TeamCeilingZero,
    AttemptsUsedUp,
    MayHaveRun,
    WorkFailed,
    DeadlinePassed,
    NoFreeWorker,
    NoFreeRight,
    CancelledByCaller,
    PayloadLost,
};

/// Wire and log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 12> jobReasonNames{
    "none",
    "larger-than-any-worker",
    "unknown-team",
    "team-ceiling-zero",
    "attempts-used-up",
    "may-have-run",
    "work-failed",
    "deadline-passed",
    "no-free-worker",
    "no-free-right",
    "cancelled-by-caller",
    "payload-lost",
};

/// What a job asks of a worker.
struct JobResources
{
    std::uint32_t cores = 1;
    std::uint32_t memoryGb = 1;
    std::uint32_t accelerators = 0;
};

/// One job; one row each.
struct JobRow
{
    JobId id;
    TeamId team;
    /// Jobs of one kind are expected to be alike in size and run time.
    std::string kind;
    bool idempotent = false;
    JobResources needs;
    Duration declaredRun{};
    /// Object that holds the payload.
    std::string payload;
    WallTime submittedAt;
    WallTime endBy;
    JobState state = JobState::Queued;
    JobReason reason = JobReason::None;
    HolderId owner;
    /// Grows with each start; a worker refuses an older one.
    std::uint64_t epoch = 0;
    std::uint32_t attempts = 0;
    HostId worker;
    bool cancelRequested = false;
    std::string result;
    /// Object that the next start goes on from; empty without a checkpoint.
    std::string checkpoint{};
};

/// Where a host stands in its life, apart from its declaration.
enum class HostPhase {
    InService,
    Draining,
    Rebooting,
    OutOfService,
};

/// Wire and log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 4> hostPhaseNames{"in-service", "draining", "rebooting",
                                                                "out-of-service"};

/// Why a host is taken out of service on purpose.
enum class DrainCause {
    Maintenance,
    Move,
};

/// Wire and log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 2> drainCauseNames{"maintenance", "move"};

/// One host out of service on purpose.
struct HostOutage
{
    HostId host;
    HostPhase phase = HostPhase::Draining;
    DrainCause cause = DrainCause::Maintenance;
    /// Pool that a moved host goes to.
    PoolId target;
    /// When the phase began.
    WallTime since;
};

/// Hosts of one pool that are out on purpose; one row a pool. Every drain begins with a conditional write here.
struct PoolRow
{
    PoolId pool;
    std::vector<HostOutage> out;
    /// Hosts that were failed when the row was written; they count against the budget.
    std::vector<HostId> failed;

    /// The entry of a host that is out; nullptr for one that is not.
    const HostOutage *find(const HostId &host) const
    {
        const auto found
            = std::find_if(out.begin(), out.end(), [&](const HostOutage &entry) { return entry.host == host; });
        return found == out.end() ? nullptr : &*found;
    }
};

/// What lasts about one host; one row each.
struct HostRow
{
    HostId host;
    /// The pool that the host belongs to now; empty until a first move, while the declared pool holds.
    PoolId pool;
    /// End of the last maintenance; the epoch before the first.
    WallTime maintainedAt;
    /// The pool that the files named when the host was moved; another one makes the move void.
    PoolId declared{};
};

using RowValue = std::variant<ConfigRow, SessionRow, RightsRow, ClaimRow, JobRow, PoolRow, HostRow>;

/// Keys of rows, by kind.
namespace rowKey
{
inline constexpr std::string_view config = "config/current";
inline constexpr std::string_view sessions = "session/";
inline constexpr std::string_view rights = "rights/";
inline constexpr std::string_view claims = "claim/";
inline constexpr std::string_view jobs = "job/";
inline constexpr std::string_view pools = "pool/";
inline constexpr std::string_view hosts = "host/";

std::string session(const HostId &host);
std::string rightsOf(const TeamId &team);
std::string claim(const TeamId &team, const std::string &idempotencyKey);
std::string job(const JobId &id);
std::string pool(const PoolId &id);
std::string host(const HostId &id);
}

} // namespace radishvane
