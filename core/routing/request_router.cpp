#include "core/routing/request_router.h"

#include "core/base/enum_names.h"

#include <algorithm>

namespace radishvane
{

namespace
{

/// Weight of the latest run time in the moving average.
constexpr double estimateWeight = 0.1;
/// Slot time charged for a start while no run time is known, in milliseconds.
constexpr double initialCharge = 10.0;
/// A request is refused on arrival when its estimated wait exceeds its timeout divided by this number, so that started
/// requests can end in time and the caller learns early that the request was not run.
constexpr int maxWaitDivisor = 4;
/// Multiple of the estimated run time that must remain until the deadline at the start, because half of all runs take
/// longer than the estimate.
constexpr double minRunsUntilDeadline = 3.0;
/// Minimum time reported to callers in Retry-After.
constexpr Duration minRetryAfter{1'000};

Duration toDuration(TimePoint::duration time)
{
    return std::chrono::duration_cast<Duration>(time);
}

bool isCompletionKnown(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
    case AttemptOutcome::Failed:
    case AttemptOutcome::NotRun:
    case AttemptOutcome::NotSent:
        return true;
    case AttemptOutcome::ConnectionLost:
    case AttemptOutcome::TimedOut:
    case AttemptOutcome::AnswerIncomplete:
        return false;
    }
    return false;
}

UnknownReason unknownReason(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::TimedOut:
        return UnknownReason::TimedOut;
    case AttemptOutcome::AnswerIncomplete:
        return UnknownReason::AnswerIncomplete;
    case AttemptOutcome::Answered:
    case AttemptOutcome::Failed:
    case AttemptOutcome::NotRun:
    case AttemptOutcome::NotSent:
    case AttemptOutcome::ConnectionLost:
        return UnknownReason::ConnectionLost;
    }
    return UnknownReason::ConnectionLost;
}

} // namespace

RequestRouter::RequestRouter(std::uint64_t seed) : m_seed(seed)
{
}

RequestEffects RequestRouter::handle(const RequestEvent &event, TimePoint now)
{
    m_now = now;
    m_effects.clear();
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    return std::move(m_effects);
}

std::size_t RequestRouter::waiting() const
{
    return m_exchanges.size() - std::min(m_exchanges.size(), m_attempts.size());
}

std::size_t RequestRouter::running() const
{
    return m_attempts.size();
}

void RequestRouter::on(const ConfigInForce &event)
{
    if (m_config && event.config->version <= m_config->version) {
        return;
    }
    m_config = event.config;
    m_suspended = false;
    applyServices();
    applyTeams();
    recheckWaiting();
    dispatchAll();
}

void RequestRouter::on(const HostPlacementsUpdated &event)
{
    m_hostRows = event.rows;
    if (m_config != nullptr) {
        applyServices();
        dispatchAll();
    }
}

void RequestRouter::on(const LeavingHosts &event)
{
    m_leaving = event.hosts;
    for (auto &[id, service] : m_services) {
        service.backends.setLeavingHosts(m_leaving);
    }
    dispatchAll();
}

void RequestRouter::on(const EntryHostPosition &event)
{
    m_position = event;
    for (auto &[id, service] : m_services) {
        service.backends.setPosition(m_position);
    }
    dispatchAll();
}

void RequestRouter::on(const ConfigConfirmed &event)
{
    m_configConfirmed = std::max(m_configConfirmed, event.at);
}

void RequestRouter::on(const ConfigSuspended &)
{
    m_suspended = true;
}

void RequestRouter::on(const RequestArrived &event)
{
    Exchange exchange;
    exchange.head = event.head;
    exchange.service = event.head.service;
    exchange.arrived = m_now;
    exchange.deadline = m_now + event.head.timeout;
    const auto admission
        = admit(m_suspended ? nullptr : m_config.get(), event.head, toDuration(m_now - m_configConfirmed));
    if (admission) {
        exchange.team = admission.value().team;
    }
    const auto [entry, added] = m_exchanges.emplace(event.exchange, std::move(exchange));
    if (!added) {
        return;
    }
    m_deadlines.emplace(entry->second.deadline, event.exchange);
    if (!admission) {
        refuse(event.exchange, admission.error());
        return;
    }
    if (m_endsBy && m_now + service(event.head.service).longestRun > *m_endsBy) {
        refuse(event.exchange, RefusalReason::Stopping, minRetryAfter);
        return;
    }
    if (!event.head.idempotent && !event.head.idempotencyKey.empty()) {
        entry->second.claiming = true;
        m_effects.push_back(ClaimKey{event.exchange, entry->second.team, event.head.idempotencyKey});
        return;
    }
    enqueue(event.exchange, entry->second);
}

