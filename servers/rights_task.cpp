#include "servers/rights_task.h"

#include "core/base/enum_names.h"
#include "core/base/overloaded.h"
#include "drivers/log.h"

namespace radishvane::servers
{

RightsTask::RightsTask(drivers::EventLoop &loop, const Clock &clock, HostId host, ZoneId zone, Endpoint peer,
                       Incarnation start)
    : m_clock(clock)
    , m_host(host)
    , m_session(host, std::move(zone), std::move(peer), start)
    , m_ledger(std::move(host))
    , m_mailbox(
          loop,
          [this](Message &&message) { std::visit([this](const auto &alternative) { on(alternative); }, message); })
    , m_timer(loop, tickInterval, [this] { onTick(); })
{
}

void RightsTask::post(Message message)
{
    m_mailbox.post(std::move(message));
}

void RightsTask::on(const PlatformAnswered &message)
{
    const auto found = m_origins.find(message.id);
    if (found == m_origins.end()) {
        return;
    }
    const Origin origin = found->second;
    m_origins.erase(found);
    const PlatformAnswered answered{origin.id, message.answer};
    switch (origin.asker) {
    case Asker::Session:
        handleSession(answered);
        return;
    case Asker::Ledger:
        handleLedger(answered);
        return;
    }
}

void RightsTask::on(const LedgerConfig &message)
{
    handleLedger(message);
}

void RightsTask::on(const LedgerDemand &message)
{
    if (message.use == RightsUse::Requests) {
        TeamRightsStatus &team = m_teams[message.team];
        team.team = message.team;
        team.running = message.running;
        team.waiting = message.waiting;
    }
    handleLedger(message);
}

void RightsTask::on(const LedgerPeerDemand &message)
{
    handleLedger(message);
}

void RightsTask::on(const LedgerPeers &message)
{
    WitnessesChanged witnesses;
    for (const auto &[host, zone] : message.live) {
        if (host != m_host) {
            witnesses.hosts.push_back(host);
        }
    }
    handleSession(witnesses);
    handleLedger(message);
}

void RightsTask::on(const LedgerHostList &message)
{
    handleLedger(message);
}

void RightsTask::on(const LivenessConfirmationReceived &message)
{
    handleSession(message);
}

void RightsTask::on(const ReleaseRights &)
{
    handleLedger(LedgerStop{});
}

void RightsTask::handleSession(const SessionEvent &event)
{
    for (const SessionEffect &effect : m_session.handle(event, m_clock.now())) {
        std::visit(Overloaded{
                       [this](const PlatformCall &asked) { call(Asker::Session, asked); },
                       [this](const auto &alternative) { apply(alternative); },
                   },
                   effect);
    }
}

void RightsTask::handleLedger(const LedgerEvent &event)
{
    for (const LedgerEffect &effect : m_ledger.handle(event, m_clock.now())) {
        std::visit(Overloaded{
                       [this](const PlatformCall &asked) { call(Asker::Ledger, asked); },
                       [this](const auto &alternative) { apply(alternative); },
                   },
                   effect);
    }
}

void RightsTask::apply(const SessionHeld &effect)
{
    drivers::logLine(
        drivers::LogLevel::Info, "session-held",
        {{"incarnation", std::to_string(effect.holder.incarnation.value)}, {"epoch", std::to_string(effect.epoch)}});
    m_status.sessionHeld = true;
    m_status.epoch = effect.epoch;
    holderKnown.emit(effect.holder);
    handleLedger(effect);
}

void RightsTask::apply(const SessionValidUntil &effect)
{
    leaseExtended.emit(effect.until);
}

void RightsTask::apply(const SessionLost &effect)
{
    drivers::logLine(drivers::LogLevel::Error, "session-lost", {{"name_taken", effect.nameTaken ? "true" : "false"}});
    m_status.sessionHeld = false;
    handleLedger(effect);
}

void RightsTask::apply(const SessionsObserved &effect)
{
    sessionsObserved.emit(effect);
    handleLedger(effect);
}

void RightsTask::apply(const SessionEnded &effect)
{
    drivers::logLine(drivers::LogLevel::Warning, "session-ended",
                     {{"host", effect.holder.host.name()}, {"idle_ms", std::to_string(effect.idle.count())}});
}

void RightsTask::apply(const SessionReleased &)
{
    m_status.sessionHeld = false;
    released.emit();
}

void RightsTask::apply(const AllowanceSet &effect)
{
    if (effect.use == RightsUse::Requests) {
        TeamRightsStatus &team = m_teams[effect.team];
        team.team = effect.team;
        team.standing = effect.standing;
        team.leased = effect.leased;
    }
    allowanceSet.emit(effect);
}

void RightsTask::apply(const LedgerLogEntry &effect)
{
    drivers::logLine(effect.change == LedgerChange::Refused ? drivers::LogLevel::Debug : drivers::LogLevel::Info,
                     "rights",
                     {{"team", effect.team.name()},
                      {"change", std::string(enumName(ledgerChangeNames, effect.change))},
                      {"own", std::to_string(effect.own)},
                      {"granted", std::to_string(effect.granted)},
                      {"ceiling", std::to_string(effect.ceiling)}});
}

void RightsTask::apply(const LedgerReleased &)
{
    handleSession(SessionStop{});
}

void RightsTask::call(Asker asker, const PlatformCall &asked)
{
    const OperationId id{++m_lastOperation};
    m_origins.emplace(id, Origin{asker, asked.id});
    platformCalled.emit(PlatformCall{id, asked.request});
}

void RightsTask::onTick()
{
    handleSession(SessionTick{});
    handleLedger(LedgerTick{});
    const TimePoint now = m_clock.now();
    if (now < m_nextStatus) {
        return;
    }
    m_nextStatus = now + statusInterval;
    m_status.teams.clear();
    for (const auto &[team, rights] : m_teams) {
        m_status.teams.push_back(rights);
    }
    statusChanged.emit(m_status);
}

} // namespace radishvane::servers
