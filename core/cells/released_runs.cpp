#include "core/cells/released_runs.h"

#include "core/cells/cell_lease.h"
#include "core/cells/unknown_runs.h"

#include <algorithm>
#include <optional>

namespace radishvane::cells
{

namespace
{

/// Bound on the tasks in all rows.
constexpr std::size_t maxReleasedTasks = 500;
/// Bounds on the encoded workers and steps of a row, which together fit into a row of the store.
constexpr std::size_t maxWorkerBytes = 40'000;
constexpr std::size_t maxStepBytes = 20'000;
/// Bytes of the encoded entry of a worker, of a step and of a task, apart from texts.
constexpr std::size_t workerEntryBytes = 5;
constexpr std::size_t stepEntryBytes = 13;
constexpr std::size_t taskEntryBytes = 8;

/// A worker's place in the rows.
struct Place
{
    std::size_t row = 0;
    std::uint32_t position = 0;
};

/// Collects what is released in as many rows as it takes. A task is named in the row of its worker.
class ReleaseRows
{
public:
    explicit ReleaseRows(Epoch epoch) : m_epoch(epoch)
    {
        addRow();
    }

    void addWorker(const WorkerId &id, Duration leaseLeft)
    {
        const std::size_t bytes = id.name().size() + workerEntryBytes;
        if (m_workerBytes + bytes > maxWorkerBytes) {
            addRow();
        }
        m_workerBytes += bytes;
        std::vector<ReleasedWorker> &workers = m_rows.back().workers;
        m_places[id] = Place{m_rows.size() - 1, static_cast<std::uint32_t>(workers.size())};
        workers.push_back(ReleasedWorker{id, leaseLeft});
    }

    std::optional<Place> placeOf(const WorkerId &id) const
    {
        const auto found = m_places.find(id);
        return found == m_places.end() ? std::nullopt : std::optional(found->second);
    }

    bool isFull() const
    {
        return m_tasks >= maxReleasedTasks;
    }

    /// A task that the row has no capacity for is left out, so that it waits for all workers.
    void addTask(const TaskId &task, const Place &place)
    {
        std::vector<ReleasedStep> &steps = m_rows[place.row].steps;
        const bool isSameStep = !steps.empty() && steps.back().job == task.job
            && steps.back().occurrence == task.occurrence && steps.back().step == task.step;
        const std::size_t bytes = taskEntryBytes + (isSameStep ? 0 : task.job.name().size() + stepEntryBytes);
        if (isFull() || m_stepBytes[place.row] + bytes > maxStepBytes) {
            return;
        }
        m_stepBytes[place.row] += bytes;
        if (!isSameStep) {
            steps.push_back(ReleasedStep{task.job, task.occurrence, task.step, {}});
        }
        steps.back().tasks.push_back(ReleasedTask{task.index, place.position});
        ++m_tasks;
    }

    std::vector<ReleaseRow> take()
    {
        return std::move(m_rows);
    }

private:
    void addRow()
    {
        m_rows.push_back(ReleaseRow{static_cast<std::uint32_t>(m_rows.size()), m_epoch, {}, {}});
        m_stepBytes.push_back(0);
        m_workerBytes = 0;
    }

    Epoch m_epoch = 0;
    std::vector<ReleaseRow> m_rows;
    std::map<WorkerId, Place> m_places;
    /// Of the last row.
    std::size_t m_workerBytes = 0;
    std::vector<std::size_t> m_stepBytes;
    std::size_t m_tasks = 0;
};

/// Returns the place of the worker that may run the task, or @c nowhere; empty if any worker may.
std::optional<Place> placeOf(const Job &job, const StepSpec &step, const Task &task, const ReleaseRows &rows,
                             const UnknownRuns &unknownRuns)
{
    if (!task.run && !unknownRuns.mayExist(job, step, task)) {
        return Place{0, ReleasedTask::nowhere};
    }
    if (!task.run && job.areStartsRecorded && task.recordedStart) {
        return rows.placeOf(task.recordedStart->worker);
    }
    return rows.placeOf(task.run ? task.run->worker : task.releasedOn);
}

void addTasks(ReleaseRows &rows, const Job &job, const UnknownRuns &unknownRuns)
{
    for (const auto &[number, occurrence] : job.open) {
        for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
            const StepSpec &spec = job.row.spec.steps[index];
            if (!spec.isService || spec.gang) {
                continue;
            }
            const std::vector<Task> &tasks = occurrence.steps[index].tasks;
            for (std::uint32_t task = 0; task < tasks.size() && !rows.isFull(); ++task) {
                if (const auto place = placeOf(job, spec, tasks[task], rows, unknownRuns)) {
                    rows.addTask(TaskId{job.row.id, number, index, task}, *place);
                }
            }
        }
    }
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

std::vector<ReleaseRow> releaseRows(Epoch epoch, const JobRegistry &registry, const WorkerRoster &roster,
                                    Duration longestLease, TimePoint now)
{
    ReleaseRows rows(epoch);
    for (const auto &[id, worker] : roster.all()) {
        rows.addWorker(id, worker.leaseLeft(now).value_or(longestLease));
    }
    const UnknownRuns unknownRuns(roster, now);
    for (const JobId &id : registry.live()) {
        const Job &job = *registry.find(id);
        if (!isFinal(job.state)) {
            addTasks(rows, job, unknownRuns);
        }
    }
    return rows.take();
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
        worker->inheritedUsuallyUntil = std::min(worker->inheritedUsuallyUntil, worker->inheritedUntil);
    }
    for (const ReleasedStep &step : row.steps) {
        restoreStep(row, step, registry, roster);
    }
}

} // namespace radishvane::cells
