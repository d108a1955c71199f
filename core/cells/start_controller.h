#pragma once

#include "core/cells/admission_controller.h"
#include "core/cells/run_ledger.h"
#include "core/cells/start_planner.h"

#include <map>
#include <string>
#include <utility>

namespace radishvane::cells
{

/// Starts of tasks: which come next, where, and what became of the orders.
class StartController
{
public:
    /// A start that is carried out later than that is refused by the worker.
    static constexpr Duration startWindow{1'500};
    /// Pause for a worker that is not well.
    static constexpr Duration unhealthyPause{250};
    /// Jobs for each millisecond that two looks for starts are apart, so that looks take a bounded part of the time.
    static constexpr std::size_t jobsEachMillisecond = 8;
    /// Most starts that one look gives out.
    static constexpr std::size_t mostStarts = 64;

    StartController(CellOutbox &outbox, RunLedger &runs);

    void clear();
    /// Starts what has become possible, unless a look at all jobs would cost too much now.
    void planStarts(const SiteConfig &config);
    /// @return whether the answer was to a start.
    bool answered(const OrderAnswered &event);
    void answered(const AdmissionAnswered &event);

private:
    bool isAdmitted(const SiteConfig &config, const PoolRooms &rooms, const ReadyStep &ready);
    std::size_t startTasks(const SiteConfig &config, PoolRooms &rooms, const ReadyStep &ready, std::size_t most);
    /// Starts all tasks of a gang, or none.
    std::size_t startGang(const SiteConfig &config, PoolRooms &rooms, const ReadyStep &ready);
    Worker *chooseFor(const SiteConfig &config, PoolRooms &rooms, const ReadyStep &ready, std::uint32_t index);
    void start(const ReadyStep &ready, std::uint32_t index, Worker &worker, RunNumber number,
               const std::string &checkpoint);
    RunNumber nextRun(const Job &job, const Task &task) const;
    void startAnswered(const TaskId &id, RunNumber number, const OrderAnswered &event);

    CellOutbox &m_outbox;
    RunLedger &m_runs;
    JobRegistry &m_registry;
    WorkerRoster &m_roster;
    AdmissionController m_admission;
    /// Starts under way: the task and its run.
    std::map<CallId, std::pair<TaskId, RunNumber>> m_starts;
    bool m_planDue = false;
    TimePoint m_nextPlan;
};

} // namespace radishvane::cells
