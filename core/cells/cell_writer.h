#pragma once

#include "core/cells/cell_lease.h"
#include "core/cells/job_registry.h"

#include <map>
#include <optional>
#include <set>

namespace radishvane::cells
{

/// Collects what a cell's owner has to store, and gives it to the store in one transaction at a time.
///
/// All writes put whole rows under the guard of the owner's row, so that one without an answer may be repeated: a write
/// of the owner's row first makes a late one void.
class CellWriter
{
public:
    /// Most rows of one transaction; the store takes 100 entries with its guard.
    static constexpr std::size_t mostRows = 90;
    /// Most bytes of payload in one transaction; the store takes 1 MB a call, in base64.
    static constexpr std::size_t mostPayload = 400'000;
    /// Pause after a write that the store refused or did not answer.
    static constexpr Duration retryPause{80};

    /// What a transaction under way will have stored.
    struct Pending
    {
        CallId call;
        CellTransaction transaction;
        TimePoint sent;
        /// Ends of each worker that its rows take account of.
        std::map<WorkerId, std::pair<std::int64_t, std::uint64_t>> ends;
    };

    void clear();
    void addJob(const JobId &job);
    void changeJob(const JobId &job);
    void dropJob(const JobId &job);
    void changeRoster();
    void changeWave(const WaveRow &wave);
    /// The next transaction must write the owner's row, so that no earlier one is carried out after it.
    void requireOwner();

    /// Whether something waits to be written.
    bool hasWork() const;
    const std::optional<Pending> &pending() const;
    /// The next transaction, if one is due.
    std::optional<CellTransaction> next(const CellId &cell, const JobRegistry &registry, const WorkerRoster &roster,
                                        const CellLease &lease, TimePoint now);
    void sent(CallId call, CellTransaction transaction, const WorkerRoster &roster, TimePoint now);
    /// The transaction under way has succeeded; gives what it stored.
    Pending succeed();
    /// The transaction under way has not succeeded for certain, and all that it held is to be written again.
    void fail(TimePoint now);

private:
    void takeJobs(CellTransaction &transaction, const JobRegistry &registry);
    void takeProgress(CellTransaction &transaction, const JobRegistry &registry);

    std::set<JobId> m_newJobs;
    std::set<JobId> m_changedJobs;
    std::set<JobId> m_droppedJobs;
    std::map<std::uint64_t, WaveRow> m_waves;
    bool m_roster = false;
    bool m_ownerRequired = false;
    TimePoint m_notBefore;
    std::optional<Pending> m_pending;
};

} // namespace radishvane::cells
