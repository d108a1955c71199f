#include "core/cells/released_runs.h"

#include "core/cells/cell_lease.h"

#include <algorithm>
#include <optional>

namespace radishvane::cells
{

namespace
{

/// Bound on the tasks in the row, which has to fit into the store beside several hundred workers.
constexpr std::size_t maxReleasedTasks = 500;

using WorkerPositions = std::map<WorkerId, std::uint32_t>;

/// Returns the worker that may run the task, or @c nowhere; empty if any worker may.
std::optional<std::uint32_t> positionOf(const Job &job, const Task &task, const WorkerRoster &roster,
                                        const WorkerPositions &positions, TimePoint now)
{
    const bool isReconciled = !roster.hasUnreconciledWorker(now) || !mayHaveUnknownRuns(job, task, roster, now);
    if (!task.run && isReconciled) {
        return ReleasedTask::nowhere;
    }
    const auto position = positions.find(task.run ? task.run->worker : task.releasedOn);
    return position == positions.end() ? std::nullopt : std::optional(position->second);
}

/// @return the number of tasks that were added, at most @p maxTasks.
std::size_t addTasks(ReleaseRow &row, const Job &job, const WorkerRoster &roster, const WorkerPositions &positions,
                     std::size_t maxTasks, TimePoint now)
{
    std::size_t count = 0;
    for (const auto &[number, occurrence] : job.open) {
        for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
            const StepSpec &spec = job.row.spec.steps[index];
            if (!spec.isService || spec.gang) {
                continue;
            }
            ReleasedStep released{job.row.id, number, index, {}};
            const std::vector<Task> &tasks = occurrence.steps[index].tasks;
            for (std::uint32_t task = 0; task < tasks.size() && count < maxTasks; ++task) {
                if (const auto position = positionOf(job, tasks[task], roster, positions, now)) {
                    released.tasks.push_back(ReleasedTask{task, *position});
                    ++count;
                }
            }
            if (!released.tasks.empty()) {
                row.steps.push_back(std::move(released));
            }
        }
    }
    return count;
}

void restoreStep(const ReleaseRow &row, const ReleasedStep &released, JobRegistry &registry, const WorkerRoster &roster)
{
    for (const ReleasedTask &entry : released.tasks) {
        Task *task = registry.task(TaskId{released.job, released.occurrence, released.step, entry.index});
        if (task == nullptr) {
            continue;
        }
        if (entry.worker == ReleasedTask::nowhere) {
            task->hasKnownRuns = true;
        } else if (entry.worker < row.workers.size() && roster.find(row.workers[entry.worker].id) != nullptr) {
            task->releasedOn = row.workers[entry.worker].id;
        }
    }
}

} // namespace

bool mayHaveUnknownRuns(const Job &job, const Task &task, const WorkerRoster &roster, TimePoint now)
{
    if (!job.inherited || task.hasKnownRuns) {
        return false;
    }
    return task.releasedOn.empty() || !roster.isReconciled(task.releasedOn, now);
}

ReleaseRow releaseRow(Epoch epoch, const JobRegistry &registry, const WorkerRoster &roster, Duration longestLease,
                      TimePoint now)
{
    ReleaseRow row;
    row.epoch = epoch;
    WorkerPositions positions;
    for (const auto &[id, worker] : roster.all()) {
        positions[id] = static_cast<std::uint32_t>(row.workers.size());
        row.workers.push_back(ReleasedWorker{id, worker.leaseLeft(now).value_or(longestLease)});
    }
    std::size_t count = 0;
    for (const JobId &id : registry.live()) {
        const Job &job = *registry.find(id);
        if (!isFinal(job.state)) {
            count += addTasks(row, job, roster, positions, maxReleasedTasks - count, now);
        }
    }
    return row;
}

void restoreRelease(const ReleaseRow &row, JobRegistry &registry, WorkerRoster &roster, TimePoint now)
{
    for (const ReleasedWorker &released : row.workers) {
        Worker *worker = roster.find(released.id);
        if (worker == nullptr) {
            continue;
        }
        const Duration margin = released.leaseLeft > Duration{0} ? CellLease::clockMargin : Duration{0};
        worker->inheritedUntil = std::min(worker->inheritedUntil, now + released.leaseLeft + margin);
    }
    for (const ReleasedStep &step : row.steps) {
        restoreStep(row, step, registry, roster);
    }
}

} // namespace radishvane::cells
