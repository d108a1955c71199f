#include "core/cells/run_keeper.h"

#include "core/base/enum_names.h"

#include <algorithm>

namespace radishvane::cells
{

namespace
{

/// Interval between two tries of a stop.
constexpr Duration stopRetry{400};
/// Failures of a task that fail its job, while the queue's configuration is not known.
constexpr std::uint32_t unknownMostFailures = 1'000'000;
/// Run numbers of an inherited job begin that far above those of the owner before.
constexpr RunNumber runsEachEpoch = 10'000;
/// Percentage of a lasting task that is at work.
constexpr double atWork = 100;
/// Filling tasks are stopped when a lasting task beside them comes that near to the bound on its tail.
constexpr double tailReserve = 0.7;
/// Most ends that a worker lists in one answer (published by the platform).
constexpr std::size_t mostListedEnds = 500;

} // namespace

RunKeeper::RunKeeper(CellOutbox &outbox, CellWriter &writer, CellTimes times)
    : m_outbox(outbox), m_writer(writer), m_times(times), m_admission(outbox)
{
}

void RunKeeper::clear()
{
    m_book.clear();
    m_roster = WorkerRoster{};
    m_ledger.clear();
    m_admission.clear();
    m_starts.clear();
    m_stops.clear();
    m_holds.clear();
    m_stopping.clear();
}

void RunKeeper::rebuild(const CellContents &contents, const std::vector<WorkerEntry> &entries)
{
    clear();
    const Instant now = m_outbox.now;
    // Earlier owners ordered no lease beyond this, on clocks that are up to 2 % slow.
    const auto longestLease = std::chrono::duration_cast<Duration>(m_times.hold * 1.03) + CellLease::margin;
    m_roster.reset(contents.roster, now.steady + longestLease);
    for (const JobRow &row : contents.jobs) {
        Job &job = m_book.add(row, now.steady);
        job.stored = true;
        job.inherited = true;
    }
    for (const ProgressRow &row : contents.progress) {
        m_book.restore(row, now);
    }
    for (const JobId &id : m_book.live()) {
        m_book.openDue(*m_book.find(id), now);
    }
    see(entries);
    m_disruptNotBefore = now.steady + m_times.stopGrace + disruptionMargin;
    m_planDue = true;
}

JobBook &RunKeeper::book()
{
    return m_book;
}

const JobBook &RunKeeper::book() const
{
    return m_book;
}

const WorkerRoster &RunKeeper::roster() const
{
    return m_roster;
}

void RunKeeper::see(const std::vector<WorkerEntry> &entries)
{
    for (const WorkerId &id : m_roster.see(entries)) {
        Worker &worker = *m_roster.find(id);
        endLife(worker, worker.entry->born);
    }
    if (m_roster.forgetGone(m_outbox.now.steady)) {
        m_writer.changeRoster();
    }
    m_planDue = true;
}

void RunKeeper::stored(const CellWriter::Pending &done)
{
    for (const auto &[id, end] : done.ends) {
        Worker *worker = m_roster.find(id);
        if (worker != nullptr && worker->born == end.first) {
            worker->stored = std::max(worker->stored, end.second);
        }
    }
    if (done.transaction.roster) {
        for (const KnownWorker &known : done.transaction.roster->workers) {
            Worker *worker = m_roster.find(known.id);
            if (worker != nullptr && !worker->gone && worker->pool == known.pool
                && worker->endpoint == known.endpoint) {
                worker->recorded = true;
            }
        }
    }
    m_planDue = true;
}

void RunKeeper::jobEnded(const JobId &id, const std::string &reason)
{
    const Job *job = m_book.find(id);
    if (job == nullptr) {
        return;
    }
    std::vector<TaskId> running;
    for (const auto &[number, occurrence] : job->open) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const std::vector<Task> &tasks = occurrence.steps[step].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].run) {
                    running.push_back(TaskId{id, number, step, index});
                }
            }
        }
    }
    for (const TaskId &task : running) {
        wantStop(task, reason);
    }
}

void RunKeeper::cordon(const std::set<WorkerId> &workers)
{
    for (auto &[id, worker] : m_roster.all()) {
        worker.cordoned = workers.count(id) > 0;
    }
}

void RunKeeper::lookAgain()
{
    m_planDue = true;
}

