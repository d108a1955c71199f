#include "core/quota/session_controller.h"

#include "core/messages/peer_messages.h"
#include "core/quota/lease_times.h"

#include <algorithm>
#include <utility>

namespace radishvane
{

SessionController::SessionController(HostId host, ZoneId zone, Endpoint peer, Incarnation start)
    : m_host(std::move(host)), m_zone(std::move(zone)), m_peer(std::move(peer)), m_incarnation(start)
{
}

SessionEffects SessionController::handle(const SessionEvent &event, TimePoint now)
{
    m_now = now;
    m_effects.clear();
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    return std::exchange(m_effects, {});
}

void SessionController::on(const PlatformAnswered &event)
{
    if (event.id == m_readOperation) {
        m_readOperation = {};
        if (const auto *found = std::get_if<RowFound>(&event.answer)) {
            onOwnRow(found->row);
        } else if (std::holds_alternative<RowAbsent>(event.answer)) {
            onOwnRow(StoredRow{rowKey::session(m_host), 0, SessionRow{}, {}});
        }
    } else if (event.id == m_writeOperation) {
        m_writeOperation = {};
        onOwnWritten(event.answer);
    } else if (event.id == m_scanOperation) {
        m_scanOperation = {};
        const auto *found = std::get_if<RowsFound>(&event.answer);
        if (found != nullptr) {
            onScanned(*found);
        }
        m_lastScanAnswered = found != nullptr;
    } else if (event.id == m_releaseOperation) {
        m_effects.push_back(SessionReleased{});
    } else if (const auto ended = m_endOperations.find(event.id); ended != m_endOperations.end()) {
        const auto observed = m_peerSessions.find(ended->second.host);
        if (observed != m_peerSessions.end()) {
            observed->second.endRequested = false;
        }
        if (std::holds_alternative<RowsWritten>(event.answer)) {
            m_effects.push_back(
                SessionEnded{ended->second, observed == m_peerSessions.end() ? Duration(0) : observed->second.idle});
        }
        m_endOperations.erase(ended);
    }
}

void SessionController::on(const WitnessesChanged &event)
{
    m_witnesses = event.hosts;
}

void SessionController::on(const LivenessConfirmationReceived &event)
{
    const TimePoint until = event.at + leaseTimes::livenessConfirmationLifetime - event.idle;
    TimePoint &confirmedUntil = m_confirmedUntil[event.confirmedBy];
    // A statement with idle time replaces an earlier one that was valid for longer.
    confirmedUntil = event.idle > Duration(0) ? until : std::max(confirmedUntil, until);
    updateValidity();
}

void SessionController::on(const SessionTick &)
{
    switch (m_stage) {
    case Stage::Unknown:
        readOwn();
        break;
    case Stage::Held:
        renew();
        break;
    case Stage::Lost:
    case Stage::Released:
        break;
    }
    scan();
}

void SessionController::on(const SessionStop &)
{
    const bool held = m_stage == Stage::Held;
    m_stage = Stage::Released;
    m_validUntil = TimePoint{};
    if (!held) {
        m_effects.push_back(SessionReleased{});
        return;
    }
    m_releaseOperation = call(WriteRows{{RowWrite{rowKey::session(m_host), m_version, std::nullopt}}});
}

void SessionController::readOwn()
{
    const bool busy = m_readOperation != OperationId{} || m_writeOperation != OperationId{};
    if (busy || m_now < m_nextRenewal) {
        return;
    }
    constexpr Duration retryInterval{500};
    m_nextRenewal = m_now + retryInterval;
    m_readOperation = call(ReadRow{rowKey::session(m_host)});
}

void SessionController::onOwnRow(const StoredRow &stored)
{
    const auto &found = std::get<SessionRow>(stored.value);
    const bool own = stored.version > 0 && m_row.epoch > 0 && found.holder == m_row.holder;
    if (m_row.epoch > 0 && stored.version > 0 && found.holder.incarnation > m_incarnation) {
        loseSession(true);
        return;
    }
    if (own && !found.ended && found.epoch == m_row.epoch) {
        // The answer to a renewal was lost, but the renewal took effect.
        m_stage = Stage::Held;
        m_conflict = false;
        m_row = found;
        m_version = stored.version;
        m_nextRenewal = m_now;
        return;
    }
    SessionRow row;
    if (m_row.epoch == 0) {
        m_incarnation = std::max(m_incarnation, Incarnation{found.holder.incarnation.value + 1});
    }
    row.holder = HolderId{m_host, m_incarnation};
    row.zone = m_zone;
    row.peer = m_peer;
    row.epoch = std::max(m_row.epoch, own ? found.epoch : 0) + 1;
    writeOwn(std::move(row), stored.version);
}

void SessionController::writeOwn(SessionRow row, std::uint64_t expected)
{
    row.witnesses = m_witnesses;
    m_writtenRow = row;
    m_writeSentAt = m_now;
    m_writeOperation = call(WriteRows{{RowWrite{rowKey::session(m_host), expected, RowValue(std::move(row))}}});
}

void SessionController::onOwnWritten(const PlatformAnswer &answer)
{
    if (const auto *written = std::get_if<RowsWritten>(&answer)) {
        const bool newEpoch = m_writtenRow.epoch != m_row.epoch;
        m_row = m_writtenRow;
        m_version = written->versions.front();
        m_renewedAt = m_writeSentAt;
        m_conflict = false;
        m_confirmedUntil.clear();
        m_nextRenewal = m_writeSentAt + leaseTimes::renewInterval;
        m_stage = Stage::Held;
        if (newEpoch) {
            m_effects.push_back(SessionHeld{m_row.holder, m_row.epoch});
        }
        updateValidity();
        return;
    }
    const auto *failed = std::get_if<PlatformFailed>(&answer);
    const bool nothingWritten = failed != nullptr && failed->error == PlatformError::Unavailable;
    if (nothingWritten) {
        constexpr Duration retryInterval{1'000};
        m_nextRenewal = m_now + retryInterval;
        return;
    }
    // The row has another version, or its version is unknown: it is read to find out whether the session is still held.
    m_stage = Stage::Unknown;
    m_nextRenewal = m_now;
    m_conflict = std::holds_alternative<WriteConflict>(answer);
    readOwn();
}

void SessionController::renew()
{
    if (m_now < m_nextRenewal || m_writeOperation != OperationId{}) {
        return;
    }
    SessionRow row = m_row;
    ++row.renewals;
    writeOwn(std::move(row), m_version);
}

void SessionController::scan()
{
    if (m_now < m_nextScan || m_scanOperation != OperationId{}) {
        return;
    }
    m_nextScan = m_now + leaseTimes::scanInterval;
    m_scanSentAt = m_now;
    m_scanOperation = call(ScanRows{std::string(rowKey::sessions)});
}

void SessionController::onScanned(const RowsFound &found)
{
    // Time without answers from the table does not count as idle, because the holder could not renew either.
    const auto between = std::chrono::duration_cast<Duration>(m_scanSentAt - m_lastScanSentAt);
    const Duration gap = m_lastScanAnswered ? std::min(between, leaseTimes::maxIdlePerScan) : Duration(0);
    m_lastScanSentAt = m_scanSentAt;
    SessionsObserved result;
    result.at = m_scanSentAt;
    std::set<HostId> present;
    for (const StoredRow &stored : found.rows) {
        const auto &row = std::get<SessionRow>(stored.value);
        present.insert(row.holder.host);
        if (row.holder.host == m_host) {
            result.sessions.push_back({row, Duration(0)});
            continue;
        }
        observe(stored, gap, result);
    }
    std::erase_if(m_peerSessions, [&](const auto &entry) { return !present.contains(entry.first); });
    m_effects.push_back(std::move(result));
}

void SessionController::observe(const StoredRow &stored, Duration gap, SessionsObserved &result)
{
    const auto &row = std::get<SessionRow>(stored.value);
    PeerSession &peer = m_peerSessions[row.holder.host];
    if (peer.version != stored.version) {
        peer = PeerSession{stored.version, Duration(0), false};
    } else {
        peer.idle += gap;
    }
    result.sessions.push_back({row, row.ended ? sessionIdleUnknown : peer.idle});
    if (row.ended || peer.endRequested || !mayEndSession(row, peer.idle)) {
        return;
    }
    peer.endRequested = true;
    SessionRow ended = row;
    ended.ended = true;
    const OperationId id = call(WriteRows{{RowWrite{stored.key, stored.version, RowValue(std::move(ended))}}});
    m_endOperations.emplace(id, row.holder);
}

bool SessionController::mayEndSession(const SessionRow &row, Duration idle) const
{
    const bool witness
        = row.witnesses.empty() || std::find(row.witnesses.begin(), row.witnesses.end(), m_host) != row.witnesses.end();
    return idle >= (witness ? leaseTimes::sessionTimeout : leaseTimes::fallbackSessionTimeout);
}

void SessionController::loseSession(bool nameTaken)
{
    m_stage = Stage::Lost;
    m_validUntil = TimePoint{};
    m_effects.push_back(SessionLost{nameTaken});
    m_effects.push_back(SessionValidUntil{m_validUntil});
}

void SessionController::updateValidity()
{
    // After a conflict another host may have ended the session, so it is not extended until the row has been read.
    if (m_row.epoch == 0 || m_conflict || m_stage == Stage::Lost || m_stage == Stage::Released) {
        return;
    }
    TimePoint until = m_renewedAt + leaseTimes::leaseDuration;
    if (!m_row.witnesses.empty()) {
        TimePoint confirmedUntil = m_renewedAt + leaseTimes::maxTimeWithoutRenewal;
        for (const HostId &witness : m_row.witnesses) {
            const auto found = m_confirmedUntil.find(witness);
            confirmedUntil = std::min(confirmedUntil, found == m_confirmedUntil.end() ? TimePoint{} : found->second);
        }
        until = std::max(until, confirmedUntil);
    }
    if (until != m_validUntil) {
        m_validUntil = until;
        m_effects.push_back(SessionValidUntil{until});
    }
}

OperationId SessionController::call(PlatformRequest request)
{
    const OperationId id{++m_lastOperation};
    m_effects.push_back(PlatformCall{id, std::move(request)});
    return id;
}

} // namespace radishvane
