#pragma once

#include "core/cells/cell_lease.h"
#include "core/cells/cell_outbox.h"
#include "core/cells/cell_writer.h"
#include "core/cells/host_desk.h"
#include "core/cells/run_controller.h"
#include "core/cells/team_shares.h"

#include <map>
#include <optional>
#include <vector>

namespace radishvane::cells
{

/// One cell as one entry host sees it: watches its owner, and as its owner takes jobs, stores them, runs them and
/// maintains hosts.
class CellKeeper
{
public:
    /// Jobs that have not ended; more are refused, so that the memory is bounded.
    static constexpr std::size_t mostLiveJobs = 4'000;
    /// When a refused caller had best come back.
    static constexpr Duration retryAfter{1'000};
    /// A caller whose job is not stored by then is told that it may or may not have been accepted.
    static constexpr Duration storeWait{1'200};
    /// Pause after a read that the store did not answer.
    static constexpr Duration readRetry{150};

    CellKeeper(CellId cell, HostId host, std::uint64_t incarnation, Endpoint link, CellTimes times);

    CellEffects handle(const CellEvent &event, Instant now);

    /// The owner's row that was seen last.
    const std::optional<OwnerRow> &owner() const;
    /// Whether this process owns the cell for certain and has rebuilt it.
    bool isServing(TimePoint now) const;
    const JobRegistry &registry() const;
    const WorkerRoster &roster() const;

private:
    void on(const OrderAnswered &event);
    void on(const HoldAnswered &event);
    void on(const AdmissionAnswered &event);
    void on(const CellWritten &event);
    void on(const CellReadDone &event);
    void on(const OwnerSeen &event);
    void on(const StoreContact &event);
    void on(const ConfigSeen &event);
    void on(const WorkersSeen &event);
    void on(const WavesSeen &event);
    void on(const HostsListed &event);
    void on(const HostOrderAnswered &event);
    void on(const WaveReported &event);
    void on(const SubmitJob &event);
    void on(const AskJob &event);
    void on(const CancelJob &event);
    void on(const AskPending &event);
    void on(const CellTick &event);
    void on(const CellStop &event);

    void advance(bool isTick);
    void advanceOwnership();
    void advanceWrites();
    void dropOldJobs();
    void answerWaiting();
    void activate();
    void deactivate(CellDecision why, const std::string &reason);
    void write(CellTransaction transaction);
    void onWritten(std::uint64_t version);
    void onConflict(const CellWritten &event);
    void applyConfig(Job &job) const;
    void answer(ExchangeId exchange, CallAnswer answer);
    void answerAll(std::vector<ExchangeId> &exchanges, CallAnswer reply);
    static GraphState shownState(const Job &job);

    CellId m_cell;
    HostId m_host;
    CellTimes m_times;
    CellOutbox m_outbox;
    CellLease m_lease;
    CellWriter m_writer;
    RunController m_runs;
    HostDesk m_hosts;
    TeamShares m_shares;

    bool m_active = false;
    bool m_rebuilt = false;
    bool m_stopping = false;
    /// The transaction under way takes or gives back the cell.
    bool m_releasing = false;
    CallId m_read;
    TimePoint m_readNotBefore;
    TimePoint m_nextDrop;
    TimePoint m_nextAnswer;

    SiteConfigPtr m_config;
    std::vector<WorkerEntry> m_entries;
    std::vector<Wave> m_waveList;
};

} // namespace radishvane::cells