void RunKeeper::advance(const SiteConfig &config, bool mayOrder)
{
    for (const JobId &id : m_book.live()) {
        Job &job = *m_book.find(id);
        if (job.row.spec.repeats > 0) {
            m_book.openDue(job, m_outbox.now);
        }
    }
    expireLeases();
    if (mayOrder) {
        advanceHolds();
        emptyWorkers();
        advanceStops();
        planStarts(config);
    }
}

void RunKeeper::advanceStarts(const SiteConfig &config, bool mayOrder)
{
    if (mayOrder) {
        planStarts(config);
    }
}

// ---- leases of workers ----

void RunKeeper::advanceHolds()
{
    const TimePoint now = m_outbox.now.steady;
    for (auto &[id, worker] : m_roster.all()) {
        if (worker.gone || worker.hold.value != 0 || now < worker.nextHold) {
            continue;
        }
        const bool isUnknown = (!worker.fenced || worker.silent) && (worker.entry || !worker.isSettled(now));
        const bool hasEnds = worker.processed > worker.noted;
        const bool mayNote = worker.stored == worker.processed;
        if (isUnknown || (hasEnds && mayNote)
            || (!hasEnds && !(worker.tasks.empty() && worker.foreign.empty() && !worker.runsUnknown))) {
            sendHold(worker);
            continue;
        }
        // Ends that are not stored yet hold the next call up, but never so long that the lease runs out.
        const bool isRunningOut = worker.clockNow(now) + m_times.hold.count() / 2 > worker.leaseDeadline;
        if (!worker.tasks.empty() && isRunningOut) {
            sendHold(worker);
        }
    }
}

void RunKeeper::sendHold(Worker &worker)
{
    const TimePoint now = m_outbox.now.steady;
    HoldOrder order;
    order.worker = worker.address();
    order.fence = m_outbox.epoch;
    order.noted = worker.stored;
    worker.earlierDeadline = worker.leaseDeadline;
    // A silent worker is only asked: a lease that it may or may not get would never be known to have expired.
    if (worker.fenced && !worker.silent && !worker.tasks.empty()) {
        order.deadline = worker.clockNow(now) + m_times.hold.count();
        order.wait = holdWait;
        worker.leaseDeadline = std::max(worker.leaseDeadline, *order.deadline);
    }
    worker.hold = m_outbox.send(order);
    worker.holdSent = now;
    m_holds[worker.hold] = worker.id;
}

void RunKeeper::answered(const HoldAnswered &event)
{
    const auto found = m_holds.find(event.call);
    if (found == m_holds.end()) {
        return;
    }
    Worker *worker = m_roster.find(found->second);
    m_holds.erase(found);
    if (worker == nullptr || worker->hold != event.call) {
        return;
    }
    worker->hold = CallId{};
    const TimePoint now = m_outbox.now.steady;
    if (event.outcome != OrderOutcome::Accepted) {
        worker->nextHold = now + holdRetry;
        worker->silent = true;
        if (event.outcome == OrderOutcome::NotSent) {
            worker->leaseDeadline = worker->earlierDeadline;
        }
        if (event.outcome == OrderOutcome::WrongInstance) {
            // Another worker has the address, so the one that was meant is gone.
            loseTasks(*worker, CellDecision::WorkerLost);
        }
        return;
    }
    worker->silent = false;
    if (!worker->recorded) {
        m_writer.changeRoster();
    }
    worker->nextHold = now + holdPause;
    if (event.report.born > worker->born && worker->born != 0) {
        endLife(*worker, event.report.born);
    }
    worker->born = std::max(worker->born, event.report.born);
    worker->clock = event.report.clock;
    worker->clockAt = now;
    if (!worker->fenced) {
        m_outbox.note(CellDecision::WorkerAdmitted, worker->id.name(), worker->pool.name(), worker->born);
    }
    worker->fenced = true;
    takeEnds(*worker, event.report);
    takeRunning(*worker, event.report, worker->holdSent);
    takeMissing(*worker, event.report, worker->holdSent);
    worker->noted = std::max(worker->noted, std::min(worker->stored, worker->processed));
    m_planDue = true;
}

