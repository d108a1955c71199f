#include "core/cells/cell_writer.h"

#include "core/base/overloaded.h"

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

/// Number of rows that a transaction writes and deletes, apart from those of the owner and of hosts with orders.
std::size_t rowCount(const CellTransaction &transaction)
{
    return transaction.jobs.size() + transaction.progress.size() + transaction.waves.size() + transaction.roster.size()
        + 2 * transaction.deletedJobs.size();
}

} // namespace

CellWriter::CellWriter(StoreLimits limits) : m_limits(std::move(limits))
{
}

void CellWriter::clear()
{
    *this = CellWriter(std::move(m_limits));
}

void CellWriter::addJob(const JobId &job)
{
    m_newJobs.push(job);
}

void CellWriter::changeJob(const JobId &job)
{
    m_changedJobs.push(job);
}

void CellWriter::dropJob(const DeletedJob &job)
{
    m_droppedJobs[job.id] = job;
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
    if (waiting < m_jobsPerTransaction) {
        return Duration{0};
    }
    const TimePoint::duration writeTime
        = m_pending ? std::max<TimePoint::duration>(m_writeTime, now - m_pending->sent) : m_writeTime;
    const std::size_t transactions = waiting / m_jobsPerTransaction + 1 + (m_pending ? 1 : 0);
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
    const OwnerRow renewal = lease.nextRow();
    Draft draft{registry, now, {}};
    draft.transaction.cell = cell;
    draft.transaction.expectedOwnerVersion = lease.version();
    draft.left = CallBudget(m_limits);
    // Every transaction may have to contain the renewal.
    draft.left.take(m_limits.sizeOf(&renewal));
    draft.full = draft.left;
    const bool isOnlyOwner = std::exchange(m_isOnlyOwnerDue, false);
    if (isOnlyOwner || m_isOwnerRequired || lease.isRenewalDue(now)) {
        draft.transaction.owner = renewal;
        m_isOwnerRequired = false;
    }
    if (!isOnlyOwner) {
        for (RosterRow &row :
             m_isRosterChanged || !m_rosterParts.empty() ? roster.rows(now) : std::vector<RosterRow>()) {
            draft.roster.emplace(row.part, std::move(row));
        }
        findChangedParts(roster, draft.roster);
        takeSuspects(draft);
        if (draft.changes.empty()) {
            takeAll(draft);
        }
    }
    if (!draft.transaction.owner && draft.changes.empty()) {
        // What was due is stored already; the write renews the lease instead.
        draft.transaction.owner = renewal;
    }
    m_builtChanges = std::move(draft.changes);
    m_budgetLeft = isOnlyOwner ? CallBudget{} : draft.left;
    return std::move(draft.transaction);
}

void CellWriter::takeAll(Draft &draft)
{
    if (m_hostOrders) {
        take(HostOrdersChange{}, draft);
    }
    // One changed job goes first, so that none waits for ever for a transaction with enough bytes left.
    takeProgress(draft, 1);
    takeWaves(draft);
    takeJobs(draft);
    takeProgress(draft, maxRowsOfAKind);
    takeRoster(draft);
    takeDeletions(draft);
}

CellWriter::Taken CellWriter::take(const StoreChange &change, Draft &draft)
{
    const Taken taken = std::visit([&](const auto &alternative) { return takeRow(alternative, draft); }, change);
    if (taken == Taken::Yes) {
        draft.changes.push_back(change);
    }
    return taken;
}

CellWriter::Taken CellWriter::reserve(const StoreChange &change, const EntrySize &size, Draft &draft)
{
    if (!draft.full.fits(size)) {
        giveUp(change);
        return Taken::NotNeeded;
    }
    return draft.left.take(size) ? Taken::Yes : Taken::NoRoom;
}

CellWriter::Taken CellWriter::takeRow(const NewJobChange &change, Draft &draft)
{
    const Job *job = draft.registry.find(change.id);
    if (job == nullptr || job->stored) {
        m_newJobs.remove(change.id);
        return Taken::NotNeeded;
    }
    const Taken taken = reserve(change, m_limits.sizeOf(&job->row), draft);
    if (taken == Taken::Yes) {
        m_newJobs.remove(change.id);
        draft.transaction.jobs.push_back(job->row);
    }
    return taken;
}