void RequestRouter::on(const CallerDisconnected &event)
{
    const auto found = m_exchanges.find(event.exchange);
    if (found == m_exchanges.end()) {
        return;
    }
    // A running attempt continues without its caller, because the slot and the right are free only after its end.
    if (found->second.stage == Stage::Waiting && found->second.claimed && !found->second.mayHaveRun) {
        m_effects.push_back(ReleaseClaim{found->second.team, found->second.head.idempotencyKey});
    }
    removeExchange(event.exchange);
}

void RequestRouter::on(const AttemptEnded &event)
{
    const auto found = m_attempts.find(event.attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const Attempt attempt = found->second;
    m_attempts.erase(found);
    settleAttempt(attempt, event.outcome);
    const auto exchange = m_exchanges.find(attempt.exchange);
    if (exchange != m_exchanges.end()) {
        handleOutcome(attempt.exchange, exchange->second, attempt, event.attempt, event.outcome);
    }
    dispatchAll();
}

void RequestRouter::on(const TeamAllowance &event)
{
    m_rights.setAllowance(event.team, event.standing, event.leased, event.generation);
    m_reportedDemand.try_emplace(event.team, TeamDemand{event.team, 0, 0, 0});
    dispatchAll();
    reportDemand();
}

void RequestRouter::on(const LeaseExtended &event)
{
    m_rights.setLeasedUntil(event.until);
    dispatchAll();
}

void RequestRouter::on(const PeerUsage &event)
{
    const auto found = m_services.find(event.service);
    if (found != m_services.end()) {
        found->second.queue.charge(event.team, event.slotMilliseconds);
    }
}

void RequestRouter::on(const PeerSpareSlots &event)
{
    const auto found = m_services.find(event.service);
    if (found == m_services.end()) {
        return;
    }
    found->second.peerSpareSlots[event.peer] = {event.slots, m_now};
    updateBorrowable(found->second);
    dispatch(found->second);
}

void RequestRouter::updateBorrowable(ServiceState &state)
{
    std::erase_if(state.peerSpareSlots,
                  [this](const auto &entry) { return m_now - entry.second.reportedAt > spareSlotsLifetime; });
    std::uint32_t spare = 0;
    for (const auto &[peer, reported] : state.peerSpareSlots) {
        spare += reported.slots;
    }
    state.backends.setBorrowableSlots(spare);
}

void RequestRouter::on(const ClaimDecided &event)
{
    if (const auto abandoned = m_abandonedClaims.extract(event.exchange)) {
        if (event.outcome == ClaimOutcome::Claimed) {
            m_effects.push_back(abandoned.mapped());
        }
        return;
    }
    const auto found = m_exchanges.find(event.exchange);
    if (found == m_exchanges.end() || found->second.stage != Stage::Admitting) {
        return;
    }
    found->second.claiming = false;
    switch (event.outcome) {
    case ClaimOutcome::Claimed:
        found->second.claimed = true;
        enqueue(event.exchange, found->second);
        return;
    case ClaimOutcome::ClaimedBefore:
        refuse(event.exchange, RefusalReason::DuplicateRequest);
        return;
    case ClaimOutcome::Unavailable:
        refuse(event.exchange, RefusalReason::ClaimUnavailable, minRetryAfter);
        return;
    }
}

void RequestRouter::on(const StopRequested &event)
{
    m_endsBy = event.endsBy;
}

void RequestRouter::on(const AnswerOpenRequests &)
{
    m_endsBy = TimePoint::min();
    std::vector<ExchangeId> open;
    for (const auto &[id, exchange] : m_exchanges) {
        open.push_back(id);
    }
    std::sort(open.begin(), open.end());
    for (const ExchangeId id : open) {
        if (m_exchanges.at(id).stage == Stage::Running) {
            reportUnknown(id, UnknownReason::Stopping);
        } else {
            refuse(id, RefusalReason::Stopping, minRetryAfter);
        }
    }
}

void RequestRouter::on(const RequestTick &)
{
    expireDeadlines();
    releaseUnresolved();
    for (auto &[id, service] : m_services) {
        service.backends.readmit(m_now);
        updateBorrowable(service);
    }
    dispatchAll();
    reportDemand();
    reportUsage();
}

void RequestRouter::applyServices()
{
    for (auto &[id, state] : m_services) {
        state.removed = true;
    }
    const auto placed = applyHostMoves(m_config, m_hostRows);
    for (const auto &[id, declared] : placed->services) {
        ServiceState &state = service(id);
        state.removed = false;
        state.longestRun = declared.longestRun;
        state.queueLimit = declared.queueLimit;
        state.backends.setServers(declared);
        state.backends.setLeavingHosts(m_leaving);
        state.backends.setPosition(m_position);
        for (const auto &[team, settings] : m_config->teams) {
            state.queue.setShare(team, settings.share);
        }
    }
}

void RequestRouter::applyTeams()
{
    for (const auto &[team, demand] : m_reportedDemand) {
        if (!m_config->teams.contains(team)) {
            m_rights.withdraw(team);
        }
    }
    for (const auto &[team, settings] : m_config->teams) {
        m_rights.setCeiling(team, settings.ceiling);
        m_reportedDemand.try_emplace(team, TeamDemand{team, 0, 0, 0});
    }
}

void RequestRouter::recheckWaiting()
{
    std::vector<std::pair<ExchangeId, RefusalReason>> refused;
    for (const auto &[id, exchange] : m_exchanges) {
        if (exchange.stage == Stage::Running) {
            continue;
        }
        const auto admission = admit(m_config.get(), exchange.head, Duration(0));
        if (!admission) {
            refused.emplace_back(id, admission.error());
        }
    }
    std::sort(refused.begin(), refused.end());
    for (const auto &[id, reason] : refused) {
        refuse(id, reason);
    }
}

void RequestRouter::enqueue(ExchangeId id, Exchange &exchange)
{
    ServiceState &state = service(exchange.service);
    if (!state.backends.hasUsableServer()) {
        refuse(id, RefusalReason::NoBackendServer, minRetryAfter);
        return;
    }
    const Duration expected = estimatedWait(state, exchange.team);
    const auto estimate = std::chrono::duration<double, std::milli>(state.runEstimate);
    const bool exceedsMaxWait = expected > exchange.head.timeout / maxWaitDivisor;
    // When no request runs or waits, the request is started regardless of the estimate: otherwise an estimate that is
    // too high would refuse every request and could never decrease.
    const bool isProbe = state.backends.running() == 0 && state.queue.size() == 0;
    if (!isProbe && (exceedsMaxWait || m_now + expected + estimate > exchange.deadline)) {
        refuse(id, RefusalReason::DeadlineTooClose, std::max(expected, minRetryAfter));
        return;
    }
    if (state.queue.size() >= state.queueLimit && !evictRequestFor(state, exchange.team)) {
        refuse(id, RefusalReason::QueueFull, std::max(expected, minRetryAfter));
        return;
    }
    pushToQueue(id, exchange, state);
    // Dispatching may refuse this request and remove its exchange.
    const TeamId team = exchange.team;
    dispatch(state);
    if (team.empty() || m_rights.mayTake(team, m_now)) {
        return;
    }
    // A team without a free right reports its demand at once instead of waiting for the next periodic report.
    reportDemand();
}

void RequestRouter::pushToQueue(ExchangeId id, Exchange &exchange, ServiceState &state)
{
    exchange.stage = Stage::Waiting;
    ++m_waiting[exchange.team];
    state.queue.push(WaitingRequest{id, exchange.team, exchange.head.urgency, exchange.arrived});
}

Duration RequestRouter::estimatedWait(const ServiceState &state, const TeamId &team) const
{
    if (state.runEstimate <= 0 || state.backends.slots() == 0) {
        return Duration(0);
    }
    double slots = state.backends.slots() * state.queue.serviceFraction(team);
    if (!team.empty()) {
        slots = std::min(slots, std::max(1.0, static_cast<double>(m_rights.ceiling(team)) / m_position.count));
    }
    const double ahead = static_cast<double>(state.queue.size(team));
    return Duration(static_cast<Duration::rep>(ahead * state.runEstimate / slots));
}

bool RequestRouter::evictRequestFor(ServiceState &state, const TeamId &team)
{
    const auto evicted = state.queue.evictFor(team);
    if (!evicted) {
        return false;
    }
    refuse(evicted->exchange, RefusalReason::QueueFull, minRetryAfter);
    return true;
}

void RequestRouter::dispatchAll()
{
    for (auto &[id, state] : m_services) {
        dispatch(state);
    }
}

void RequestRouter::dispatch(ServiceState &state)
{
    const auto eligible = [this](const TeamId &team) {
        return team.empty() || m_rights.mayTake(team, m_now);
    };
    while (state.queue.size() > 0 && state.backends.hasFreeSlot()) {
        const auto request = state.queue.next(eligible);
        if (!request) {
            return;
        }
        start(*request, state);
    }
}

void RequestRouter::start(const WaitingRequest &request, ServiceState &state)
{
    Exchange &exchange = m_exchanges.at(request.exchange);
    const auto estimate = std::chrono::duration<double, std::milli>(state.runEstimate);
    if (state.backends.running() > 0 && m_now + estimate * minRunsUntilDeadline > exchange.deadline) {
        refuse(request.exchange, RefusalReason::DeadlineTooClose, minRetryAfter);
        return;
    }
    if (exchange.lastBackend.empty()) {
        state.retries.recordFirstAttempt();
    }
    const BackendServer *backend = state.backends.take(exchange.lastBackend, m_now);
    if (!request.team.empty()) {
        m_rights.take(request.team, m_now);
    }
    const AttemptId attemptId{++m_lastAttempt};
    const double charge = state.runEstimate > 0 ? state.runEstimate : initialCharge;
    state.queue.charge(request.team, charge);
    m_attempts.emplace(
        attemptId,
        Attempt{request.exchange, request.team, state.id, backend->id, m_now, m_now + state.longestRun, charge});
    exchange.stage = Stage::Running;
    --m_waiting[exchange.team];
    exchange.lastBackend = backend->id;
    m_effects.push_back(StartAttempt{attemptId, request.exchange, backend->id, backend->endpoint, state.longestRun,
                                     toDuration(exchange.deadline - m_now), !exchange.head.idempotent});
    log(DecisionKind::Route, request.exchange, exchange, enumName(urgencyNames, request.urgency));
}

void RequestRouter::settleAttempt(const Attempt &attempt, AttemptOutcome outcome)
{
    ServiceState &state = service(attempt.service);
    const double spent = toMilliseconds(m_now - attempt.started);
    const bool ran = outcome != AttemptOutcome::NotRun && outcome != AttemptOutcome::NotSent;
    state.queue.charge(attempt.team, (ran ? spent : 0) - attempt.charged);
    state.spent[attempt.team] += ran ? spent : 0;
    if (outcome == AttemptOutcome::Answered) {
        const double weight = state.runEstimate > 0 ? estimateWeight : 1.0;
        state.runEstimate += weight * (spent - state.runEstimate);
    }
    if (state.backends.release(attempt.backend, outcome, m_now)) {
        m_effects.push_back(Decision{DecisionKind::Eject,
                                     attempt.exchange,
                                     attempt.team,
                                     attempt.service,
                                     attempt.backend,
                                     "failures-in-a-row",
                                     {}});
    }
    if (isCompletionKnown(outcome) || attempt.endsBy <= m_now) {
        m_rights.release(attempt.team);
        return;
    }
    // The backend server may still run the request, so its right stays taken.
    m_unresolved.emplace(attempt.endsBy, attempt);
}

void RequestRouter::handleOutcome(ExchangeId id, Exchange &exchange, const Attempt &attempt, AttemptId attemptId,
                                  AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
    case AttemptOutcome::Failed:
        m_effects.push_back(ForwardAnswer{id, attemptId});
        log(DecisionKind::Finish, id, exchange, enumName(attemptOutcomeNames, outcome));
        removeExchange(id);
        return;
    case AttemptOutcome::NotRun:
    case AttemptOutcome::NotSent:
        break;
    case AttemptOutcome::ConnectionLost:
    case AttemptOutcome::TimedOut:
    case AttemptOutcome::AnswerIncomplete:
        exchange.mayHaveRun = true;
        break;
    }
    exchange.lastBackend = attempt.backend;
    if ((!exchange.mayHaveRun || exchange.head.idempotent) && retry(id, exchange, outcome)) {
        return;
    }
    if (exchange.mayHaveRun) {
        reportUnknown(id, unknownReason(outcome));
        return;
    }
    refuse(id, RefusalReason::NoBackendServer, minRetryAfter);
}