void RunKeeper::takeEnds(Worker &worker, const HoldReport &report)
{
    for (const EndedRow &row : report.ended) {
        if (row.number <= worker.processed) {
            continue;
        }
        worker.processed = row.number;
        Task *task = m_book.task(row.task);
        const bool isInherited = task != nullptr && !task->run && !task->progress.done
            && row.run > task->progress.endedRun && m_book.find(row.task.job)->inherited;
        if (isInherited) {
            // Started by the owner before, and ended before this one could see it run.
            occupy(worker, row.task);
            Run run;
            run.number = row.run;
            run.worker = worker.id;
            run.phase = RunPhase::Running;
            m_book.begin(row.task, std::move(run));
            task = m_book.task(row.task);
        }
        if (task == nullptr || !task->run || task->run->number != row.run || task->run->worker != worker.id) {
            continue;
        }
        if (!row.checkpoint.empty()) {
            task->progress.checkpoint = row.checkpoint;
        }
        judge(worker, row.how);
        endRun(row.task, row.how);
    }
}

void RunKeeper::takeRunning(Worker &worker, const HoldReport &report, TimePoint sent)
{
    const TimePoint now = m_outbox.now.steady;
    clearForeign(worker);
    for (const RunningRow &row : report.running) {
        Task *task = m_book.task(row.task);
        const bool isKnown
            = task != nullptr && task->run && task->run->number == row.run && task->run->worker == worker.id;
        if (!isKnown) {
            if (!adopt(worker, row)) {
                addForeign(worker, row.task);
                StopOrder order;
                order.worker = worker.address();
                order.task = row.task;
                order.run = row.run;
                order.fence = m_outbox.epoch;
                m_outbox.send(order);
                m_outbox.note(CellDecision::TaskStopped, taskName(row.task), worker.id.name(), row.run, "unknown-run");
            }
            continue;
        }
        Run &run = *task->run;
        if (run.phase != RunPhase::Running) {
            run.phase = RunPhase::Running;
            run.confirmedAt = sent;
            run.progressAt = now;
        }
        if (now - run.seenAt > stallTime) {
            // Nothing is known of the time between two looks that lie far apart.
            run.progressAt = now;
        }
        stopIfStalled(worker, row);
        run.seenAt = now;
        run.percent = row.percent;
        run.load = row.load;
        guardTail(worker, row);
        if (!row.checkpoint.empty()) {
            task->progress.checkpoint = row.checkpoint;
        }
    }
}

void RunKeeper::clearForeign(Worker &worker)
{
    for (const auto &[task, taken] : worker.foreign) {
        m_ledger.giveBack(taken.first, taken.second);
    }
    worker.foreign.clear();
    worker.foreignUsed = Needs{};
    worker.runsUnknown = false;
}

void RunKeeper::addForeign(Worker &worker, const TaskId &task)
{
    const Job *job = m_book.find(task.job);
    const StepSpec *spec = m_book.spec(task);
    if (job == nullptr || spec == nullptr) {
        worker.runsUnknown = true;
        return;
    }
    if (worker.foreign.emplace(task, std::pair{job->row.team, spec->needs}).second) {
        worker.foreignUsed += spec->reserved();
        m_ledger.take(job->row.team, spec->needs);
    }
}

bool RunKeeper::adopt(Worker &worker, const RunningRow &row)
{
    Task *task = m_book.task(row.task);
    const Job *job = m_book.find(row.task.job);
    if (task == nullptr || task->run || task->progress.done || !job->inherited || isFinal(job->state)
        || row.run <= task->progress.endedRun) {
        return false;
    }
    occupy(worker, row.task);
    Run run;
    run.number = row.run;
    run.worker = worker.id;
    run.phase = RunPhase::Running;
    run.confirmedAt = m_outbox.now.steady;
    run.progressAt = m_outbox.now.steady;
    run.percent = row.percent;
    m_book.begin(row.task, std::move(run));
    // No owner has ordered a longer lease than this.
    worker.leaseDeadline = std::max(worker.leaseDeadline, worker.clock + m_times.hold.count());
    return true;
}

