#include "core/cells/cell_controller.h"

#include "core/base/enum_names.h"
#include "core/base/overloaded.h"

#include <algorithm>

namespace radishvane::cells
{

namespace
{

/// Interval between two checks for ended jobs whose retention time is over.
constexpr Duration dropCheckInterval{5'000};
/// Interval between two checks for callers whose write has timed out.
constexpr Duration timeoutCheckInterval{200};

/// Returns a delay between @p delay and twice as much that depends on the job, so that callers who were refused
/// together do not return together.
Duration spreadDelay(const JobId &job, Duration delay)
{
    // FNV-1a, since the library's hash differs between platforms.
    std::uint64_t hash = 14'695'981'039'346'656'037U;
    for (const char letter : job.name()) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 1'099'511'628'211U;
    }
    return delay + Duration(static_cast<Duration::rep>(hash % static_cast<std::uint64_t>(delay.count())));
}

} // namespace

CellController::CellController(CellId cell, HostId host, std::uint64_t incarnation, Endpoint link, CellTimes times,
                               HostCapacity capacity, StoreLimits store, HostServiceLimits hostService)
    : m_cell(std::move(cell))
    , m_host(host)
    , m_times(times)
    , m_lease(std::move(host), incarnation, std::move(link), capacity)
    , m_handover(m_host, capacity)
    , m_writer(std::move(store))
    , m_runs(m_outbox, m_writer, times, capacity)
    , m_hosts(m_outbox, m_writer, m_host, hostService)
    , m_config(std::make_shared<SiteConfig>())
{
}

CellEffects CellController::handle(const CellEvent &event, Instant now)
{
    m_outbox.now = now;
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    advance(std::holds_alternative<CellTick>(event));
    return m_outbox.take();
}

const std::optional<OwnerRow> &CellController::owner() const
{
    return m_lease.owner();
}

bool CellController::isServing(TimePoint now) const
{
    return m_isActive && m_isRebuilt && m_release != Release::Pending && m_release != Release::InDoubt
        && m_lease.isValid(now);
}

bool CellController::hasReleased() const
{
    return !m_isActive && !m_writer.pending() && !m_lease.owns();
}

const JobRegistry &CellController::registry() const
{
    return m_runs.registry();
}

const WorkerRoster &CellController::roster() const
{
    return m_runs.roster();
}

// ---- ownership ----

void CellController::advance(bool isTick)
{
    advanceOwnership();
    if (!m_isActive) {
        advanceHandover();
        return;
    }
    const TimePoint now = m_outbox.now.steady;
    if (!m_isRebuilt) {
        if (now - m_activatedAt >= HeldCalls::patience) {
            refuseHeldCalls();
        }
        if (!m_isStopping && m_pendingRead.value == 0 && now >= m_retryNotBefore) {
            m_pendingRead = m_outbox.send(ReadCell{{}, m_cell});
        }
    } else if (!isGivingUp() && isTick) {
        m_hosts.advance(m_runs.registry(), *m_config, m_runs.roster(), m_lease.isValid(now));
        cordonHosts();
        m_runs.advance(*m_config, m_lease.isValid(now));
        dropExpiredJobs();
    } else if (!isGivingUp()) {
        m_hosts.sendStored(m_lease.isValid(now));
        m_runs.advanceStarts(*m_config, m_lease.isValid(now));
    }
    answerTimedOutCallers();
    advanceWrites();
}

void CellController::advanceOwnership()
{
    const TimePoint now = m_outbox.now.steady;
    if (m_isActive && m_release != Release::Pending && m_lease.isKnown() && !m_lease.owns()) {
        deactivate(CellDecision::OwnershipLost, m_lease.owner() ? m_lease.owner()->host.name() : "no-owner");
    }
    // A stopping host acquires only a cell that is its own already, by a write without an answer, in order to release
    // it.
    const bool mayAcquire = m_lease.owns() || (!m_isStopping && m_lease.mayTakeOver(now));
    if (m_isActive || m_writer.pending() || !mayAcquire || now < m_retryNotBefore) {
        return;
    }
    CellTransaction transaction;
    transaction.cell = m_cell;
    transaction.expectedOwnerVersion = m_lease.version();
    transaction.owner = m_lease.nextRow();
    write(std::move(transaction));
}

void CellController::advanceHandover()
{
    if (m_isStopping || m_writer.pending()) {
        return;
    }
    if (auto request = m_handover.nextRequest(m_lease, m_outbox.now.steady)) {
        m_outbox.add(std::move(*request));
    }
}

void CellController::cordonHosts()
{
    m_runs.cordon(m_hosts.cordoned(m_runs.roster()));
    m_runs.withholdTasks(m_hosts.hostsWithOrders(m_runs.roster()));
}

bool CellController::isGivingUp() const
{
    return m_isStopping || m_release != Release::None;
}

void CellController::activate()
{
    m_isActive = true;
    m_activatedAt = m_outbox.now.steady;
    m_isRebuilt = false;
    m_release = Release::None;
    m_pendingRead = CallId{};
    m_outbox.epoch = m_lease.epoch();
    m_writer.clear();
    if (m_isStopping) {
        m_writer.requireOwner();
    }
    m_runs.clear();
    m_hosts.clear();
    m_shares.clear();
    m_outbox.add(OwnershipChanged{true, m_outbox.epoch});
    m_outbox.log(CellDecision::OwnershipTaken, m_cell.name(), m_host.name(), m_lease.version());
}

void CellController::deactivate(CellDecision decision, const std::string &reason)
{
    for (auto &[id, job] : m_runs.registry().jobs()) {
        answerAll(job.submitters, CallAnswer::InDoubt);
        answerAll(job.cancellers, CallAnswer::InDoubt);
    }
    refuseHeldCalls();
    m_isActive = false;
    m_isRebuilt = false;
    m_release = Release::None;
    m_pendingRead = CallId{};
    m_runs.clear();
    m_writer.clear();
    m_hosts.clear();
    m_outbox.add(OwnershipChanged{false, m_outbox.epoch});
    m_outbox.log(decision, m_cell.name(), m_host.name(), m_lease.version(), reason);
}

void CellController::write(CellTransaction transaction)
{
    for (const JobRow &row : transaction.jobs) {
        if (Job *job = m_runs.registry().find(row.id)) {
            job->sentToStore = true;
        }
    }
    for (const ProgressRow &row : transaction.progress) {
        if (Job *job = m_runs.registry().find(row.id)) {
            job->progressRows = std::max(job->progressRows, row.storedRows);
        }
    }
    const CallId call = m_outbox.send(WriteCell{{}, transaction});
    m_writer.sent(call, std::move(transaction), m_runs.roster(), m_outbox.now.steady);
}

void CellController::advanceWrites()
{
    const TimePoint now = m_outbox.now.steady;
    if (m_isRebuilt && isGivingUp()) {
        m_runs.settleStarts();
    }
    auto transaction = m_writer.next(m_cell, m_runs.registry(), m_runs.roster(), m_lease, now);
    dropUnstorable();
    if (!transaction) {
        return;
    }
    if ((m_isStopping || m_release == Release::Requested) && !m_writer.hasWork()) {
        // The last changes go into the same transaction as the row that releases the cell.
        transaction->owner = m_lease.releasedRow();
        m_writer.addRelease(*transaction, m_runs.released());
        m_release = Release::Pending;
    }
    write(std::move(*transaction));
}

void CellController::dropUnstorable()
{
    for (const StoreChange &change : m_writer.takeUnstorable()) {
        m_outbox.log(CellDecision::StoreChangeDropped, changeName(change), m_host.name(), m_lease.version(),
                     "rejected-by-the-store");
        std::visit(Overloaded{
                       [this](const NewJobChange &job) { drop(job); },
                       [this](const ProgressChange &job) { drop(job); },
                       // Nothing else depends on these. They are stored again when they change.
                       [](const WaveChange &) {},
                       [](const RosterChange &) {},
                       [](const HostOrdersChange &) {},
                       [](const DeletionChange &) {},
                   },
                   change);
    }
}

void CellController::drop(const NewJobChange &change)
{
    const Job *job = m_runs.registry().find(change.id);
    if (job == nullptr || job->stored) {
        return;
    }
    withdraw(change.id, CallAnswer::TooLarge, "too-large");
}

void CellController::drop(const ProgressChange &change)
{
    Job *job = m_runs.registry().find(change.id);
    if (job == nullptr || isFinal(job->state)) {
        return;
    }
    m_runs.registry().finish(*job, GraphState::Failed, m_outbox.now.steady);
    // The row of an ended job has no progress of tasks.
    m_writer.changeJob(change.id);
    m_runs.jobEnded(change.id, "progress-too-large");
    m_outbox.log(CellDecision::JobEnded, change.id.name(), {}, 0, "progress-too-large");
}

void CellController::on(const CellWritten &event)
{
    if (!m_writer.pending() || m_writer.pending()->call != event.call) {
        return;
    }
    m_isStoreSilent = event.outcome == CellWriteOutcome::Unknown;
    switch (event.outcome) {
    case CellWriteOutcome::Written:
        onWritten(event.version);
        return;
    case CellWriteOutcome::Conflict:
        onConflict(event);
        return;
    case CellWriteOutcome::Refused:
    case CellWriteOutcome::Unknown:
    case CellWriteOutcome::Rejected:
        m_outbox.add(DecisionLogEntry{CellDecision::StoreWriteFailed,
                                      m_cell.name(),
                                      {},
                                      m_outbox.epoch,
                                      m_lease.version(),
                                      std::string(enumName(cellWriteOutcomeNames, event.outcome)),
                                      event.record});
        if (m_release != Release::InDoubt) {
            const bool isInDoubt = m_release == Release::Pending && event.outcome == CellWriteOutcome::Unknown;
            m_release = isInDoubt ? Release::InDoubt : Release::None;
        }
        m_retryNotBefore = m_outbox.now.steady + storeRetryPause;
        if (event.outcome == CellWriteOutcome::Rejected) {
            m_writer.reject(m_outbox.now.steady);
            dropUnstorable();
        } else {
            m_writer.fail(m_outbox.now.steady);
        }
        return;
    }
}

void CellController::onWritten(std::uint64_t version)
{
    m_writer.recordAnswer(m_outbox.now.steady);
    CellWriter::Pending done = m_writer.succeed();
    const CellTransaction &transaction = done.transaction;
    if (transaction.owner) {
        if (m_isActive) {
            m_outbox.add(CellLeaseRenewed{m_lease.age(m_outbox.now.steady)});
        }
        m_lease.recordWrite(*transaction.owner, version, done.sent);
    }
    if (!m_isActive) {
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
    if (m_release == Release::Pending) {
        if (!m_isStopping) {
            m_handover.recordRelease(m_outbox.now.steady);
        }
        deactivate(CellDecision::OwnershipReleased,
                   m_isStopping ? std::string("stopping") : "fitter-host " + m_fitterHost.name());
        return;
    }
    if (m_release == Release::InDoubt) {
        // The transaction contained the owner's row, so the store cannot execute the release any more.
        m_release = Release::None;
    }
    m_runs.stored(done);
    if (transaction.hostOrders) {
        m_hosts.stored(*transaction.hostOrders);
    }
}

void CellController::onConflict(const CellWritten &event)
{
    m_release = Release::None;
    m_writer.fail(m_outbox.now.steady);
    m_lease.observe(OwnerObserved{event.owner, event.version}, m_outbox.now.steady);
    m_outbox.log(CellDecision::StoreWriteFailed, m_cell.name(), event.owner ? event.owner->host.name() : std::string(),
                 event.version, "conflict");
}

void CellController::on(const CellReadDone &event)
{
    if (event.call != m_pendingRead) {
        return;
    }
    m_pendingRead = CallId{};
    if (!event.contents) {
        m_retryNotBefore = m_outbox.now.steady + storeRetryPause;
        return;
    }
    m_runs.rebuild(*event.contents, m_entries, m_lease.owner()->startsRecordedSince);
    for (auto &[id, job] : m_runs.registry().jobs()) {
        applyConfig(job);
    }
    m_hosts.restoreForecast(m_runs.registry(), *m_config);
    m_hosts.restore(event.contents->waves, event.contents->hostOrders);
    if (event.contents->areHostOrdersLost) {
        m_hosts.loseOrders();
    }
    m_hosts.observe(m_knownWaves);
    cordonHosts();
    m_isRebuilt = true;
    m_outbox.add(CellRebuilt{m_outbox.now.steady - m_activatedAt, event.contents->jobs.size(), event.bytes});
    m_outbox.add(DecisionLogEntry{CellDecision::CellRebuilt,
                                  m_cell.name(),
                                  m_host.name(),
                                  m_outbox.epoch,
                                  event.contents->jobs.size(),
                                  {},
                                  InheritedWaitRecord{m_runs.inheritedLease()}});
    answerHeldCalls();
}

void CellController::on(const OwnerObserved &event)
{
    m_lease.observe(event, m_outbox.now.steady);
}

void CellController::on(const StoreContact &event)
{
    m_lease.recordContact(event.requestedAt, m_outbox.now.steady);
}

void CellController::on(const CellTick &)
{
    const TimePoint now = m_outbox.now.steady;
    m_runs.starts().pacer().recordTick(now);
    if (m_writer.pending()) {
        m_runs.starts().pacer().recordWrite(m_writer.pending()->sent, now);
    }
    m_runs.requestPlanning();
}

void CellController::on(const CellStop &)
{
    m_isStopping = true;
    m_writer.requireOwner();
    refuseHeldCalls();
}

// ---- state of the platform ----

void CellController::on(const ConfigObserved &event)
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

void CellController::applyConfig(Job &job) const
{
    const auto queue = m_config->queues.find(job.row.queue);
    if (queue != m_config->queues.end()) {
        job.maxFailures = queue->second.maxFailures;
    }
}

void CellController::on(const WorkersObserved &event)
{
    m_entries = event.workers;
    if (m_isActive && m_isRebuilt) {
        m_runs.observe(m_entries);
        cordonHosts();
    }
}

void CellController::on(const WavesObserved &event)
{
    m_knownWaves = event.waves;
    if (m_isActive && m_isRebuilt) {
        m_hosts.observe(m_knownWaves);
    }
}

void CellController::on(const OrderAnswered &event)
{
    m_runs.answered(event);
}

void CellController::on(const LeaseRenewalAnswered &event)
{
    m_runs.answered(event);
}

void CellController::on(const AdmissionAnswered &event)
{
    m_runs.answered(event);
}

// ---- hosts ----

void CellController::on(const HostsListed &event)
{
    m_hosts.answered(event);
    if (m_isActive && m_isRebuilt) {
        m_runs.observe(m_hosts.list());
    }
}

void CellController::on(const HostOrderAnswered &event)
{
    const std::optional<WorkerId> ended = m_hosts.answered(event);
    if (ended) {
        m_runs.endWorker(*ended);
    }
}

void CellController::on(const WaveReported &event)
{
    m_hosts.answered(event);
}

// ---- callers ----

void CellController::on(const SubmitJob &event)
{
    if (hold(event)) {
        return;
    }
    if (!isServing(m_outbox.now.steady) || isGivingUp()) {
        answer(event.exchange, CallAnswer::Unavailable);
        return;
    }
    JobRegistry &registry = m_runs.registry();
    Job *existing = registry.find(event.id);
    if (existing != nullptr) {
        if (existing->stored) {
            answer(event.exchange, CallAnswer::Accepted);
        } else {
            existing->submitters.push_back(event.exchange);
        }
        return;
    }
    if (m_isStoreSilent) {
        m_outbox.log(CellDecision::JobRefused, event.id.name(), {}, registry.live().size(), "store-silent");
        answer(event.exchange, CallAnswer::Unavailable);
        return;
    }
    if (registry.live().size() >= maxLiveJobs) {
        m_outbox.log(CellDecision::JobRefused, event.id.name(), {}, registry.live().size(), "too-many-jobs");
        answer(event.exchange, CallAnswer::Overloaded);
        return;
    }
    const Duration backlog = m_writer.backlog(m_outbox.now.steady);
    if (backlog > maxStoreBacklog) {
        m_outbox.log(CellDecision::JobRefused, event.id.name(), {}, registry.live().size(), "writes-limited");
        answer(event.exchange, CallAnswer::Overloaded, std::clamp(backlog, retryAfter, maxRetryAfter));
        return;
    }
    const bool withinShare = m_shares.take(*m_config, event.team, m_outbox.now.steady);
    if (refuseIfLate(event, withinShare)) {
        if (withinShare) {
            m_shares.giveBack(event.team);
        }
        return;
    }
    m_runs.starts().jobAccepted(*m_config, event, withinShare);
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
    job.withinShare = withinShare;
    const auto queue = m_config->queues.find(event.queue);
    if (queue != m_config->queues.end() && job.withinShare) {
        m_hosts.recordAcceptedJob(queue->second.pool, job);
    }
    m_outbox.log(CellDecision::JobAccepted, event.id.name(), event.queue.name(), event.spec.steps.size(),
                 job.withinShare ? std::string() : "beyond-share");
}

bool CellController::refuseIfLate(const SubmitJob &job, bool withinShare)
{
    StartController &starts = m_runs.starts();
    if (starts.isWorkCountDue()) {
        starts.countWork(*m_config, m_hosts.incoming(*m_config, m_runs.roster()));
    }
    const Duration startLateness = starts.lateness(*m_config, job, withinShare);
    const Duration workLateness = starts.workLateness(*m_config, job, withinShare);
    const Duration lateness = std::max(startLateness, workLateness);
    if (lateness == Duration{0}) {
        return false;
    }
    m_outbox.log(CellDecision::JobRefused, job.id.name(), {}, m_runs.registry().live().size(),
                 startLateness >= workLateness ? "starts-limited" : "workers-limited");
    const Duration delay = spreadDelay(job.id, std::max(lateness, retryAfter));
    answer(job.exchange, CallAnswer::Overloaded, std::min(delay, maxRetryAfter));
    return true;
}

void CellController::on(const QueryJob &event)
{
    if (hold(event)) {
        return;
    }
    if (!isServing(m_outbox.now.steady)) {
        answer(event.exchange, CallAnswer::Unavailable);
        return;
    }
    const Job *job = m_runs.registry().find(event.id);
    if (job == nullptr || !job->stored) {
        answer(event.exchange, CallAnswer::NoSuchJob);
        return;
    }
    m_outbox.add(AnswerCall{event.exchange, CallAnswer::State, reportedState(*job), 0, {}});
}

GraphState CellController::reportedState(const Job &job)
{
    if (isFinal(job.state) && !job.endStored) {
        return job.begun ? GraphState::Running : GraphState::Queued;
    }
    return job.state;
}

void CellController::on(const CancelJob &event)
{
    if (hold(event)) {
        return;
    }
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
    m_outbox.log(CellDecision::JobEnded, event.id.name(), {}, 0, "cancelled");
}

void CellController::on(const QueryPending &event)
{
    if (event.queue.empty()) {
        // A probe names no queue. It asks only whether this process answers.
        answer(event.exchange, CallAnswer::Unavailable);
        return;
    }
    if (hold(event)) {
        return;
    }
    if (!isServing(m_outbox.now.steady)) {
        answer(event.exchange, CallAnswer::Unavailable);
        return;
    }
    const std::uint64_t pending = m_runs.registry().pending(event.queue);
    m_outbox.add(AnswerCall{event.exchange, CallAnswer::Pending, GraphState::Queued, pending, {}});
}

void CellController::on(const RequestHandover &event)
{
    const TimePoint now = m_outbox.now.steady;
    const bool mayDecide = isServing(now) && !isGivingUp() && event.epoch == m_outbox.epoch;
    if (!mayDecide || !m_handover.mayRelease(now)) {
        answer(event.exchange, CallAnswer::Unavailable);
        return;
    }
    if (!m_handover.isFitter(event.fitness)) {
        answer(event.exchange, CallAnswer::Declined);
        return;
    }
    m_release = Release::Requested;
    m_fitterHost = event.host;
    m_writer.requireOwner();
    answer(event.exchange, CallAnswer::Accepted);
}

void CellController::on(const HandoverAnswered &event)
{
    m_handover.answered(event);
}

void CellController::answer(ExchangeId exchange, CallAnswer answer, Duration retryDelay)
{
    const bool isRefusal = answer == CallAnswer::Unavailable || answer == CallAnswer::Overloaded;
    m_outbox.add(AnswerCall{exchange, answer, GraphState::Queued, 0, isRefusal ? retryDelay : Duration{0}});
}

void CellController::answerAll(std::vector<ExchangeId> &exchanges, CallAnswer reply)
{
    for (const ExchangeId exchange : exchanges) {
        answer(exchange, reply);
    }
    exchanges.clear();
}

bool CellController::hold(const HeldCalls::Call &call)
{
    const TimePoint now = m_outbox.now.steady;
    const bool isRebuilding = m_isActive && !m_isRebuilt && !isGivingUp() && m_lease.isValid(now);
    if (!isRebuilding || now - m_activatedAt >= HeldCalls::patience || !m_heldCalls.mayAdd(call)) {
        return false;
    }
    m_heldCalls.add(call);
    return true;
}

void CellController::answerHeldCalls()
{
    for (const HeldCalls::Call &call : m_heldCalls.take()) {
        std::visit([this](const auto &alternative) { on(alternative); }, call);
    }
}

void CellController::refuseHeldCalls()
{
    for (const HeldCalls::Call &call : m_heldCalls.take()) {
        std::visit([this](const auto &alternative) { answer(alternative.exchange, CallAnswer::Unavailable); }, call);
    }
}

void CellController::answerTimedOutCallers()
{
    const TimePoint now = m_outbox.now.steady;
    if (now < m_nextTimeoutCheck) {
        return;
    }
    m_nextTimeoutCheck = now + timeoutCheckInterval;
    std::vector<JobId> withdrawn;
    for (const JobId &id : m_runs.registry().live()) {
        Job &job = *m_runs.registry().find(id);
        if (!job.stored && now - job.addedAt > storeTimeout) {
            if (!job.sentToStore && !isFinal(job.state)) {
                withdrawn.push_back(id);
                continue;
            }
            answerAll(job.submitters, CallAnswer::InDoubt);
        }
        if (isFinal(job.state) && !job.endStored && now - job.endedAt > storeTimeout) {
            answerAll(job.cancellers, CallAnswer::InDoubt);
        }
    }
    for (const JobId &id : withdrawn) {
        withdraw(id, CallAnswer::Overloaded, "writes-limited");
    }
}

void CellController::withdraw(const JobId &id, CallAnswer reply, const std::string &reason)
{
    Job &job = *m_runs.registry().find(id);
    for (const ExchangeId submitter : job.submitters) {
        answer(submitter, reply, spreadDelay(id, retryAfter));
    }
    answerAll(job.cancellers, CallAnswer::NoSuchJob);
    if (job.withinShare) {
        m_shares.giveBack(job.row.team);
    }
    m_outbox.log(CellDecision::JobRefused, id.name(), {}, m_runs.registry().live().size(), reason);
    m_runs.registry().erase(id);
}

void CellController::dropExpiredJobs()
{
    const TimePoint now = m_outbox.now.steady;
    if (now < m_nextDropCheck) {
        return;
    }
    m_nextDropCheck = now + dropCheckInterval;
    std::vector<DeletedJob> expired;
    for (const auto &[id, job] : m_runs.registry().jobs()) {
        if (job.endStored && m_runs.registry().live().count(id) == 0 && now - job.endedAt > m_times.endedJobRetention) {
            expired.push_back(DeletedJob{id, job.progressRows});
        }
    }
    for (const DeletedJob &job : expired) {
        m_writer.dropJob(job);
        m_runs.registry().erase(job.id);
    }
}

} // namespace radishvane::cells