bool RequestRouter::retry(ExchangeId id, Exchange &exchange, AttemptOutcome outcome)
{
    ServiceState &state = service(exchange.service);
    if (exchange.deadline <= m_now || !state.backends.hasUsableServer() || !state.retries.spend()) {
        return false;
    }
    log(DecisionKind::Retry, id, exchange, enumName(attemptOutcomeNames, outcome));
    pushToQueue(id, exchange, state);
    return true;
}

void RequestRouter::refuse(ExchangeId id, RefusalReason reason, std::optional<Duration> retryAfter)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end()) {
        return;
    }
    if (found->second.mayHaveRun) {
        reportUnknown(id, UnknownReason::ConnectionLost);
        return;
    }
    if (found->second.claimed) {
        m_effects.push_back(ReleaseClaim{found->second.team, found->second.head.idempotencyKey});
    }
    m_effects.push_back(Refuse{id, reason, retryAfter});
    log(DecisionKind::Refuse, id, found->second, enumName(refusalReasonNames, reason));
    removeExchange(id);
}

void RequestRouter::reportUnknown(ExchangeId id, UnknownReason reason)
{
    m_effects.push_back(ReportUnknown{id, reason});
    log(DecisionKind::Unknown, id, m_exchanges.at(id), enumName(unknownReasonNames, reason));
    removeExchange(id);
}