void RunKeeper::takeMissing(Worker &worker, const HoldReport &report, TimePoint sent)
{
    if (report.ended.size() >= mostListedEnds) {
        return;
    }
    std::set<TaskId> listed;
    for (const RunningRow &row : report.running) {
        listed.insert(row.task);
    }
    std::vector<TaskId> neverRan;
    std::vector<TaskId> lost;
    for (const TaskId &id : worker.tasks) {
        const Task *task = m_book.task(id);
        if (listed.count(id) > 0 || task == nullptr || !task->run) {
            continue;
        }
        const Run &run = *task->run;
        if (run.phase == RunPhase::InDoubt && report.clock > run.startDeadline) {
            neverRan.push_back(id);
        } else if (run.phase == RunPhase::Running && run.confirmedAt < sent) {
            lost.push_back(id);
        }
    }
    for (const TaskId &id : neverRan) {
        withdrawRun(id);
    }
    for (const TaskId &id : lost) {
        m_outbox.note(CellDecision::TaskEnded, taskName(id), worker.id.name(), 0, "not-listed");
        endRun(id, RunEnd::LeaseExpired);
    }
}

void RunKeeper::endLife(Worker &worker, std::int64_t born)
{
    m_outbox.note(CellDecision::WorkerReborn, worker.id.name(), worker.pool.name(), static_cast<std::uint64_t>(born));
    loseTasks(worker, CellDecision::WorkerReborn);
    m_roster.beginLife(worker, born);
    worker.recorded = false;
    m_writer.changeRoster();
}

void RunKeeper::loseTasks(Worker &worker, CellDecision why)
{
    const std::set<TaskId> tasks = worker.tasks;
    for (const TaskId &id : tasks) {
        endRun(id, RunEnd::LeaseExpired);
    }
    clearForeign(worker);
    worker.fenced = false;
    if (!tasks.empty()) {
        m_outbox.note(CellDecision::WorkerLost, worker.id.name(), worker.pool.name(), tasks.size(),
                      std::string(enumName(cellDecisionNames, why)));
    }
}

void RunKeeper::endWorker(const WorkerId &id)
{
    Worker *worker = m_roster.find(id);
    if (worker == nullptr) {
        return;
    }
    loseTasks(*worker, CellDecision::HostMaintained);
    worker->gone = true;
    worker->recorded = false;
    m_writer.changeRoster();
}

void RunKeeper::expireLeases()
{
    const TimePoint now = m_outbox.now.steady;
    for (auto &[id, worker] : m_roster.all()) {
        if (worker.fenced && !worker.tasks.empty() && worker.hasLapsed(now)) {
            loseTasks(worker, CellDecision::WorkerLost);
        }
        if (worker.recorded && worker.isLeaseless(now)) {
            worker.recorded = false;
            m_writer.changeRoster();
        }
    }
}

void RunKeeper::judge(Worker &worker, RunEnd how)
{
    if (how == RunEnd::Done) {
        worker.failuresInARow = 0;
    }
    if (how != RunEnd::Failed || ++worker.failuresInARow < suspectFailures) {
        return;
    }
    const TimePoint now = m_outbox.now.steady;
    std::size_t workers = 0;
    std::size_t avoided = 0;
    for (const auto &[id, other] : m_roster.all()) {
        workers += other.pool == worker.pool ? 1 : 0;
        avoided += other.pool == worker.pool && other.avoidedUntil > now ? 1 : 0;
    }
    if ((avoided + 1) * mostAvoided > workers) {
        return;
    }
    worker.avoidedUntil = now + avoidTime;
    m_outbox.note(CellDecision::WorkerAvoided, worker.id.name(), worker.pool.name(), worker.failuresInARow,
                  "failures-in-a-row");
}

// ---- starts, ends and stops ----

void RunKeeper::planStarts(const SiteConfig &config)
{
    const TimePoint now = m_outbox.now.steady;
    if (!m_planDue || now < m_nextPlan) {
        return;
    }
    m_planDue = false;
    m_nextPlan = now + Duration(m_book.live().size() / jobsEachMillisecond);
    PoolRooms rooms(m_roster, now);
    std::size_t starts = 0;
    for (const ReadyStep &ready : startOrder(m_book, config, m_outbox.now)) {
        const Job &job = *m_book.find(ready.job);
        if (rooms.isFullFor(ready.pool, job.row.spec.steps[ready.step])
            || (job.inherited && m_roster.isUnsettled(ready.pool, now))) {
            continue;
        }
        if (!isAdmitted(config, rooms, ready)) {
            continue;
        }
        starts += job.row.spec.steps[ready.step].gang ? startGang(config, rooms, ready)
                                                      : startTasks(config, rooms, ready, mostStarts - starts);
        if (starts >= mostStarts) {
            m_planDue = true;
            m_nextPlan = now;
            return;
        }
    }
}

