#include "core/cells/cell_writer.h"

#include <algorithm>
#include <utility>

namespace radishvane::cells
{

namespace
{

JobRow withoutPayload(JobRow row)
{
    row.spec.payload.clear();
    return row;
}

std::size_t payloadBytes(const CellTransaction &transaction)
{
    std::size_t bytes = 0;
    for (const JobRow &row : transaction.jobs) {
        bytes += row.spec.payload.size();
    }
    return bytes;
}

/// Bytes of the encoded progress, apart from the few of the job and of each step.
std::size_t progressBytes(const ProgressRow &row)
{
    constexpr std::size_t bytesPerTask = 17;
    std::size_t bytes = 0;
    for (const auto &[number, steps] : row.open) {
        for (const std::vector<TaskProgress> &tasks : steps) {
            for (const TaskProgress &task : tasks) {
                bytes += bytesPerTask + task.failedRuns.size() * sizeof(RunNumber) + task.checkpoint.size();
            }
        }
    }
    return bytes;
}

/// Number of rows that a transaction writes and deletes, apart from those of the owner and of hosts with orders.
std::size_t rowCount(const CellTransaction &transaction)
{
    return transaction.jobs.size() + transaction.progress.size() + transaction.waves.size() + transaction.roster.size()
        + 2 * transaction.deletedJobs.size();
}

} // namespace

void CellWriter::clear()
{
    *this = CellWriter{};
}

void CellWriter::addJob(const JobId &job)
{
    m_newJobs.push(job);
}

void CellWriter::changeJob(const JobId &job)
{
    m_changedJobs.push(job);
}

void CellWriter::dropJob(const JobId &job)
{
    m_droppedJobs.push(job);
}

void CellWriter::changeRoster()
{
    m_isRosterChanged = true;
}

void CellWriter::changeWave(const WaveRow &wave)
{
    m_waves[wave.number] = wave;
}

void CellWriter::changeHostOrders(HostOrdersRow row, Urgency urgency)
{
    m_hostOrders = std::move(row);
    m_areHostOrdersUrgent = m_areHostOrdersUrgent || urgency == Urgency::Now;
}

void CellWriter::requireOwner()
{
    m_isOwnerRequired = true;
}

bool CellWriter::hasWork() const
{
    return m_isRosterChanged || !m_rosterParts.empty() || m_isOwnerRequired || m_areHostOrdersUrgent
        || !m_newJobs.empty() || !m_changedJobs.empty() || !m_droppedJobs.empty() || !m_waves.empty();
}

Duration CellWriter::backlog(TimePoint now) const
{
    const std::size_t waiting = m_newJobs.size();
    if (waiting < maxRowsOfAKind) {
        return Duration{0};
    }
    const TimePoint::duration writeTime
        = m_pending ? std::max<TimePoint::duration>(m_writeTime, now - m_pending->sent) : m_writeTime;
    const std::size_t transactions = waiting / maxRowsOfAKind + 1 + (m_pending ? 1 : 0);
    return std::chrono::duration_cast<Duration>(writeTime * transactions);
}

const std::optional<CellWriter::Pending> &CellWriter::pending() const
{
    return m_pending;
}

std::optional<CellTransaction> CellWriter::next(const CellId &cell, const JobRegistry &registry,
                                                const WorkerRoster &roster, const CellLease &lease, TimePoint now)
{
    const bool isDue = hasWork() || lease.isRenewalDue(now);
    if (m_pending || !isDue || now < m_notBefore) {
        return std::nullopt;
    }
    CellTransaction transaction;
    transaction.cell = cell;
    transaction.expectedOwnerVersion = lease.version();
    if (m_isOwnerRequired || lease.isRenewalDue(now)) {
        transaction.owner = lease.nextRow();
        m_isOwnerRequired = false;
    }
    while (!m_waves.empty() && transaction.waves.size() < maxWaves) {
        transaction.waves.push_back(std::move(m_waves.extract(m_waves.begin()).mapped()));
    }
    takeJobs(transaction, registry);
    takeProgress(transaction, registry);
    takeRoster(transaction, roster, now);
    transaction.hostOrders = std::exchange(m_hostOrders, std::nullopt);
    m_areHostOrdersUrgent = false;
    while (!m_droppedJobs.empty() && rowCount(transaction) + 2 <= maxRows) {
        transaction.deletedJobs.push_back(m_droppedJobs.pop());
    }
    if (!transaction.owner && !transaction.hostOrders && rowCount(transaction) == 0) {
        // What was due is stored already; the write renews the lease instead.
        transaction.owner = lease.nextRow();
    }
    return transaction;
}

void CellWriter::takeJobs(CellTransaction &transaction, const JobRegistry &registry)
{
    // An ended job takes two rows.
    const std::size_t maxJobs = maxRows - transaction.waves.size() - 2 * std::min(m_changedJobs.size(), maxRowsOfAKind);
    const std::size_t maxBytes = m_changedJobs.empty() ? maxPayloadBytes : maxPayloadBytes / 2;
    std::size_t bytes = 0;
    while (!m_newJobs.empty() && transaction.jobs.size() < maxJobs && bytes < maxBytes) {
        const JobId id = m_newJobs.pop();
        const Job *job = registry.find(id);
        if (job != nullptr && !job->stored) {
            bytes += job->row.spec.payload.size();
            transaction.jobs.push_back(job->row);
        }
    }
}

void CellWriter::takeProgress(CellTransaction &transaction, const JobRegistry &registry)
{
    std::size_t bytes = payloadBytes(transaction);
    while (!m_changedJobs.empty() && transaction.progress.size() < maxRowsOfAKind && bytes < maxPayloadBytes) {
        const JobId id = m_changedJobs.pop();
        const Job *job = registry.find(id);
        if (job == nullptr || job->endStored) {
            continue;
        }
        transaction.progress.push_back(registry.progressRow(*job));
        bytes += progressBytes(transaction.progress.back());
        // An ended job needs no payload. Both rows change in one transaction, so that no live job loses its payload.
        if (isFinal(job->state) && job->stored && job->row.spec.payload.size() >= minRemovedPayload) {
            transaction.jobs.push_back(withoutPayload(job->row));
        }
    }
}

void CellWriter::takeRoster(CellTransaction &transaction, const WorkerRoster &roster, TimePoint now)
{
    if (!m_isRosterChanged && m_rosterParts.empty()) {
        return;
    }
    std::vector<RosterRow> rows = roster.rows(now);
    if (m_isRosterChanged) {
        const auto isUnrecorded = [&roster](const KnownWorker &known) {
            return !roster.find(known.id)->recorded;
        };
        for (const RosterRow &row : rows) {
            const auto written = m_writtenRoster.find(row.part);
            const bool isSame = written != m_writtenRoster.end() && written->second == row.workers;
            if (!isSame || std::any_of(row.workers.begin(), row.workers.end(), isUnrecorded)) {
                m_rosterParts.insert(row.part);
            }
        }
        m_isRosterChanged = false;
    }
    for (RosterRow &row : rows) {
        if (transaction.roster.size() < maxRosterParts && m_rosterParts.erase(row.part) > 0) {
            m_writtenRoster[row.part] = row.workers;
            transaction.roster.push_back(std::move(row));
        }
    }
}

void CellWriter::sent(CallId call, CellTransaction transaction, const WorkerRoster &roster, TimePoint now)
{
    Checkpoint checkpoint{m_changedJobs.nextPlace(), {}};
    for (const auto &[id, worker] : roster.all()) {
        checkpoint.ends.emplace_hint(checkpoint.ends.end(), id, std::pair{worker.startedAtMs, worker.processed});
    }
    m_checkpoints.push_back(std::move(checkpoint));
    m_pending = Pending{call, std::move(transaction), now};
}

void CellWriter::recordAnswer(TimePoint now)
{
    constexpr int weight = 4;
    m_writeTime += (now - m_pending->sent - m_writeTime) / weight;
}

CellWriter::Pending CellWriter::succeed()
{
    Pending done = std::move(*m_pending);
    m_pending.reset();
    while (!m_checkpoints.empty() && m_checkpoints.front().place <= m_changedJobs.firstPlace()) {
        done.ends = std::move(m_checkpoints.front().ends);
        m_checkpoints.pop_front();
    }
    return done;
}

void CellWriter::fail(TimePoint now)
{
    const CellTransaction &transaction = m_pending->transaction;
    for (auto row = transaction.jobs.rbegin(); row != transaction.jobs.rend(); ++row) {
        m_newJobs.pushFront(row->id);
    }
    for (auto row = transaction.progress.rbegin(); row != transaction.progress.rend(); ++row) {
        m_changedJobs.pushFront(row->id);
    }
    for (const JobId &id : transaction.deletedJobs) {
        m_droppedJobs.push(id);
    }
    for (const WaveRow &wave : transaction.waves) {
        m_waves.try_emplace(wave.number, wave);
    }
    if (transaction.hostOrders) {
        m_hostOrders = m_hostOrders ? m_hostOrders : transaction.hostOrders;
        m_areHostOrdersUrgent = true;
    }
    for (const RosterRow &row : transaction.roster) {
        m_rosterParts.insert(row.part);
        m_writtenRoster.erase(row.part);
    }
    m_isOwnerRequired = true;
    m_notBefore = now + retryPause;
    m_checkpoints.pop_back();
    m_pending.reset();
}

} // namespace radishvane::cells
