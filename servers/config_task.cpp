#include "servers/config_task.h"

#include "core/routing/admission.h"
#include "drivers/config_files.h"
#include "drivers/log.h"

namespace radishvane::servers
{

ConfigTask::ConfigTask(drivers::EventLoop &loop, const Clock &clock)
    : m_clock(clock)
    , m_mailbox(loop, [this](ConfigEvent &&message) { handle(message); })
    , m_timer(loop, tickInterval, [this] { onTick(); })
{
}

void ConfigTask::post(ConfigEvent message)
{
    m_mailbox.post(std::move(message));
}

void ConfigTask::handle(const ConfigEvent &event)
{
    for (const ConfigEffect &effect : m_controller.handle(event, m_clock.now())) {
        std::visit([this](const auto &alternative) { apply(alternative); }, effect);
    }
}

void ConfigTask::apply(const PlatformCall &effect)
{
    platformCalled.emit(effect);
}

void ConfigTask::apply(const ParseFiles &effect)
{
    auto config = drivers::readPacked(effect.files);
    if (!config) {
        const std::string detail = describe(config.error().front());
        drivers::logLine(drivers::LogLevel::Error, "config-unreadable",
                         {{"version", std::to_string(effect.version.value)}, {"detail", detail}});
        m_mailbox.post(ConfigUnreadable{effect.version, detail});
        return;
    }
    auto shared = std::make_shared<Config>(std::move(config).value());
    shared->version = effect.version;
    m_mailbox.post(ConfigParsed{effect.version, std::move(shared), effect.files});
}

void ConfigTask::apply(const QueryPeerConfig &effect)
{
    peerAsked.emit(effect);
}

void ConfigTask::apply(const ConfigAdopted &effect)
{
    drivers::logLine(drivers::LogLevel::Info, "config-in-force",
                     {{"version", std::to_string(effect.config->version.value)}});
    if (m_status.config == nullptr) {
        m_adoptedAt = m_clock.now();
    }
    m_status.config = effect.config;
    m_nextStatus = TimePoint{};
    adopted.emit(effect);
}

void ConfigTask::apply(const ConfigConfirmedAt &effect)
{
    m_confirmedAt = std::max(m_confirmedAt, effect.at);
    confirmed.emit(effect.at);
    if (m_clock.now() - effect.at <= configConfirmationLifetime) {
        letCallersIn();
    }
}

void ConfigTask::apply(const ConfigOutdated &effect)
{
    drivers::logLine(drivers::LogLevel::Warning, "config-outdated", {{"newest", std::to_string(effect.newest.value)}});
    outdated.emit();
}

void ConfigTask::letCallersIn()
{
    if (m_status.servable || m_status.config == nullptr) {
        return;
    }
    m_status.servable = true;
    m_nextStatus = TimePoint{};
    servable.emit();
}

void ConfigTask::onTick()
{
    handle(ConfigTick{});
    const TimePoint now = m_clock.now();
    if (m_status.config != nullptr && now >= m_adoptedAt + confirmationWait) {
        letCallersIn();
    }
    if (now >= m_nextStatus) {
        m_nextStatus = now + statusInterval;
        m_status.newestObserved = m_controller.newestObserved();
        m_status.confirmed = now - m_confirmedAt <= configConfirmationLifetime;
        statusChanged.emit(m_status);
    }
}

} // namespace radishvane::servers