bool RunKeeper::isAdmitted(const SiteConfig &config, const PoolRooms &rooms, const ReadyStep &ready)
{
    const Queue &queue = config.queues.at(m_book.find(ready.job)->row.queue);
    if (!queue.admission) {
        return true;
    }
    const std::vector<Worker *> &workers = rooms.workers(ready.pool);
    const bool hasTicket = std::any_of(workers.begin(), workers.end(), [&](const Worker *worker) {
        return !m_admission.ticket(ready, *worker).empty();
    });
    if (!hasTicket) {
        m_admission.want(ready, *queue.admission, workers);
    }
    return hasTicket;
}

std::size_t RunKeeper::startTasks(const SiteConfig &config, PoolRooms &rooms, const ReadyStep &ready, std::size_t most)
{
    const Job &job = *m_book.find(ready.job);
    const Step &step = job.open.at(ready.occurrence).steps[ready.step];
    const std::set<std::uint32_t> waiting = step.waiting;
    std::size_t starts = 0;
    for (const std::uint32_t index : waiting) {
        if (starts >= most) {
            break;
        }
        const Task &task = step.tasks[index];
        if (task.notBefore > m_outbox.now.steady) {
            continue;
        }
        Worker *worker = chooseFor(config, rooms, ready, index);
        if (worker == nullptr) {
            break;
        }
        start(ready, index, *worker, nextRun(job, task), task.progress.checkpoint);
        ++starts;
    }
    return starts;
}

std::size_t RunKeeper::startGang(const SiteConfig &config, PoolRooms &rooms, const ReadyStep &ready)
{
    const Job &job = *m_book.find(ready.job);
    const Step &step = job.open.at(ready.occurrence).steps[ready.step];
    if (step.waiting.size() < step.tasks.size()) {
        // Members of the run before have not all ended.
        return 0;
    }
    RunNumber run = 0;
    std::string checkpoint;
    for (const Task &task : step.tasks) {
        run = std::max(run, nextRun(job, task));
        // The newest of the members' checkpoints is good for all of them.
        checkpoint = std::max(checkpoint, task.progress.checkpoint);
    }
    // Each member is given its place before the next one looks for room; without room for all, none starts.
    std::vector<Worker *> places;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        Worker *worker = chooseFor(config, rooms, ready, index);
        if (worker == nullptr) {
            break;
        }
        const TaskId id{ready.job, ready.occurrence, ready.step, index};
        occupy(*worker, id);
        places.push_back(worker);
    }
    for (std::uint32_t index = 0; index < places.size(); ++index) {
        leave(*places[index], TaskId{ready.job, ready.occurrence, ready.step, index});
    }
    if (places.size() < step.tasks.size()) {
        return 0;
    }
    for (std::uint32_t index = 0; index < places.size(); ++index) {
        start(ready, index, *places[index], run, checkpoint);
    }
    return places.size();
}

Worker *RunKeeper::chooseFor(const SiteConfig &config, PoolRooms &rooms, const ReadyStep &ready, std::uint32_t index)
{
    const Job &job = *m_book.find(ready.job);
    const StepSpec &spec = job.row.spec.steps[ready.step];
    const Step &step = job.open.at(ready.occurrence).steps[ready.step];
    if (!m_ledger.mayTake(config, job.row.team, spec.needs)) {
        return nullptr;
    }
    const bool needsTicket = config.queues.at(job.row.queue).admission.has_value();
    const auto mayRun = [&](const Worker &worker) {
        return !needsTicket || !m_admission.ticket(ready, worker).empty();
    };
    Worker *worker = chooseWorker(rooms, ready, spec, step, step.tasks[index], mayRun);
    if (worker == nullptr && !needsTicket) {
        rooms.noteFull(ready.pool, spec);
    }
    return worker;
}

