#pragma once

#include "core/cells/cell_messages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace radishvane::cells
{

/// Which leases of earlier owners a worker may hold at most.
enum class LeaseBound {
    /// Those that owners grant. They are longer only on a worker that has restarted without its owner's knowledge.
    Usual,
    /// The longest that the platform's workers grant.
    Longest,
};

/// A start order that has not been refused, and that neither a list of the worker nor the clock in an answer shows to
/// have been carried out by the incarnation that it was meant for.
struct UnlistedStart
{
    /// Time after which the order is no longer carried out.
    TimePoint lateUntil;
    /// An incarnation of the worker has accepted the order, so that no later one carries it out.
    bool isAccepted = false;
};

/// State of one worker as known to the owner of a cell.
struct Worker
{
    WorkerId id;
    HostId host;
    PoolId pool;
    Endpoint endpoint;
    std::int64_t startedAtMs = 0;
    /// Number of the incarnation; it rises with each incarnation of any worker that the owner learns of.
    std::uint64_t incarnationNumber = 0;
    /// Lower half of the fencing token of the orders to the worker. It rises with each incarnation of any worker, and
    /// with the first start after an acknowledgement that may still be carried out.
    std::uint64_t fenceNumber = 0;
    /// Its entry in discovery; empty while discovery does not list the worker.
    std::optional<WorkerEntry> entry;

    /// Part of the stored list that names the worker. It stays the same, so that no part has to be written before
    /// another.
    std::uint32_t rosterPart = 0;
    /// The worker has answered under this epoch, so it refuses orders of older epochs and its clock is known.
    bool fenced = false;
    /// The stored list of workers includes the worker, so that a later owner queries it too.
    bool recorded = false;
    /// The last call was not answered; the worker gets no lease renewal and no tasks until it answers.
    bool unreachable = false;
    /// The worker's last list of ended runs was full, so it may have ended runs that the owner does not know.
    bool hasUnlistedEnds = false;
    /// The log says that tasks wait for the worker.
    bool isWaitLogged = false;
    /// The incarnation is known to have ended, although discovery may still list the worker.
    bool incarnationEnded = false;
    /// Time at which the end of the incarnation was detected.
    TimePoint incarnationEndedAt;
    /// The worker gets no new tasks, so that its host can be maintained or moved.
    bool cordoned = false;
    /// An order may still end the worker's host. The worker gets no new tasks, but is not drained.
    bool isHostInDoubt = false;
    /// Time at which the worker was last not cordoned.
    TimePoint cordonedAt;

    /// The worker's clock in milliseconds at @c clockAt.
    std::int64_t clock = 0;
    TimePoint clockAt;
    /// Latest lease deadline that was ordered, on the worker's clock; 0 if none.
    std::int64_t leaseDeadline = 0;
    /// Latest lease deadline without the pending lease renewal.
    std::int64_t previousDeadline = 0;
    /// All runs that an earlier owner started on the worker have ended by this time.
    TimePoint inheritedUntil;
    /// The same for the leases that owners grant.
    TimePoint inheritedUsuallyUntil;
    /// The worker may hold the longest lease of an earlier owner: it has restarted, or left a start unanswered.
    bool mayHoldLongestLease = false;
    /// Orders that were sent to the former incarnation have lost their effect by this time.
    TimePoint settledAt;
    /// A start without an answer may have been accepted by a new incarnation, whose leases have expired by this time.
    TimePoint unverifiedUntil;
    /// Time at which the last start was found to have no answer.
    TimePoint unansweredAt;
    /// Starts that wait for their answers.
    std::size_t pendingStarts = 0;
    /// Starts without an answer may be carried out until this time by the next incarnation, which refuses them once it
    /// has been called.
    TimePoint lateOrdersUntil;
    /// Starts of this owner and of earlier ones.
    std::map<std::pair<TaskId, RunNumber>, UnlistedStart> unlistedStarts;

    /// The pending lease renewal; 0 if none.
    CallId renewal;
    TimePoint renewalSentAt;
    /// When the last renewal that the incarnation has answered was sent. A later incarnation is younger than that.
    TimePoint aliveSince;
    TimePoint nextRenewal;
    /// Number of the last ended run that the job registry includes.
    std::uint64_t processed = 0;
    /// Number of the last ended run that is stored.
    std::uint64_t stored = 0;
    /// Number of the last ended run whose acknowledgement the worker has confirmed.
    std::uint64_t acknowledged = 0;
    /// Number of the last ended run that the pending lease renewal acknowledges.
    std::uint64_t renewalAcknowledges = 0;
    /// Fence number of the pending lease renewal.
    std::uint64_t renewalFenceNumber = 0;
    /// Acknowledgements with the present fencing token that have no answer.
    std::size_t openAcknowledgements = 0;

    /// Tasks that run or may run on the worker.
    std::set<TaskId> tasks;
    Resources used;
    /// Tasks on the worker's own list that the cell does not continue; they use capacity until they have stopped.
    std::map<TaskId, std::pair<TeamId, Resources>> foreignTasks;
    Resources foreignUsed;
    /// The worker runs a task with unknown needs, so its free capacity is unknown.
    bool hasUnknownTasks = false;
    /// Number of service tasks with a limit on their tail latency.
    std::uint32_t latencyBoundTasks = 0;
    std::uint32_t bestEffortTasks = 0;
    std::uint64_t bestEffortCpu = 0;
    /// Best-effort tasks have disturbed a service task on the worker; no new ones start before this time.
    TimePoint bestEffortNotBefore;

    std::uint32_t failuresInARow = 0;
    TimePoint avoidedUntil;

    /// Whether every run that an earlier owner may have started on the worker is known or has ended.
    bool isReconciled(TimePoint now, LeaseBound bound = LeaseBound::Longest) const;
    /// Whether an answer at @p now with a reading of the worker's clock is from the incarnation that is known, since
    /// the clock of a later one would be behind.
    bool isOwnClock(std::int64_t reading, TimePoint now) const;
    /// Whether a task may be started on the worker.
    bool acceptsTasks(TimePoint now) const;
    /// Whether the store holds the end of every run that the worker has reported as ended. Until then the worker's own
    /// list is the only record that a later owner can read.
    bool hasStoredEnds() const;
    /// Whether ends that are stored may be acknowledged. The acknowledgement may reach the next incarnation, and must
    /// not make it forget the end of a run whose start has reached that incarnation as well.
    bool mayAcknowledge(TimePoint now) const;
    /// Whether nothing runs on the worker and nothing is lost when it ends.
    bool isIdle() const;
    bool hasLabel(const std::string &label) const;
    Resources room() const;
    /// Estimates the worker's clock at @p now.
    std::int64_t estimatedClock(TimePoint now) const;
    /// Returns a lower bound of the worker's clock at @p now, assuming the slowest clock.
    std::int64_t minClock(TimePoint now) const;
    /// Corrects the estimate by a reading from an answer of the present incarnation.
    void recordClock(std::int64_t reading, TimePoint now);
    /// Returns the deadline of an order that grants a lease of at most @p leaseTime, however fast the worker's clock
    /// is.
    std::int64_t leaseDeadlineAfter(Duration leaseTime, TimePoint now) const;
    /// Whether the leases of all runs on the worker have certainly expired.
    bool hasLeaseExpired(TimePoint now) const;
    /// Time after which the leases of all runs on the worker have expired, if this owner grants no more of them; empty
    /// if it is not known.
    std::optional<Duration> leaseLeft(TimePoint now) const;
    /// Whether the worker certainly runs nothing and gets no new lease, so that a later owner need not query it.
    bool holdsNoLease(TimePoint now) const;
    WorkerAddress address() const;
};

/// Registry of the workers of a cell: those in discovery and those that may still run tasks.
class WorkerRoster
{
public:
    /// Bounds on the encoded parts of the list, below the size of a row that the store accepts. A version that knows
    /// the first part only reads all workers of a fleet that fits into one row.
    static constexpr std::size_t maxFirstPartBytes = 64'000;
    static constexpr std::size_t maxPartBytes = 16'000;

    /// Starts a new epoch with the workers that the last owner recorded.
    /// @param inheritedUntil time by which all runs of the last owner have ended.
    /// @param inheritedUsuallyUntil the same for workers that hold no longer leases than owners grant.
    void reset(const std::vector<RosterRow> &recorded, TimePoint inheritedUntil, TimePoint inheritedUsuallyUntil);
    /// Records that parts of the list cannot be read, so that any worker may run tasks of earlier owners.
    /// @param unknownUntil time by which these tasks have ended. The parts are not written before.
    void loseParts(const std::set<std::uint32_t> &parts, TimePoint unknownUntil);
    /// Whether tasks of earlier owners may run on workers that are not known.
    bool hasUnknownWorkers(TimePoint now) const;
    /// Makes lost parts usable once the tasks on their workers have ended.
    /// @return whether there were any.
    bool regainLostParts(TimePoint now);
    /// Updates the roster from the entries in discovery.
    /// @return workers whose former incarnations have ended, since a newer one has the same id.
    std::vector<WorkerId> observe(const std::vector<WorkerEntry> &entries);
    /// Recorded workers that do not answer and cannot run on their hosts any more, since the host is being moved or
    /// maintained or runs another worker.
    std::vector<WorkerId> replaced(const HostList &list) const;
    /// Workers that were marked as ended although their hosts still run them according to a sufficiently recent list.
    /// In this case the order that should have ended the worker was carried out before the worker started.
    std::vector<WorkerId> wronglyEnded(const HostList &list) const;
    /// Workers that are not in discovery and run nothing, so that they may be removed.
    std::vector<WorkerId> removable(TimePoint now) const;
    void remove(const WorkerId &id);

    Worker *find(const WorkerId &id);
    const Worker *find(const WorkerId &id) const;
    std::map<WorkerId, Worker> &all();
    const std::map<WorkerId, Worker> &all() const;
    /// Whether a worker may run unknown tasks of an earlier owner. The pool of the worker does not matter, since the
    /// queue of the tasks may have had another pool when they started.
    bool hasUnreconciledWorker(TimePoint now, LeaseBound bound) const;
    /// Whether worker @p id runs no unknown tasks of an earlier owner.
    bool isReconciled(const WorkerId &id, TimePoint now, LeaseBound bound) const;
    /// The workers that may have received orders and whose leases are not known to have expired, in parts. A part
    /// whose workers are gone is empty.
    std::vector<RosterRow> rows(TimePoint now) const;
    /// Lets the worker refuse all earlier orders once it has carried out the next one.
    void raiseFence(Worker &worker);
    /// Resets the state of a worker for a new incarnation.
    void beginIncarnation(Worker &worker, std::int64_t startedAtMs);

private:
    void assignPart(Worker &worker);

    std::uint64_t m_incarnations = 0;
    std::map<WorkerId, Worker> m_workers;
    /// Upper bound of the encoded size of each part.
    std::map<std::uint32_t, std::size_t> m_partBytes;
    std::set<std::uint32_t> m_lostParts;
    TimePoint m_unknownUntil;
};

} // namespace radishvane::cells
