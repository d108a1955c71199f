#include "core/cells/cell_keeper.h"

#include "core/base/enum_names.h"

#include <algorithm>

namespace radishvane::cells
{

namespace
{

/// Interval between two looks for ended jobs that may go.
constexpr Duration dropInterval{5'000};
/// Interval between two looks for callers who wait for the store.
constexpr Duration answerInterval{200};

} // namespace

CellKeeper::CellKeeper(CellId cell, HostId host, std::uint64_t incarnation, Endpoint link, CellTimes times)
    : m_cell(std::move(cell))
    , m_host(host)
    , m_times(times)
    , m_lease(std::move(host), incarnation, std::move(link))
    , m_runs(m_outbox, m_writer, times)
    , m_hosts(m_outbox, m_writer, m_host)
    , m_config(std::make_shared<SiteConfig>())
{
}

CellEffects CellKeeper::handle(const CellEvent &event, Instant now)
{
    m_outbox.now = now;
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    advance(std::holds_alternative<CellTick>(event));
    return m_outbox.take();
}

const std::optional<OwnerRow> &CellKeeper::owner() const
{
    return m_lease.owner();
}

bool CellKeeper::isServing(TimePoint now) const
{
    return m_active && m_rebuilt && !m_releasing && m_lease.valid(now);
}

const JobRegistry &CellKeeper::registry() const
{
    return m_runs.registry();
}

const WorkerRoster &CellKeeper::roster() const
{
    return m_runs.roster();
}

// ---- ownership ----

void CellKeeper::advance(bool isTick)
{
    advanceOwnership();
    if (!m_active) {
        return;
    }
    const TimePoint now = m_outbox.now.steady;
    if (!m_rebuilt) {
        if (m_read.value == 0 && now >= m_readNotBefore) {
            m_read = m_outbox.send(ReadCell{{}, m_cell});
        }
    } else if (!m_stopping && isTick) {
        m_hosts.advance(m_runs.registry(), *m_config, m_runs.roster(), m_lease.valid(now));
        m_runs.cordon(m_hosts.cordoned(m_runs.roster()));
        m_runs.advance(*m_config, m_lease.valid(now));
        dropOldJobs();
    } else if (!m_stopping) {
        m_runs.advanceStarts(*m_config, m_lease.valid(now));
    }
    answerWaiting();
    advanceWrites();
}

void CellKeeper::advanceOwnership()
{
    const TimePoint now = m_outbox.now.steady;
    if (m_active && !m_releasing && m_lease.isKnown() && !m_lease.owns()) {
        deactivate(CellDecision::OwnershipLost, m_lease.owner() ? m_lease.owner()->host.name() : "no-owner");
    }
    const bool wants = !m_active && !m_stopping && !m_writer.pending();
    if (!wants || !(m_lease.owns() || m_lease.mayTake(now)) || now < m_readNotBefore) {
        return;
    }
    CellTransaction transaction;
    transaction.cell = m_cell;
    transaction.guard = m_lease.version();
    transaction.owner = m_lease.nextRow();
    write(std::move(transaction));
}

void CellKeeper::activate()
{
    m_active = true;
    m_rebuilt = false;
    m_releasing = false;
    m_read = CallId{};
    m_outbox.epoch = m_lease.epoch();
    m_writer.clear();
    m_runs.clear();
    m_hosts.clear();
    m_shares.clear();
    m_outbox.add(OwnershipChanged{true, m_outbox.epoch});
    m_outbox.note(CellDecision::OwnershipTaken, m_cell.name(), m_host.name(), m_lease.version());
}

void CellKeeper::deactivate(CellDecision why, const std::string &reason)
{
    for (auto &[id, job] : m_runs.registry().jobs()) {
        answerAll(job.submitters, CallAnswer::InDoubt);
        answerAll(job.cancellers, CallAnswer::InDoubt);
    }
    m_active = false;
    m_rebuilt = false;
    m_releasing = false;
    m_runs.clear();
    m_writer.clear();
    m_hosts.clear();
    m_outbox.add(OwnershipChanged{false, m_outbox.epoch});
    m_outbox.note(why, m_cell.name(), m_host.name(), m_lease.version(), reason);
}

void CellKeeper::write(CellTransaction transaction)
{
    const CallId call = m_outbox.send(WriteCell{{}, transaction});
    m_writer.sent(call, std::move(transaction), m_runs.roster(), m_outbox.now.steady);
}

void CellKeeper::advanceWrites()
{
    const TimePoint now = m_outbox.now.steady;
    auto transaction = m_writer.next(m_cell, m_runs.registry(), m_runs.roster(), m_lease, now);
    if (!transaction) {
        return;
    }
    if (m_stopping && !m_writer.hasWork()) {
        // The last of what is to be stored goes with the row that gives the cell back.
        transaction->owner = m_lease.releasedRow();
        m_releasing = true;
    }
    write(std::move(*transaction));
}

void CellKeeper::on(const CellWritten &event)
{
    if (!m_writer.pending() || m_writer.pending()->call != event.call) {
        return;
    }
    switch (event.outcome) {
    case CellWriteOutcome::Written:
        onWritten(event.version);
        return;
    case CellWriteOutcome::Conflict:
        onConflict(event);
        return;
    case CellWriteOutcome::Refused:
    case CellWriteOutcome::Unknown:
        m_outbox.note(CellDecision::StoreWriteFailed, m_cell.name(), {}, m_lease.version(),
                      std::string(enumName(cellWriteOutcomeNames, event.outcome)));
        m_releasing = false;
        m_readNotBefore = m_outbox.now.steady + readRetry;
        m_writer.fail(m_outbox.now.steady);
        return;
    }
}

void CellKeeper::onWritten(std::uint64_t version)
{
    CellWriter::Pending done = m_writer.succeed();
    const CellTransaction &transaction = done.transaction;
    if (transaction.owner) {
        m_lease.wrote(*transaction.owner, version, done.sent);
    }
    if (m_releasing) {
        deactivate(CellDecision::OwnershipReleased, "stopping");
        return;
    }
    if (!m_active) {
        activate();
        return;
    }
    for (const JobRow &row : transaction.jobs) {
        Job *job = m_runs.registry().find(row.id);
        if (job == nullptr) {
            continue;
        }
        job->stored = true;
        answerAll(job->submitters, CallAnswer::Accepted);
    }
    for (const ProgressRow &row : transaction.progress) {
        Job *job = m_runs.registry().find(row.id);
        if (job == nullptr || !isFinal(row.state)) {
            continue;
        }
        job->endStored = true;
        answerAll(job->cancellers, CallAnswer::Cancelled);
        m_runs.registry().retireIfDone(*job);
    }
    m_runs.stored(done);
}

void CellKeeper::onConflict(const CellWritten &event)
{
    m_releasing = false;
    m_writer.fail(m_outbox.now.steady);
    m_lease.see(OwnerSeen{event.owner, event.version}, m_outbox.now.steady);
    m_outbox.note(CellDecision::StoreWriteFailed, m_cell.name(), event.owner ? event.owner->host.name() : std::string(),
                  event.version, "conflict");
}

void CellKeeper::on(const CellReadDone &event)
{
    if (event.call != m_read) {
        return;
    }
    m_read = CallId{};
    if (!event.contents) {
        m_readNotBefore = m_outbox.now.steady + readRetry;
        return;
    }
    m_runs.rebuild(*event.contents, m_entries);
    for (auto &[id, job] : m_runs.registry().jobs()) {
        applyConfig(job);
    }
    m_hosts.foresee(m_runs.registry(), *m_config);
    m_hosts.restore(event.contents->waves);
    m_hosts.see(m_waveList);
    m_rebuilt = true;
    m_outbox.note(CellDecision::CellRebuilt, m_cell.name(), m_host.name(), event.contents->jobs.size());
}

void CellKeeper::on(const OwnerSeen &event)
{
    m_lease.see(event, m_outbox.now.steady);
}

void CellKeeper::on(const StoreContact &event)
{
    m_lease.contact(event.asked, m_outbox.now.steady);
}

void CellKeeper::on(const CellTick &)
{
    m_runs.requestPlanning();
}

void CellKeeper::on(const CellStop &)
{
    m_stopping = true;
    m_writer.requireOwner();
}

// ---- what the platform tells ----

void CellKeeper::on(const ConfigSeen &event)
{
    if (event.config->version < m_config->version) {
        return;
    }
    m_config = event.config;
    for (const JobId &id : m_runs.registry().live()) {
        applyConfig(*m_runs.registry().find(id));
    }
    m_runs.requestPlanning();
}

void CellKeeper::applyConfig(Job &job) const
{
    const auto queue = m_config->queues.find(job.row.queue);
    if (queue != m_config->queues.end()) {
        job.maxFailures = queue->second.mostFailures;
    }
}

void CellKeeper::on(const WorkersSeen &event)
{
    m_entries = event.workers;
    if (m_active && m_rebuilt) {
        m_runs.observe(m_entries);
        m_runs.cordon(m_hosts.cordoned(m_runs.roster()));
    }
}

void CellKeeper::on(const WavesSeen &event)
{
    m_waveList = event.waves;
    if (m_active && m_rebuilt) {
        m_hosts.see(m_waveList);
    }
}

void CellKeeper::on(const OrderAnswered &event)
{
    m_runs.answered(event);
}

void CellKeeper::on(const HoldAnswered &event)
{
    m_runs.answered(event);
}

void CellKeeper::on(const AdmissionAnswered &event)
{
    m_runs.answered(event);
}

// ---- hosts ----

void CellKeeper::on(const HostsListed &event)
{
    m_hosts.answered(event);
    if (m_active && m_rebuilt) {
        m_runs.observe(m_hosts.list());
    }
}

void CellKeeper::on(const HostOrderAnswered &event)
{
    const std::optional<WorkerId> ended = m_hosts.answered(event);
    if (ended) {
        m_runs.endWorker(*ended);
    }
}

void CellKeeper::on(const WaveReported &event)
{
    m_hosts.answered(event);
}

// ---- callers ----

void CellKeeper::on(const SubmitJob &event)
{
    if (!isServing(m_outbox.now.steady) || m_stopping) {
        answer(event.exchange, CallAnswer::Unavailable);
        return;
    }
    JobRegistry &registry = m_runs.registry();
    Job *known = registry.find(event.id);
    if (known != nullptr) {
        if (known->stored) {
            answer(event.exchange, CallAnswer::Accepted);
        } else {
            known->submitters.push_back(event.exchange);
        }
        return;
    }
    if (registry.live().size() >= mostLiveJobs) {
        m_outbox.note(CellDecision::JobRefused, event.id.name(), {}, registry.live().size(), "too-many-jobs");
        answer(event.exchange, CallAnswer::Overloaded);
        return;
    }
    JobRow row;
    row.id = event.id;
    row.queue = event.queue;
    row.team = event.team;
    row.epoch = m_outbox.epoch;
    row.accepted = m_outbox.now.wall;
    row.spec = event.spec;
    Job &job = registry.add(std::move(row), m_outbox.now.steady);
    applyConfig(job);
    registry.openDueOccurrences(job, m_outbox.now);
    job.submitters.push_back(event.exchange);
    m_writer.addJob(event.id);
    job.withinShare = m_shares.take(*m_config, event.team, m_outbox.now.steady);
    const auto queue = m_config->queues.find(event.queue);
    if (queue != m_config->queues.end() && job.withinShare) {
        m_hosts.accepted(queue->second.pool, event.spec);
    }
    m_outbox.note(CellDecision::JobAccepted, event.id.name(), event.queue.name(), event.spec.steps.size(),
                  job.withinShare ? std::string() : "beyond-share");
}

void CellKeeper::on(const AskJob &event)
{
    if (!isServing(m_outbox.now.steady)) {
        answer(event.exchange, CallAnswer::Unavailable);
        return;
    }
    const Job *job = m_runs.registry().find(event.id);
    if (job == nullptr || !job->stored) {
        answer(event.exchange, CallAnswer::NoSuchJob);
        return;
    }
    m_outbox.add(AnswerCall{event.exchange, CallAnswer::State, shownState(*job), 0, {}});
}

GraphState CellKeeper::shownState(const Job &job)
{
    if (isFinal(job.state) && !job.endStored) {
        return job.begun ? GraphState::Running : GraphState::Queued;
    }
    return job.state;
}

void CellKeeper::on(const CancelJob &event)
{
    if (!isServing(m_outbox.now.steady)) {
        answer(event.exchange, CallAnswer::Unavailable);
        return;
    }
    Job *job = m_runs.registry().find(event.id);
    if (job == nullptr) {
        answer(event.exchange, CallAnswer::NoSuchJob);
        return;
    }
    if (isFinal(job->state) && job->endStored) {
        answer(event.exchange, CallAnswer::Cancelled);
        return;
    }
    job->cancellers.push_back(event.exchange);
    if (isFinal(job->state)) {
        return;
    }
    m_runs.registry().finish(*job, GraphState::Cancelled, m_outbox.now.steady);
    m_writer.changeJob(event.id);
    m_runs.jobEnded(event.id, "cancelled");
    m_outbox.note(CellDecision::JobEnded, event.id.name(), {}, 0, "cancelled");
}

void CellKeeper::on(const AskPending &event)
{
    if (!isServing(m_outbox.now.steady)) {
        answer(event.exchange, CallAnswer::Unavailable);
        return;
    }
    const std::uint64_t pending = m_runs.registry().pending(event.queue);
    m_outbox.add(AnswerCall{event.exchange, CallAnswer::Pending, GraphState::Queued, pending, {}});
}

void CellKeeper::answer(ExchangeId exchange, CallAnswer answer)
{
    const bool isRefusal = answer == CallAnswer::Unavailable || answer == CallAnswer::Overloaded;
    m_outbox.add(AnswerCall{exchange, answer, GraphState::Queued, 0, isRefusal ? retryAfter : Duration{0}});
}

void CellKeeper::answerAll(std::vector<ExchangeId> &exchanges, CallAnswer reply)
{
    for (const ExchangeId exchange : exchanges) {
        answer(exchange, reply);
    }
    exchanges.clear();
}

void CellKeeper::answerWaiting()
{
    const TimePoint now = m_outbox.now.steady;
    if (now < m_nextAnswer) {
        return;
    }
    m_nextAnswer = now + answerInterval;
    for (const JobId &id : m_runs.registry().live()) {
        Job &job = *m_runs.registry().find(id);
        if (!job.stored && now - job.addedAt > storeWait) {
            answerAll(job.submitters, CallAnswer::InDoubt);
        }
        if (isFinal(job.state) && !job.endStored && now - job.endedAt > storeWait) {
            answerAll(job.cancellers, CallAnswer::InDoubt);
        }
    }
}

void CellKeeper::dropOldJobs()
{
    const TimePoint now = m_outbox.now.steady;
    if (now < m_nextDrop) {
        return;
    }
    m_nextDrop = now + dropInterval;
    std::vector<JobId> old;
    for (const auto &[id, job] : m_runs.registry().jobs()) {
        if (job.endStored && m_runs.registry().live().count(id) == 0 && now - job.endedAt > m_times.endedJobRetention) {
            old.push_back(id);
        }
    }
    for (const JobId &id : old) {
        m_writer.dropJob(id);
        m_runs.registry().erase(id);
    }
}

} // namespace radishvane::cells