void RunKeeper::start(const ReadyStep &ready, std::uint32_t index, Worker &worker, RunNumber number,
                      const std::string &checkpoint)
{
    const TimePoint now = m_outbox.now.steady;
    const TaskId id{ready.job, ready.occurrence, ready.step, index};
    StartOrder order;
    order.worker = worker.address();
    order.task = id;
    order.run = number;
    order.payload = m_book.find(ready.job)->row.spec.payload;
    order.deadline = worker.clockNow(now) + startWindow.count();
    order.fence = m_outbox.epoch;
    order.checkpoint = checkpoint;
    order.ticket = m_admission.ticket(ready, worker);
    worker.leaseDeadline = std::max(worker.leaseDeadline, order.deadline);
    worker.earlierDeadline = std::max(worker.earlierDeadline, order.deadline);

    Run run;
    run.number = order.run;
    run.worker = worker.id;
    run.startDeadline = order.deadline;
    run.orderedAt = now;
    occupy(worker, id);
    m_book.begin(id, std::move(run));
    m_outbox.note(CellDecision::TaskStarted, taskName(id), worker.id.name(), order.run);
    m_starts[m_outbox.send(std::move(order))] = id;
    if (worker.hold.value == 0) {
        // The lease must outlast the start's own deadline, also when the next look is late.
        worker.nextHold = std::min(worker.nextHold, now);
    }
}

RunNumber RunKeeper::nextRun(const Job &job, const Task &task) const
{
    // Runs that an earlier owner started may not be stored, so an inherited job's numbers leave room for them.
    const RunNumber floor = job.inherited ? (m_outbox.epoch - job.row.epoch) * runsEachEpoch : 0;
    return std::max({task.startedRun, task.progress.endedRun, floor}) + 1;
}

void RunKeeper::answered(const OrderAnswered &event)
{
    const auto start = m_starts.find(event.call);
    if (start != m_starts.end()) {
        const TaskId task = start->second;
        m_starts.erase(start);
        startAnswered(task, event);
        return;
    }
    const auto stop = m_stops.find(event.call);
    if (stop != m_stops.end()) {
        const TaskId task = stop->second;
        m_stops.erase(stop);
        stopAnswered(task, event);
    }
}

void RunKeeper::answered(const AdmissionAnswered &event)
{
    m_planDue = m_admission.answered(event) || m_planDue;
}

void RunKeeper::startAnswered(const TaskId &id, const OrderAnswered &event)
{
    Task *task = m_book.task(id);
    if (task == nullptr || !task->run || task->run->phase != RunPhase::Ordered) {
        return;
    }
    Run &run = *task->run;
    const TimePoint now = m_outbox.now.steady;
    m_planDue = true;
    switch (event.outcome) {
    case OrderOutcome::Accepted:
        run.phase = RunPhase::Running;
        run.confirmedAt = now;
        run.progressAt = now;
        return;
    case OrderOutcome::Unknown:
        run.phase = RunPhase::InDoubt;
        if (Worker *worker = m_roster.find(run.worker)) {
            worker->silent = true;
        }
        m_outbox.note(CellDecision::OrderInDoubt, taskName(id), run.worker.name(), run.number, "start");
        return;
    case OrderOutcome::Unhealthy:
        if (Worker *worker = m_roster.find(run.worker)) {
            worker->avoidedUntil = std::max(worker->avoidedUntil, now + holdRetry);
        }
        withdrawRun(id);
        return;
    case OrderOutcome::NotSent:
        if (Worker *worker = m_roster.find(run.worker)) {
            worker->silent = true;
        }
        withdrawRun(id);
        return;
    case OrderOutcome::NoTicket:
        m_admission.refused(id, run.worker);
        withdrawRun(id);
        return;
    case OrderOutcome::Fenced:
    case OrderOutcome::Outdated:
    case OrderOutcome::Late:
    case OrderOutcome::NoRoom:
    case OrderOutcome::WrongInstance:
    case OrderOutcome::Invalid:
        m_outbox.note(CellDecision::TaskEnded, taskName(id), run.worker.name(), run.number,
                      std::string(enumName(orderOutcomeNames, event.outcome)));
        withdrawRun(id);
        return;
    }
}

void RunKeeper::withdrawRun(const TaskId &id)
{
    const RunNumber number = m_book.task(id)->run->number;
    vacate(id);
    m_book.withdraw(id, number);
    m_planDue = true;
    stopGang(id, "gang-incomplete");
    Job &job = *m_book.find(id.job);
    m_book.settle(job);
}

