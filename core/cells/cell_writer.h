#pragma once

#include "core/cells/cell_lease.h"
#include "core/cells/job_queue.h"
#include "core/cells/job_registry.h"

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
class CellWriter
{
public:
    /// Row limit of one transaction; the store accepts 100 entries including the condition.
    static constexpr std::size_t maxRows = 90;
    /// Rows of new jobs that a transaction takes whatever else has changed, and of changed ones.
    static constexpr std::size_t maxRowsOfAKind = maxRows / 3;
    /// Limit of the payloads and of the progress in one transaction; the store accepts 1 MB per call, encoded in
    /// base64.
    static constexpr std::size_t maxPayloadBytes = 400'000;
    /// Limit of the rows of waves in one transaction.
    static constexpr std::size_t maxWaves = 10;
    /// Limit of the parts of the list of workers in one transaction.
    static constexpr std::size_t maxRosterParts = 4;
    /// Smaller payloads stay in the rows of ended jobs; removing them would not be worth another write.
    static constexpr std::size_t minRemovedPayload = 256;
    /// Pause after a write that the store refused or left unanswered.
    static constexpr Duration retryPause{80};

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
        /// Ends that are stored with this transaction; set when it has succeeded.
        Ends ends = {};
    };

    void clear();
    void addJob(const JobId &job);
    void changeJob(const JobId &job);
    void dropJob(const JobId &job);
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
    /// Queues all changes of the pending transaction again, since it may have failed.
    void fail(TimePoint now);

private:
    /// The ends that were processed when a transaction was sent. They are stored when the jobs that had changed by then
    /// are stored: those of the transaction and those with places below @c place. Rows that are built later contain
    /// these ends as well.
    struct Checkpoint
    {
        std::int64_t place = 0;
        Ends ends;
    };

    void takeJobs(CellTransaction &transaction, const JobRegistry &registry);
    void takeProgress(CellTransaction &transaction, const JobRegistry &registry);
    void takeRoster(CellTransaction &transaction, const WorkerRoster &roster, TimePoint now);

    JobQueue m_newJobs;
    JobQueue m_changedJobs;
    JobQueue m_droppedJobs;
    std::map<std::uint64_t, WaveRow> m_waves;
    std::optional<HostOrdersRow> m_hostOrders;
    bool m_areHostOrdersUrgent = false;
    /// Parts of the list of workers may have changed that are not in @c m_rosterParts yet.
    bool m_isRosterChanged = false;
    /// Parts of the list of workers that have to be stored.
    std::set<std::uint32_t> m_rosterParts;
    /// Workers in each part when it was last written.
    std::map<std::uint32_t, std::vector<KnownWorker>> m_writtenRoster;
    bool m_isOwnerRequired = false;
    TimePoint m_notBefore;
    std::optional<Pending> m_pending;
    /// Smoothed time of a transaction.
    TimePoint::duration m_writeTime{0};
    /// Those of transactions that succeeded, in their order, then that of the pending transaction.
    std::deque<Checkpoint> m_checkpoints;
};

} // namespace radishvane::cells