CellWriter::Taken CellWriter::takeRow(const ProgressChange &change, Draft &draft)
{
    const Job *job = draft.registry.find(change.id);
    if (job == nullptr || job->endStored) {
        m_changedJobs.remove(change.id);
        return Taken::NotNeeded;
    }
    ProgressRow row = draft.registry.progressRow(*job, draft.now);
    EntrySize size = m_limits.sizeOf(&row);
    row.storedRows = size.entries;
    // An ended job needs no payload. Both rows change in one transaction, so that no live job loses its payload.
    std::optional<JobRow> ended;
    if (isFinal(job->state) && job->stored && job->row.spec.payload.size() >= minRemovedPayload) {
        ended = withoutPayload(job->row);
        size += m_limits.sizeOf(&*ended);
    }
    const Taken taken = reserve(change, size, draft);
    if (taken == Taken::Yes) {
        m_changedJobs.remove(change.id);
        draft.transaction.progress.push_back(std::move(row));
        if (ended) {
            draft.transaction.jobs.push_back(std::move(*ended));
        }
    }
    return taken;
}

CellWriter::Taken CellWriter::takeRow(const WaveChange &change, Draft &draft)
{
    const auto found = m_waves.find(change.number);
    if (found == m_waves.end()) {
        return Taken::NotNeeded;
    }
    const Taken taken = reserve(change, m_limits.sizeOf(&found->second), draft);
    if (taken == Taken::Yes) {
        draft.transaction.waves.push_back(std::move(found->second));
        m_waves.erase(found);
    }
    return taken;
}

CellWriter::Taken CellWriter::takeRow(const RosterChange &change, Draft &draft)
{
    const auto found = draft.roster.find(change.part);
    if (found == draft.roster.end() || m_rosterParts.count(change.part) == 0) {
        m_rosterParts.erase(change.part);
        return Taken::NotNeeded;
    }
    RosterRow &row = found->second;
    const Taken taken = reserve(change, m_limits.sizeOf(&row), draft);
    switch (taken) {
    case Taken::Yes:
        m_rosterParts.erase(change.part);
        m_writtenRoster[change.part] = row.workers;
        draft.transaction.roster.push_back(std::move(row));
        break;
    case Taken::NotNeeded:
        m_unstorableRoster[change.part] = std::move(row.workers);
        break;
    case Taken::NoRoom:
        break;
    }
    return taken;
}

CellWriter::Taken CellWriter::takeRow(const HostOrdersChange &change, Draft &draft)
{
    if (!m_hostOrders) {
        return Taken::NotNeeded;
    }
    const Taken taken = reserve(change, m_limits.sizeOf(&*m_hostOrders), draft);
    if (taken == Taken::Yes) {
        draft.transaction.hostOrders = std::exchange(m_hostOrders, std::nullopt);
        m_areHostOrdersUrgent = false;
    }
    return taken;
}

CellWriter::Taken CellWriter::takeRow(const DeletionChange &change, Draft &draft)
{
    const auto found = m_droppedJobs.find(change.id);
    if (found == m_droppedJobs.end()) {
        return Taken::NotNeeded;
    }
    const Taken taken = reserve(change, m_limits.sizeOf(&found->second), draft);
    if (taken == Taken::Yes) {
        draft.transaction.deletedJobs.push_back(std::move(found->second));
        m_droppedJobs.erase(found);
    }
    return taken;
}

void CellWriter::takeSuspects(Draft &draft)
{
    const std::vector<StoreChange> suspects = m_suspects;
    const std::size_t half = (suspects.size() + 1) / 2;
    for (const StoreChange &change : suspects) {
        if (draft.changes.size() >= half || take(change, draft) == Taken::NoRoom) {
            return;
        }
        // Those that are taken are suspects again if they are rejected.
        m_suspects.erase(m_suspects.begin());
    }
}

void CellWriter::takeWaves(Draft &draft)
{
    while (!m_waves.empty() && draft.transaction.waves.size() < maxWaves) {
        if (take(WaveChange{m_waves.begin()->first}, draft) == Taken::NoRoom) {
            return;
        }
    }
}

void CellWriter::takeJobs(Draft &draft)
{
    // An ended job takes two rows.
    const CellTransaction &transaction = draft.transaction;
    const std::size_t changedJobs = std::min(m_changedJobs.size() + transaction.progress.size(), maxRowsOfAKind);
    const std::size_t maxJobs = maxRows - transaction.waves.size() - 2 * changedJobs;
    std::size_t taken = 0;
    while (!m_newJobs.empty() && taken < maxJobs) {
        if (taken == 1 && !m_changedJobs.empty()) {
            draft.left.keepHalf();
        }
        const Taken result = take(NewJobChange{m_newJobs.front()}, draft);
        if (result == Taken::NoRoom) {
            break;
        }
        taken += result == Taken::Yes ? 1 : 0;
    }
    draft.left.giveBack();
    if (!m_newJobs.empty()) {
        m_jobsPerTransaction = std::clamp<std::size_t>(taken, 1, maxRowsOfAKind);
    }
}