void RunKeeper::endRun(const TaskId &id, RunEnd how)
{
    Task *task = m_book.task(id);
    if (task == nullptr || !task->run) {
        return;
    }
    const RunNumber number = task->run->number;
    m_outbox.note(CellDecision::TaskEnded, taskName(id), task->run->worker.name(), number,
                  std::string(enumName(runEndNames, how)));
    vacate(id);
    const EndEffect effect = m_book.end(id, number, how, mostFailures(id.job), m_outbox.now.steady);
    m_planDue = true;
    if (how == RunEnd::Done) {
        endGang(id, number);
    } else {
        stopGang(id, "gang-broken");
    }
    Job &job = *m_book.find(id.job);
    if (effect == EndEffect::JobEnded) {
        m_outbox.note(CellDecision::JobEnded, id.job.name(), {}, 0, std::string(enumName(graphStateNames, job.state)));
        jobEnded(id.job, "job-ended");
    }
    const bool lasting = m_book.spec(id) != nullptr && m_book.spec(id)->lasting;
    if (effect != EndEffect::Ignored && !job.endStored && !(lasting && effect == EndEffect::TaskWaits)) {
        m_writer.changeJob(id.job);
    }
    m_book.settle(job);
}

std::vector<TaskId> RunKeeper::gangOf(const TaskId &id) const
{
    std::vector<TaskId> members;
    const StepSpec *spec = m_book.spec(id);
    if (spec == nullptr || !spec->gang) {
        return members;
    }
    for (std::uint32_t index = 0; index < spec->count; ++index) {
        if (index != id.index) {
            members.push_back(TaskId{id.job, id.occurrence, id.step, index});
        }
    }
    return members;
}

void RunKeeper::endGang(const TaskId &id, RunNumber number)
{
    // One end as done stands for all members of the run.
    for (const TaskId &member : gangOf(id)) {
        const Task *task = m_book.task(member);
        if (task != nullptr && task->run && task->run->number == number) {
            vacate(member);
            m_book.end(member, number, RunEnd::Done, mostFailures(id.job), m_outbox.now.steady);
        }
    }
}

void RunKeeper::stopGang(const TaskId &id, const std::string &reason)
{
    for (const TaskId &member : gangOf(id)) {
        wantStop(member, reason);
    }
}

std::uint32_t RunKeeper::mostFailures(const JobId &id) const
{
    const Job *job = m_book.find(id);
    return job == nullptr || job->mostFailures == 0 ? unknownMostFailures : job->mostFailures;
}

void RunKeeper::wantStop(const TaskId &id, const std::string &reason)
{
    Task *task = m_book.task(id);
    if (task == nullptr || !task->run || task->run->stopWanted) {
        return;
    }
    task->run->stopWanted = true;
    m_stopping.insert(id);
    m_outbox.note(CellDecision::TaskStopped, taskName(id), task->run->worker.name(), task->run->number, reason);
}

void RunKeeper::advanceStops()
{
    const TimePoint now = m_outbox.now.steady;
    std::vector<TaskId> over;
    for (const TaskId &id : m_stopping) {
        Task *task = m_book.task(id);
        if (task == nullptr || !task->run || !task->run->stopWanted || task->run->stopAccepted) {
            over.push_back(id);
            continue;
        }
        Run &run = *task->run;
        const Worker *worker = m_roster.find(run.worker);
        if (run.stop.value != 0 || now < run.stopNotBefore || worker == nullptr || !worker->fenced) {
            continue;
        }
        StopOrder order;
        order.worker = worker->address();
        order.task = id;
        order.run = run.number;
        order.fence = m_outbox.epoch;
        run.stop = m_outbox.send(order);
        m_stops[run.stop] = id;
    }
    for (const TaskId &id : over) {
        m_stopping.erase(id);
    }
}

void RunKeeper::stopAnswered(const TaskId &id, const OrderAnswered &event)
{
    Task *task = m_book.task(id);
    if (task == nullptr || !task->run || task->run->stop != event.call) {
        return;
    }
    Run &run = *task->run;
    run.stop = CallId{};
    run.stopNotBefore = m_outbox.now.steady + stopRetry;
    if (event.outcome != OrderOutcome::Accepted) {
        return;
    }
    run.stopAccepted = true;
}

