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

/// Identity of one process of an entry host: the name of the host and its incarnation.
struct HolderId
{
    HostId host;
    Incarnation incarnation;

    auto operator<=>(const HolderId &) const = default;
};

/// The set of declarative files in force; a single row.
struct ConfigRow
{
    ConfigVersion version;
    /// Name of the object that holds the files.
    std::string object;
    /// Objects of the last applied sets, newest first. A writer whose answer was lost finds out from them whether its
    /// write took effect.
    std::vector<std::string> recentObjects;
};

/// The session of one entry host; one row per host.
struct SessionRow
{
    HolderId holder;
    ZoneId zone;
    /// Increases each time the holder opens a new session after another host has ended the previous one.
    std::uint64_t epoch = 0;
    /// Increases with each renewal.
    std::uint64_t renewals = 0;
    /// Set by another host that has observed no renewal for the length of a lease.
    bool ended = false;
    /// Address at which other entry hosts reach this one.
    Endpoint peer;
    /// Entry hosts that the holder knew at its last renewal; only they may end the session early.
    std::vector<HostId> witnesses;
};

/// Kind of work that a right allows to start.
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
    /// Epoch of the session under which the leased rights are valid.
    std::uint64_t epoch = 0;
    std::uint32_t standing = 0;
    std::uint32_t leased = 0;

    std::uint32_t total() const
    {
        return standing + leased;
    }
};

/// Distribution of a team's ceiling over the holders; one row per team. The sum of the grants is at most the ceiling;
/// after the ceiling was lowered, the grants are reduced until that is true again.
struct RightsRow
{
    TeamId team;
    std::uint32_t ceiling = 0;
    /// Version of the configuration that sets the ceiling.
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
    /// Used only to remove old claims.
    WallTime claimedAt;
};

/// Life cycle of a job.
enum class JobState {
    Queued,
    /// A start was written to the row; the worker may or may not have received it.
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

/// Reason why a job failed or is waiting.
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

/// Amount of resources that a job requires or a worker offers.
struct JobResources
{
    std::uint32_t cores = 1;
    std::uint32_t memoryGb = 1;
    std::uint32_t accelerators = 0;
};

/// One job; one row per job.
struct JobRow
{
    JobId id;
    TeamId team;
    /// Jobs of one kind are expected to be alike in size and run time.
    std::string kind;
    bool idempotent = false;
    JobResources needs;
    Duration declaredRun{};
    /// Name of the object that holds the payload.
    std::string payload;
    WallTime submittedAt;
    WallTime endBy;
    JobState state = JobState::Queued;
    JobReason reason = JobReason::None;
    HolderId owner;
    /// Increases with each start; a worker refuses a start with an older epoch.
    std::uint64_t epoch = 0;
    std::uint32_t attempts = 0;
    HostId worker;
    bool cancelRequested = false;
    std::string result;
    /// Name of the checkpoint object that the next start resumes from; empty without a checkpoint.
    std::string checkpoint{};
};

/// Operational state of a host, independent of its declaration.
enum class HostPhase {
    InService,
    Draining,
    Rebooting,
    OutOfService,
};

/// Wire and log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 4> hostPhaseNames{"in-service", "draining", "rebooting",
                                                                "out-of-service"};

/// Reason why a host is taken out of service on purpose.
enum class DrainCause {
    Maintenance,
    Move,
};

/// Wire and log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 2> drainCauseNames{"maintenance", "move"};

/// Planned outage of one host.
struct HostOutage
{
    HostId host;
    HostPhase phase = HostPhase::Draining;
    DrainCause cause = DrainCause::Maintenance;
    /// Pool that a host is moved to.
    PoolId target;
    /// Start of the current phase.
    WallTime since;
};

/// Planned outages in one pool; one row per pool. Every drain begins with a conditional write of this row.
struct PoolRow
{
    PoolId pool;
    std::vector<HostOutage> out;
    /// Hosts that had failed when the row was written; they count against the outage budget.
    std::vector<HostId> failed;

    /// Returns the outage of @p host, or nullptr if the host is not out.
    const HostOutage *find(const HostId &host) const
    {
        const auto found
            = std::find_if(out.begin(), out.end(), [&](const HostOutage &entry) { return entry.host == host; });
        return found == out.end() ? nullptr : &*found;
    }
};

/// Persistent state of one host; one row per host.
struct HostRow
{
    HostId host;
    /// Pool that the host belongs to now; empty before the first move, when the declared pool applies.
    PoolId pool;
    /// End of the last maintenance; the Unix epoch if there was none.
    WallTime maintainedAt;
    /// Pool that the declarative files named when the host was moved; once they name another one, the move is void.
    PoolId declared{};
};

using RowValue = std::variant<ConfigRow, SessionRow, RightsRow, ClaimRow, JobRow, PoolRow, HostRow>;

/// Keys of rows by kind: a fixed key or a prefix, and functions that build the whole key.
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
