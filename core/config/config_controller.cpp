#include "core/config/config_controller.h"

#include <algorithm>
#include <utility>

namespace radishvane
{

ConfigEffects ConfigController::handle(const ConfigEvent &event, TimePoint now)
{
    m_now = now;
    m_effects.clear();
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    return std::exchange(m_effects, {});
}

ConfigVersion ConfigController::inForce() const
{
    return m_inForce;
}

ConfigVersion ConfigController::newestObserved() const
{
    return m_newestVersion;
}

void ConfigController::on(const PlatformAnswered &event)
{
    if (event.id == m_pollOperation) {
        m_pollOperation = {};
        if (const auto *found = std::get_if<RowFound>(&event.answer)) {
            onCurrentRow(std::get<ConfigRow>(found->row.value));
        }
        return;
    }
    if (event.id != m_fetchOperation) {
        return;
    }
    m_fetchOperation = {};
    if (const auto *found = std::get_if<ObjectFound>(&event.answer)) {
        m_effects.push_back(ParseFiles{m_fetchVersion, found->bytes});
    }
}

void ConfigController::on(const PeerConfigAnnounced &event)
{
    if (event.version >= m_newestVersion) {
        m_newestSource = event.peer;
    }
    observe(event.version);
    if (event.confirmedAt != TimePoint{}) {
        confirm(event.version, event.confirmedAt);
    }
    fetch();
}

void ConfigController::on(const PeerConfigReceived &event)
{
    observe(event.version);
    if (event.version > m_inForce) {
        m_effects.push_back(ParseFiles{event.version, event.files});
    }
}

void ConfigController::on(const ConfigParsed &event)
{
    if (event.version <= m_inForce) {
        return;
    }
    m_inForce = event.version;
    m_effects.push_back(ConfigAdopted{event.config, event.files});
    if (m_inForce >= m_newestVersion) {
        m_outdatedReported = false;
    }
    if (m_pendingVersion == m_inForce) {
        m_effects.push_back(ConfigConfirmedAt{m_pendingConfirmation});
    }
}

void ConfigController::on(const ConfigUnreadable &event)
{
    m_unreadableVersion = event.version;
}

void ConfigController::on(const ConfigTick &)
{
    if (m_now >= m_nextPoll && m_pollOperation == OperationId{}) {
        m_nextPoll = m_now + pollInterval;
        m_pollSentAt = m_now;
        m_pollOperation = call(ReadRow{std::string(rowKey::config)});
    }
    fetch();
    if (m_newestVersion > m_inForce && !m_outdatedReported && m_now >= m_newestObservedAt + maxAdoptionDelay) {
        m_outdatedReported = true;
        m_effects.push_back(ConfigOutdated{m_newestVersion});
    }
}

void ConfigController::onCurrentRow(const ConfigRow &row)
{
    if (row.version >= m_newestObjectVersion) {
        m_newestObject = row.object;
        m_newestObjectVersion = row.version;
    }
    observe(row.version);
    // The row was current at some time after the read was sent.
    confirm(row.version, m_pollSentAt);
    fetch();
}

void ConfigController::observe(ConfigVersion version)
{
    if (version <= m_newestVersion) {
        return;
    }
    if (m_newestVersion <= m_inForce) {
        m_newestObservedAt = m_now;
    }
    m_newestVersion = version;
    m_nextFetch = m_now;
}

void ConfigController::confirm(ConfigVersion version, TimePoint at)
{
    if (version == m_inForce && version == m_newestVersion && version != ConfigVersion{}) {
        m_effects.push_back(ConfigConfirmedAt{at});
        return;
    }
    if (version > m_inForce && (version > m_pendingVersion || at > m_pendingConfirmation)) {
        m_pendingVersion = version;
        m_pendingConfirmation = at;
    }
}

void ConfigController::fetch()
{
    const bool wanted = m_newestVersion > m_inForce && m_newestVersion != m_unreadableVersion;
    if (!wanted || m_now < m_nextFetch) {
        return;
    }
    m_nextFetch = m_now + fetchRetryInterval;
    if (m_newestObject && m_newestObjectVersion == m_newestVersion && m_fetchOperation == OperationId{}) {
        m_fetchVersion = m_newestVersion;
        m_fetchOperation = call(ReadObject{*m_newestObject});
    }
    if (!m_newestSource.empty()) {
        m_effects.push_back(QueryPeerConfig{m_newestSource, m_newestVersion});
    }
}

OperationId ConfigController::call(PlatformRequest request)
{
    const OperationId id{++m_lastOperation};
    m_effects.push_back(PlatformCall{id, std::move(request)});
    return id;
}

} // namespace radishvane