void RunKeeper::stopIfStalled(Worker &worker, const RunningRow &row)
{
    const TimePoint now = m_outbox.now.steady;
    const StepSpec &spec = *m_book.spec(row.task);
    Run &run = *m_book.task(row.task)->run;
    if (row.percent > run.percent || row.percent >= atWork || spec.filling) {
        run.progressAt = now;
    }
    // A share of the work that takes long rises slowly, so long tasks are watched for longer.
    const Duration patience = std::max(stallTime, std::chrono::duration_cast<Duration>(spec.estimate / 2));
    if (run.stopWanted || now - run.progressAt <= patience) {
        return;
    }
    wantStop(row.task, "no-progress");
    worker.avoidedUntil = std::max(worker.avoidedUntil, now + avoidTime);
}

void RunKeeper::guardTail(Worker &worker, const RunningRow &row)
{
    const StepSpec &spec = *m_book.spec(row.task);
    const double bound = toMilliseconds(spec.tailTarget) * tailReserve;
    if (!spec.lasting || spec.tailTarget == Duration{0} || worker.filling == 0 || row.load < bound) {
        return;
    }
    worker.fillNotBefore = m_outbox.now.steady + fillPause;
    for (const TaskId &id : worker.tasks) {
        if (m_book.spec(id) != nullptr && m_book.spec(id)->filling) {
            wantStop(id, "disturbs-lasting-task");
        }
    }
}

void RunKeeper::emptyWorkers()
{
    const TimePoint now = m_outbox.now.steady;
    for (auto &[id, worker] : m_roster.all()) {
        const bool isLeaving = worker.entry && worker.entry->state == WorkerState::Draining;
        if (!worker.cordoned && !isLeaving) {
            worker.cordonedAt = now;
            continue;
        }
        for (const TaskId &taskId : worker.tasks) {
            const StepSpec *spec = m_book.spec(taskId);
            const Task *task = m_book.task(taskId);
            if (spec == nullptr || task == nullptr || !task->run || task->run->stopWanted) {
                continue;
            }
            const bool isOverdue = !spec->lasting && now - worker.cordonedAt > emptyPatience;
            if ((spec->lasting && (isLeaving || mayDisrupt(taskId))) || (isOverdue && !isLeaving)) {
                wantStop(taskId, isLeaving ? "worker-leaves" : "worker-emptied");
            }
        }
    }
}

bool RunKeeper::mayDisrupt(const TaskId &id) const
{
    const Job *job = m_book.find(id.job);
    const StepSpec *spec = m_book.spec(id);
    if (job == nullptr || spec == nullptr || isFinal(job->state)) {
        return true;
    }
    if (m_outbox.now.steady < m_disruptNotBefore) {
        return false;
    }
    const Step &step = job->open.at(id.occurrence).steps[id.step];
    std::uint32_t away = 0;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        const Task &task = step.tasks[index];
        const Worker *worker = task.run ? m_roster.find(task.run->worker) : nullptr;
        const bool isAtWork
            = worker != nullptr && !worker->silent && !task.run->stopWanted && task.run->percent >= atWork;
        away += index != id.index && !isAtWork ? 1 : 0;
    }
    return away < std::max<std::uint32_t>(spec->allowance, 1);
}

void RunKeeper::occupy(Worker &worker, const TaskId &id)
{
    const StepSpec &spec = *m_book.spec(id);
    worker.tasks.insert(id);
    worker.used += spec.reserved();
    worker.guarded += spec.lasting && spec.tailTarget > Duration{0} ? 1 : 0;
    worker.filling += spec.filling ? 1 : 0;
    worker.fillingCpu += spec.filling ? spec.needs.cpu : 0;
    m_ledger.take(m_book.find(id.job)->row.team, spec.needs);
}

void RunKeeper::vacate(const TaskId &id)
{
    Worker *worker = m_roster.find(m_book.task(id)->run->worker);
    if (worker == nullptr) {
        m_ledger.giveBack(m_book.find(id.job)->row.team, m_book.spec(id)->needs);
        return;
    }
    leave(*worker, id);
}

void RunKeeper::leave(Worker &worker, const TaskId &id)
{
    const StepSpec &spec = *m_book.spec(id);
    m_ledger.giveBack(m_book.find(id.job)->row.team, spec.needs);
    if (worker.tasks.erase(id) == 0) {
        return;
    }
    worker.used -= spec.reserved();
    worker.guarded -= spec.lasting && spec.tailTarget > Duration{0} ? 1 : 0;
    worker.filling -= spec.filling ? 1 : 0;
    worker.fillingCpu -= spec.filling ? spec.needs.cpu : 0;
}

} // namespace radishvane::cells
