#pragma once

#include "core/cells/admission_controller.h"
#include "core/cells/run_ledger.h"
#include "core/cells/start_backlog.h"
#include "core/cells/start_pacer.h"
#include "core/cells/start_planner.h"
#include "core/cells/unknown_runs.h"
#include "core/cells/work_backlog.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace radishvane::cells
{

/// Starts tasks: selects the next tasks and their workers, has the starts stored, sends the start orders, and handles
/// the answers.
///
/// A start is stored before its order is sent. An order may be carried out long after its owner has ended, so each
/// later owner has to know which worker may run the task.
class StartController
{
public:
    /// Time for a start order to be carried out. A worker refuses the order after it.
    static constexpr Duration startWindow{1'500};
    /// Time for which a worker that reports itself unhealthy gets no tasks.
    static constexpr Duration unhealthyPause{250};
    /// Pause before a task whose start a worker has rejected as invalid is started again, on another worker if
    /// possible.
    static constexpr Duration invalidStartPause{1'000};
    /// The interval between two planning passes is 1 ms for each of this many live jobs, which bounds the share of time
    /// that planning takes.
    static constexpr std::size_t jobsPerMillisecond = 8;
    /// Limit on the starts of one planning pass. The remaining starts follow in the next pass.
    static constexpr std::size_t maxStartsPerPass = 64;
    /// Age at which a start without an answer is stored for later owners.
    static constexpr Duration unansweredAge{100};
    /// Time from planning after which a stored start whose ticket has expired is withdrawn.
    static constexpr Duration maxTicketWait{5'000};
    /// Shortest interval between two planning passes while the pacer limits the starts.
    static constexpr Duration pacedPlanningInterval{10};

    StartController(CellOutbox &outbox, RunLedger &runs, CellTimes times, const HostCapacity &capacity);

    void clear();
    /// Runs a planning pass if one was requested and the interval since the last one has passed.
    void planStarts(const SiteConfig &config);
    /// @return whether the answer belongs to a start order.
    bool answered(const OrderAnswered &event);
    void answered(const AdmissionAnswered &event);
    /// Marks the starts in @p rows, which the store now holds, as ready to be sent.
    void recorded(const std::vector<ProgressRow> &rows);
    /// Sends the orders of the starts that are stored.
    void sendRecorded();
    /// Withdraws the starts that are not sent and have become needless.
    void withdrawStopped();
    /// Withdraws all starts that are not sent.
    void withdrawUnsent();
    /// Stores the starts that have had no answer for @p minAge, so that a later owner knows of them.
    void storeUnanswered(Duration minAge);
    /// Returns how long after its objective a job would end because the pacer limits the starts; zero if it would end
    /// in time or if the workers limit the starts.
    Duration lateness(const SiteConfig &config, const SubmitJob &job, bool withinShare);
    /// Returns how much too late the workers would end a job that is submitted now; zero if in time.
    Duration workLateness(const SiteConfig &config, const SubmitJob &job, bool withinShare) const;
    /// Whether the count of the work of the accepted jobs is too old.
    bool isWorkCountDue() const;
    void countWork(const SiteConfig &config, const IncomingHosts &incoming);
    /// Counts the starts of a job that was accepted.
    void jobAccepted(const SiteConfig &config, const SubmitJob &job, bool withinShare);
    StartPacer &pacer();

private:
    /// A start that was planned and whose order is not sent.
    struct UnsentStart
    {
        ReadyStep step;
        RunNumber run = 0;
        std::string checkpoint;
        /// Incarnation of the worker that the start was planned for.
        std::uint64_t incarnationNumber = 0;
        TimePoint plannedAt;
        bool needsTicket = false;
        /// What made the start safe, for the log.
        std::string safety;
    };

    /// Whether the order of a stored start may be sent.
    enum class Readiness {
        Ready,
        /// Its ticket has expired.
        LacksTicket,
        /// The worker can no longer get it, or it was stopped.
        Needless,
    };

    /// A start order without an answer yet.
    struct PendingStart
    {
        TaskId task;
        RunNumber run = 0;
        TimePoint sentAt;
        WorkerId worker;
        /// Incarnation of the worker to which the order was sent.
        std::uint64_t incarnationNumber = 0;
        /// The writer was told to store the order.
        bool isStored = false;
    };

    /// Whether no earlier run of a waiting task may still be active.
    bool mayStart(const Job &job, const ReadyStep &ready, std::uint32_t index) const;
    bool mayStartAny(const Job &job, const ReadyStep &ready) const;
    void recordCapacity(const SiteConfig &config, const ReadyStep &ready, bool hasCapacity);
    /// Starts the tasks of ready steps.
    /// @return false if the pass is full before all steps were considered.
    bool startReady(const SiteConfig &config);
    /// @return number of tasks that were started.
    std::size_t startStep(const SiteConfig &config, CandidateWorkers &candidates, const ReadyStep &ready,
                          std::size_t maxStarts);
    /// Starts tasks of a step for which the admission service admits workers, or asks it for tickets.
    std::size_t startAdmitted(const SiteConfig &config, CandidateWorkers &candidates, const ReadyStep &ready,
                              std::size_t maxStarts);
    std::size_t startTasks(const SiteConfig &config, CandidateWorkers &candidates, const ReadyStep &ready,
                           std::size_t maxStarts);
    /// Starts all tasks of a gang, or none.
    std::size_t startGang(const SiteConfig &config, CandidateWorkers &candidates, const ReadyStep &ready);
    /// @param mayMarkFull whether a failure shows that the pool is full for such tasks.
    Worker *chooseWorkerFor(const SiteConfig &config, CandidateWorkers &candidates, const ReadyStep &ready,
                            std::uint32_t index, bool mayMarkFull);
    /// Assigns a task to a worker, and has the start stored.
    void plan(const ReadyStep &ready, std::uint32_t index, Worker &worker, RunNumber number,
              const std::string &checkpoint);
    /// Expects the late start of an earlier owner beside a run of the task that begins now.
    void expectRecordedStart(Task &task);
    /// The run that @p start began, unless it has ended meanwhile.
    Run *runOf(const TaskId &id, const UnsentStart &start);
    Readiness readinessOf(const TaskId &id, const UnsentStart &start);
    /// Asks for new tickets for stored starts whose tickets have expired.
    void requestTickets(const SiteConfig &config);
    /// Forgets a start that is not sent, and withdraws its run.
    void withdraw(TaskId id);
    void send(const TaskId &id, const UnsentStart &start, Run &run, Worker &worker);
    /// What makes the start of an inherited task safe, for the log; empty for other tasks.
    std::string safetyOf(const TaskId &id) const;
    RunNumber nextRun(const Job &job, const Task &task) const;
    void startAnswered(const TaskId &id, RunNumber number, const OrderAnswered &event);
    /// Updates what is known about the incarnation of the worker that was called.
    void updateWorker(const PendingStart &start, const OrderAnswered &event);
    /// Corrects the estimate of the worker's clock, or detects from the clock in an answer that the worker has
    /// restarted.
    void applyClock(const PendingStart &start, const OrderAnswered &event);

    CellOutbox &m_outbox;
    RunLedger &m_runs;
    CellTimes m_times;
    JobRegistry &m_registry;
    WorkerRoster &m_roster;
    AdmissionController m_admission;
    StartPacer m_pacer;
    StartBacklog m_backlog;
    WorkBacklog m_work;
    std::map<TaskId, UnsentStart> m_unsent;
    /// Starts of m_unsent that the store holds.
    std::set<TaskId> m_recorded;
    std::map<CallId, PendingStart> m_pendingStarts;
    /// Of the present planning pass.
    std::optional<UnknownRuns> m_unknownRuns;
    /// The pacer held back a task in the present pass.
    bool m_isPaced = false;
    bool m_planningRequested = false;
    TimePoint m_nextPlan;
};

} // namespace radishvane::cells
