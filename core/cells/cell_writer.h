#pragma once

#include "core/cells/call_budget.h"
#include "core/cells/cell_lease.h"
#include "core/cells/job_queue.h"
#include "core/cells/job_registry.h"
#include "core/cells/store_change.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace radishvane::cells
{

/// Batches the changes that a cell's owner has to store into transactions, one at a time.
///
/// Every transaction writes whole rows and is conditional on the version of the owner's row. A transaction without an
/// answer can therefore be repeated: the repetition writes the owner's row as well, so a late execution of the first
/// one fails on its condition.
///
/// A transaction that the store rejects is never repeated as it is. The next one only renews the lease. Those after it
/// contain ever smaller parts of the rejected changes, until the change that the store does not accept is alone in one
/// and is given up.
class CellWriter
{
public:
    /// Row limit of one transaction.
    static constexpr std::size_t maxRows = 90;
    /// Rows of new jobs that a transaction takes whatever else has changed, and of changed ones.
    static constexpr std::size_t maxRowsOfAKind = maxRows / 3;
    /// Limit of the rows of waves in one transaction.
    static constexpr std::size_t maxWaves = 10;
    /// Limit of the parts of the list of workers in one transaction.
    static constexpr std::size_t maxRosterParts = 4;
    /// Smaller payloads stay in the rows of ended jobs; removing them would not be worth another write.
    static constexpr std::size_t minRemovedPayload = 256;
    /// Pause after a write that the store refused or left unanswered.
    static constexpr Duration retryPause{80};
    /// Rejections of a change that is alone in its transaction after which it is given up.
    static constexpr int maxRejections = 2;

    /// When a change has to be stored.
    enum class Urgency {
        Now,
        /// In the next transaction, whatever causes it.
        WithNextWrite,
    };

    /// For each worker the incarnation and the number of an ended run; the ends up to this one are stored.
    using Ends = std::map<WorkerId, std::pair<std::int64_t, std::uint64_t>>;

    /// A transaction without an answer so far.
    struct Pending
    {
        CallId call;
        CellTransaction transaction;
        TimePoint sent;
        /// Changes that the transaction stores, without the renewal of the lease and a release.
        std::vector<StoreChange> changes = {};
        /// Ends that are stored with this transaction; set when it has succeeded.
        Ends ends = {};
    };

    explicit CellWriter(StoreLimits limits);

    void clear();
    void addJob(const JobId &job);
    void changeJob(const JobId &job);
    void dropJob(const DeletedJob &job);
    void changeRoster();
    void changeWave(const WaveRow &wave);
    void changeHostOrders(HostOrdersRow row, Urgency urgency);
    /// Includes the owner's row in the next transaction, so that the store cannot execute an earlier one after it.
    void requireOwner();

    /// Whether changes wait to be written.
    bool hasWork() const;
    /// Expected time until a job that is added now is stored, if it has to wait for other jobs; 0 if it does not.
    Duration backlog(TimePoint now) const;
    const std::optional<Pending> &pending() const;
    /// Builds the next transaction if one is due.
    std::optional<CellTransaction> next(const CellId &cell, const JobRegistry &registry, const WorkerRoster &roster,
                                        const CellLease &lease, TimePoint now);
    void sent(CallId call, CellTransaction transaction, const WorkerRoster &roster, TimePoint now);
    /// Records that the store has answered the pending transaction.
    void recordAnswer(TimePoint now);
    /// Completes the pending transaction and returns it.
    Pending succeed();
    /// Adds as many rows of a release to the transaction that next() has just built as the store accepts with it.
    void addRelease(CellTransaction &transaction, std::vector<ReleaseRow> rows);
    /// Queues all changes of the pending transaction again, since it may have failed.
    void fail(TimePoint now);
    /// Queues the changes of the pending transaction, which the store never accepts as it is, again in smaller ones.
    void reject(TimePoint now);
    /// Returns the changes that were given up since the last call, because the store never accepts them.
    std::vector<StoreChange> takeUnstorable();

private:
    /// The ends that were processed when a transaction was sent. They are stored when the jobs that had changed by then
    /// are stored: those of the transaction and those with places below @c place. Rows that are built later contain
    /// these ends as well.
    struct Checkpoint
    {
        std::int64_t place = 0;
        Ends ends;
    };

    /// A transaction that is being built, and the state that its rows are made of.
    struct Draft
    {
        const JobRegistry &registry;
        TimePoint now;
        std::map<std::uint32_t, RosterRow> roster;
        CellTransaction transaction = {};
        std::vector<StoreChange> changes = {};
        /// What a single change may take.
        CallBudget full = {};
        CallBudget left = {};
    };

    enum class Taken {
        Yes,
        /// There is nothing to store, or the change was given up.
        NotNeeded,
        /// The transaction has no capacity for the change, which waits.
        NoRoom,
    };

    /// Moves a waiting change into a transaction.
    Taken take(const StoreChange &change, Draft &draft);
    Taken takeRow(const NewJobChange &change, Draft &draft);
    Taken takeRow(const ProgressChange &change, Draft &draft);
    Taken takeRow(const WaveChange &change, Draft &draft);
    Taken takeRow(const RosterChange &change, Draft &draft);
    Taken takeRow(const HostOrdersChange &change, Draft &draft);
    Taken takeRow(const DeletionChange &change, Draft &draft);
    /// Uses up @p size in the transaction. A change that fits into no transaction is given up.
    Taken reserve(const StoreChange &change, const EntrySize &size, Draft &draft);
    void takeWaves(Draft &draft);
    void takeJobs(Draft &draft);
    /// Takes changed jobs until the transaction contains @p maxJobs.
    void takeProgress(Draft &draft, std::size_t maxJobs);
    void takeRoster(Draft &draft);
    void takeDeletions(Draft &draft);
    /// Takes the first half of the suspects.
    void takeSuspects(Draft &draft);
    void takeAll(Draft &draft);
    void findChangedParts(const WorkerRoster &roster, const std::map<std::uint32_t, RosterRow> &rows);
    /// Removes a change that the store never accepts from those that wait.
    void giveUp(const StoreChange &change);

    StoreLimits m_limits;
    JobQueue m_newJobs;
    JobQueue m_changedJobs;
    std::map<JobId, DeletedJob> m_droppedJobs;
    std::map<std::uint64_t, WaveRow> m_waves;
    std::optional<HostOrdersRow> m_hostOrders;
    bool m_areHostOrdersUrgent = false;
    /// Parts of the list of workers may have changed that are not in @c m_rosterParts yet.
    bool m_isRosterChanged = false;
    /// Parts of the list of workers that have to be stored.
    std::set<std::uint32_t> m_rosterParts;
    /// Workers in each part when it was last written.
    std::map<std::uint32_t, std::vector<KnownWorker>> m_writtenRoster;
    /// Parts of the list of workers that the store never accepts.
    std::map<std::uint32_t, std::vector<KnownWorker>> m_unstorableRoster;
    bool m_isOwnerRequired = false;
    /// The next transaction contains nothing but the renewal of the lease.
    bool m_isOnlyOwnerDue = false;
    /// Changes of a rejected transaction, of which the store does not accept at least one. They are written before all
    /// others.
    std::vector<StoreChange> m_suspects;
    int m_rejections = 0;
    /// The store has rejected a transaction with rows of a release, so that the next one goes without.
    bool m_omitsRelease = false;
    std::vector<StoreChange> m_unstorable;
    /// Of the transaction that was built last and is not sent yet.
    std::vector<StoreChange> m_builtChanges;
    CallBudget m_budgetLeft;
    /// New jobs that the last transaction with more waiting ones took.
    std::size_t m_jobsPerTransaction = maxRowsOfAKind;
    TimePoint m_notBefore;
    std::optional<Pending> m_pending;
    /// Smoothed time of a transaction.
    TimePoint::duration m_writeTime{0};
    /// Those of transactions that succeeded, in their order, then that of the pending transaction.
    std::deque<Checkpoint> m_checkpoints;
};

} // namespace radishvane::cells