void CellWriter::takeProgress(Draft &draft, std::size_t maxJobs)
{
    while (!m_changedJobs.empty() && draft.transaction.progress.size() < maxJobs) {
        if (take(ProgressChange{m_changedJobs.front()}, draft) == Taken::NoRoom) {
            return;
        }
    }
}

void CellWriter::findChangedParts(const WorkerRoster &roster, const std::map<std::uint32_t, RosterRow> &rows)
{
    if (!std::exchange(m_isRosterChanged, false)) {
        return;
    }
    const auto isUnrecorded = [&roster](const KnownWorker &known) {
        return !roster.find(known.id)->recorded;
    };
    const auto isSame = [](const auto &known, const RosterRow &row) {
        const auto found = known.find(row.part);
        return found != known.end() && found->second == row.workers;
    };
    for (const auto &[part, row] : rows) {
        const bool isDue
            = !isSame(m_writtenRoster, row) || std::any_of(row.workers.begin(), row.workers.end(), isUnrecorded);
        if (isDue && !isSame(m_unstorableRoster, row)) {
            m_rosterParts.insert(part);
        }
    }
}

void CellWriter::takeRoster(Draft &draft)
{
    const std::set<std::uint32_t> parts = m_rosterParts;
    for (const std::uint32_t part : parts) {
        if (draft.transaction.roster.size() >= maxRosterParts || take(RosterChange{part}, draft) == Taken::NoRoom) {
            return;
        }
    }
}

void CellWriter::takeDeletions(Draft &draft)
{
    while (!m_droppedJobs.empty() && rowCount(draft.transaction) + 2 <= maxRows) {
        if (take(DeletionChange{m_droppedJobs.begin()->first}, draft) == Taken::NoRoom) {
            return;
        }
    }
}

void CellWriter::giveUp(const StoreChange &change)
{
    std::visit(Overloaded{
                   [this](const NewJobChange &job) { m_newJobs.remove(job.id); },
                   [this](const ProgressChange &job) { m_changedJobs.remove(job.id); },
                   [this](const WaveChange &wave) { m_waves.erase(wave.number); },
                   [this](const RosterChange &row) { m_rosterParts.erase(row.part); },
                   [this](const HostOrdersChange &) {
                       m_hostOrders.reset();
                       m_areHostOrdersUrgent = false;
                   },
                   [this](const DeletionChange &job) { m_droppedJobs.erase(job.id); },
               },
               change);
    m_unstorable.push_back(change);
}

std::vector<StoreChange> CellWriter::takeUnstorable()
{
    return std::exchange(m_unstorable, {});
}

void CellWriter::addRelease(CellTransaction &transaction, std::vector<ReleaseRow> rows)
{
    // What a release says only shortens waits of the next owner, so that rows may be left out.
    for (ReleaseRow &row : rows) {
        if (!m_omitsRelease && m_budgetLeft.take(m_limits.sizeOf(&row))) {
            transaction.release.push_back(std::move(row));
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
    m_pending = Pending{call, std::move(transaction), now, std::exchange(m_builtChanges, {})};
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
    if (!done.changes.empty()) {
        m_rejections = 0;
    }
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
    for (const DeletedJob &job : transaction.deletedJobs) {
        m_droppedJobs.emplace(job.id, job);
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

void CellWriter::reject(TimePoint now)
{
    const std::vector<StoreChange> changes = m_pending->changes;
    const CellTransaction transaction = m_pending->transaction;
    fail(now);
    m_isOnlyOwnerDue = true;
    m_omitsRelease = m_omitsRelease || !transaction.release.empty();
    if (changes.empty()) {
        // The store accepts no renewal either, so that no change is the cause.
        return;
    }
    // The next transaction is another one, so that it needs no pause.
    m_notBefore = now;
    m_suspects = changes;
    m_rejections = changes.size() == 1 ? m_rejections + 1 : 0;
    if (m_rejections < maxRejections) {
        return;
    }
    m_rejections = 0;
    m_suspects.clear();
    for (const RosterRow &row : transaction.roster) {
        m_unstorableRoster[row.part] = row.workers;
    }
    giveUp(changes.front());
}

} // namespace radishvane::cells
