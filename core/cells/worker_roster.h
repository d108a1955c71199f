#pragma once

#include "core/cells/cell_messages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace radishvane::cells
{

/// What the owner of a cell knows of one worker.
struct Worker
{
    WorkerId id;
    HostId host;
    PoolId pool;
    Endpoint endpoint;
    std::int64_t born = 0;
    /// What it says in discovery; nothing while it is not there.
    std::optional<WorkerEntry> entry;

    /// It has answered under this epoch, so that it refuses older ones, and its clock is known.
    bool fenced = false;
    /// The store's list of workers names it, so that a later owner asks it too.
    bool recorded = false;
    /// The last call had no answer; it gets no new lease and no tasks until it answers.
    bool silent = false;
    /// Its life has ended for certain; the entry in discovery lags behind.
    bool gone = false;
    /// When that was found.
    TimePoint goneAt;
    /// Kept free, so that its host can be maintained.
    bool cordoned = false;
    /// When it was last free to take tasks.
    TimePoint cordonedAt;

    /// Its clock in milliseconds at @c clockAt.
    std::int64_t clock = 0;
    TimePoint clockAt;
    /// Latest deadline that was ordered, on its clock; 0 when none.
    std::int64_t leaseDeadline = 0;
    /// The same without the hold call under way.
    std::int64_t earlierDeadline = 0;
    /// Whatever an earlier owner had it run has ended by then.
    TimePoint inheritedUntil;

    /// The hold call under way; 0 when none.
    CallId hold;
    TimePoint holdSent;
    TimePoint nextHold;
    /// Ends up to here have been applied to the job registry.
    std::uint64_t processed = 0;
    /// Ends up to here are stored.
    std::uint64_t stored = 0;
    /// Ends up to here have been noted at the worker.
    std::uint64_t noted = 0;
    /// Ends up to here are noted by the hold call under way.
    std::uint64_t holdNotes = 0;

    /// Tasks that it runs or may run.
    std::set<TaskId> tasks;
    Resources used;
    /// What it runs that is not ours to go on with, by its own list: what is being stopped still takes room.
    std::map<TaskId, std::pair<TeamId, Resources>> foreign;
    Resources foreignUsed;
    /// It runs something of which not even the needs are known, so that its room cannot be told.
    bool runsUnknown = false;
    /// Lasting tasks with a bound on their tail.
    std::uint32_t guarded = 0;
    std::uint32_t filling = 0;
    std::uint64_t fillingCpu = 0;
    /// Filling tasks have disturbed a lasting one here; none comes before then.
    TimePoint fillNotBefore;

    std::uint32_t failuresInARow = 0;
    TimePoint avoidedUntil;

    /// Whether everything that an earlier owner may have started here has ended or is known.
    bool isSettled(TimePoint now) const;
    /// Whether a task may be started here.
    bool takesTasks(TimePoint now) const;
    bool hasLabel(const std::string &label) const;
    Resources room() const;
    /// Its clock at @p now, as near as can be told.
    std::int64_t clockNow(TimePoint now) const;
    /// Its clock at @p now is that or later, however slow it runs.
    std::int64_t clockAtLeast(TimePoint now) const;
    /// Whether the lease of all that it runs has expired for certain.
    bool hasLapsed(TimePoint now) const;
    /// Whether it runs nothing for certain, and gets no new lease, so that a later owner need not ask it.
    bool isLeaseless(TimePoint now) const;
    WorkerAddress address() const;
};

/// All workers of a cell: those in discovery and those that may still run something.
class WorkerRoster
{
public:
    /// Begins anew under a new epoch with the workers that the last owner recorded.
    /// @param inheritedUntil whatever the last owner ordered has ended by then.
    void reset(const RosterRow &recorded, TimePoint inheritedUntil);
    /// Takes over what discovery shows.
    /// @return workers whose life has ended, since another has their id.
    std::vector<WorkerId> see(const std::vector<WorkerEntry> &entries);
    /// Recorded workers that do not answer, and whose hosts are known to run nothing of them any more: the host is
    /// being moved or maintained, or runs another worker.
    std::vector<WorkerId> replaced(const HostList &list) const;
    /// Workers taken for gone that their hosts run all the same, by a list asked for long enough after: the order that
    /// was to end them had been carried out before their time.
    std::vector<WorkerId> stillThere(const HostList &list) const;
    /// Workers that are not in discovery and run nothing, so that they may be forgotten.
    std::vector<WorkerId> forgettable(TimePoint now) const;
    void forget(const WorkerId &id);

    Worker *find(const WorkerId &id);
    const Worker *find(const WorkerId &id) const;
    std::map<WorkerId, Worker> &all();
    const std::map<WorkerId, Worker> &all() const;
    /// Whether some worker of @p pool may run tasks that an earlier owner started and that are not known yet.
    bool isUnsettled(const PoolId &pool, TimePoint now) const;
    /// The workers to which orders may have gone whose leases are not known to have expired.
    RosterRow row(TimePoint now) const;
    /// Starts a new life of a worker, which knows nothing of before.
    void beginLife(Worker &worker, std::int64_t born);

private:
    std::map<WorkerId, Worker> m_workers;
};

} // namespace radishvane::cells