void RequestRouter::removeExchange(ExchangeId id)
{
    const auto found = m_exchanges.find(id);
    if (found->second.stage == Stage::Waiting) {
        service(found->second.service).queue.remove(id);
        --m_waiting[found->second.team];
    }
    if (found->second.claiming) {
        m_abandonedClaims.emplace(id, ReleaseClaim{found->second.team, found->second.head.idempotencyKey});
    }
    m_deadlines.erase({found->second.deadline, id});
    m_exchanges.erase(found);
}

void RequestRouter::expireDeadlines()
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_now) {
        const ExchangeId id = m_deadlines.begin()->second;
        if (m_exchanges.at(id).stage == Stage::Running) {
            reportUnknown(id, UnknownReason::TimedOut);
        } else {
            refuse(id, RefusalReason::DeadlinePassed, minRetryAfter);
        }
    }
}

void RequestRouter::releaseUnresolved()
{
    while (!m_unresolved.empty() && m_unresolved.begin()->first <= m_now) {
        m_rights.release(m_unresolved.begin()->second.team);
        m_unresolved.erase(m_unresolved.begin());
    }
}

void RequestRouter::reportDemand()
{
    for (auto &[team, reported] : m_reportedDemand) {
        const TeamDemand demand{team, m_rights.running(team), m_waiting[team], m_rights.generation(team)};
        if (demand != reported) {
            reported = demand;
            m_effects.push_back(demand);
        }
    }
}

void RequestRouter::reportUsage()
{
    if (m_now < m_nextUsageReport) {
        return;
    }
    m_nextUsageReport = m_now + usageInterval;
    UsageReport report;
    for (auto &[id, state] : m_services) {
        for (const auto &[team, spent] : state.spent) {
            report.spent.push_back({id, team, spent});
        }
        state.spent.clear();
        const std::uint32_t idle = state.queue.size() == 0 ? state.backends.idleSlots() : 0;
        report.spare.push_back({id, idle});
    }
    m_effects.push_back(std::move(report));
}

void RequestRouter::log(DecisionKind kind, ExchangeId id, const Exchange &exchange, std::string_view reason)
{
    m_effects.push_back(Decision{kind, id, exchange.team, exchange.service, exchange.lastBackend, reason,
                                 toDuration(m_now - exchange.arrived)});
}

RequestRouter::ServiceState &RequestRouter::service(const ServiceId &id)
{
    const auto found = m_services.find(id);
    if (found != m_services.end()) {
        return found->second;
    }
    const std::uint64_t seed = m_seed + m_services.size();
    return m_services.emplace(id, ServiceState(id, seed)).first->second;
}

} // namespace radishvane
