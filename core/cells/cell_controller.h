#pragma once

#include "core/cells/cell_handover.h"
#include "core/cells/cell_lease.h"
#include "core/cells/cell_outbox.h"
#include "core/cells/cell_writer.h"
#include "core/cells/held_calls.h"
#include "core/cells/host_capacity.h"
#include "core/cells/host_controller.h"
#include "core/cells/run_controller.h"
#include "core/cells/team_shares.h"

#include <map>
#include <optional>
#include <vector>

namespace radishvane::cells
{

/// State machine of one cell on one entry host.
///
/// Follows the ownership of the cell. While this process is the owner, accepts and stores jobs, schedules their tasks,
/// and maintains and moves hosts.
class CellController
{
public:
    /// Limit of jobs that have not ended; further jobs are refused to bound the memory use.
    static constexpr std::size_t maxLiveJobs = 4'000;
    /// Recommended delay before a refused caller retries.
    static constexpr Duration retryAfter{1'000};
    /// Limit of the delay that is recommended when the backlog of starts is long.
    static constexpr Duration maxRetryAfter{30'000};
    /// A caller whose job is not stored after this time receives an answer that its acceptance is in doubt.
    static constexpr Duration storeTimeout{1'200};
    /// A job whose row would wait longer for the rows of others is refused.
    static constexpr Duration maxStoreBacklog{600};
    /// Pause after a read or write that failed in the store.
    static constexpr Duration storeRetryPause{150};

    CellController(CellId cell, HostId host, std::uint64_t incarnation, Endpoint link, CellTimes times,
                   HostCapacity capacity, StoreLimits store, HostServiceLimits hostService = {});

    CellEffects handle(const CellEvent &event, Instant now);

    /// The owner's row that was observed last.
    const std::optional<OwnerRow> &owner() const;
    /// Whether this process holds a valid lease of the cell and has rebuilt its state.
    bool isServing(TimePoint now) const;
    /// Whether the cell is not this process's, and no write that could make it so is pending.
    bool hasReleased() const;
    const JobRegistry &registry() const;
    const WorkerRoster &roster() const;

private:
    /// Progress of an owner in giving up the cell.
    enum class Release {
        None,
        /// Waits for a transaction that takes all changes.
        Requested,
        /// The pending transaction releases the cell.
        Pending,
        /// The transaction had no answer. Nothing is started until the next one has settled it, since another host may
        /// own the cell.
        InDoubt,
    };

    void on(const OrderAnswered &event);
    void on(const LeaseRenewalAnswered &event);
    void on(const AdmissionAnswered &event);
    void on(const CellWritten &event);
    void on(const CellReadDone &event);
    void on(const OwnerObserved &event);
    void on(const StoreContact &event);
    void on(const ConfigObserved &event);
    void on(const WorkersObserved &event);
    void on(const WavesObserved &event);
    void on(const HostsListed &event);
    void on(const HostOrderAnswered &event);
    void on(const WaveReported &event);
    void on(const SubmitJob &event);
    void on(const QueryJob &event);
    void on(const CancelJob &event);
    void on(const QueryPending &event);
    void on(const RequestHandover &event);
    void on(const HandoverAnswered &event);
    void on(const CellTick &event);
    void on(const CellStop &event);

    void advance(bool isTick);
    void advanceOwnership();
    void advanceHandover();
    void advanceWrites();
    void dropExpiredJobs();
    void answerTimedOutCallers();
    /// Refuses a job that the store does not hold.
    void withdraw(const JobId &id, CallAnswer reply, const std::string &reason);
    /// Keeps @p call until the state of the cell is rebuilt, if that is likely to be soon.
    bool hold(const HeldCalls::Call &call);
    void answerHeldCalls();
    void refuseHeldCalls();
    /// Keeps new tasks off the hosts that are about to be moved or maintained.
    void cordonHosts();
    void activate();
    void deactivate(CellDecision decision, const std::string &reason);
    void write(CellTransaction transaction);
    /// Ends what depends on changes that the store never accepts.
    void dropUnstorable();
    void drop(const NewJobChange &change);
    void drop(const ProgressChange &change);
    void onWritten(std::uint64_t version);
    void onConflict(const CellWritten &event);
    bool isGivingUp() const;
    void applyConfig(Job &job) const;
    /// Refuses a job that would end too late if it were accepted now.
    /// @return whether the job was refused.
    bool refuseIfLate(const SubmitJob &job, bool withinShare);
    void answer(ExchangeId exchange, CallAnswer answer, Duration retryDelay = retryAfter);
    void answerAll(std::vector<ExchangeId> &exchanges, CallAnswer reply);
    static GraphState reportedState(const Job &job);

    CellId m_cell;
    HostId m_host;
    CellTimes m_times;
    CellOutbox m_outbox;
    CellLease m_lease;
    CellHandover m_handover;
    CellWriter m_writer;
    RunController m_runs;
    HostController m_hosts;
    TeamShares m_shares;
    HeldCalls m_heldCalls;

    bool m_isActive = false;
    bool m_isRebuilt = false;
    bool m_isStopping = false;
    Release m_release = Release::None;
    /// The host that asked for the cell.
    HostId m_fitterHost;
    CallId m_pendingRead;
    TimePoint m_activatedAt;
    TimePoint m_retryNotBefore;
    /// The last write got no answer, so a job that is submitted now would probably be answered in doubt.
    bool m_isStoreSilent = false;
    TimePoint m_nextDropCheck;
    TimePoint m_nextTimeoutCheck;

    SiteConfigPtr m_config;
    std::vector<WorkerEntry> m_entries;
    std::vector<Wave> m_knownWaves;
};

} // namespace radishvane::cells
