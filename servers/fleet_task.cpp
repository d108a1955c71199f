#include "servers/fleet_task.h"

#include "core/base/enum_names.h"
#include "drivers/log.h"

namespace radishvane::servers
{

FleetTask::FleetTask(drivers::EventLoop &loop, const Clock &clock, HostId host)
    : m_clock(clock)
    , m_controller(std::move(host))
    , m_mailbox(loop, [this](FleetEvent &&message) { handle(message); })
    , m_timer(loop, tickInterval, [this] { handle(FleetTick{}); })
{
}

void FleetTask::post(FleetEvent message)
{
    m_mailbox.post(std::move(message));
}

void FleetTask::handle(const FleetEvent &event)
{
    for (const FleetEffect &effect : m_controller.handle(event, m_clock.instant())) {
        std::visit([this](const auto &alternative) { apply(alternative); }, effect);
    }
}

void FleetTask::apply(const PlatformCall &effect)
{
    platformCalled.emit(effect);
}

void FleetTask::apply(const FleetLogEntry &effect)
{
    drivers::logLine(drivers::LogLevel::Info, "maintenance",
                     {{"step", std::string(enumName(fleetStepNames, effect.step))},
                      {"pool", effect.pool.name()},
                      {"host", effect.host.name()},
                      {"target", effect.target.name()},
                      {"out", std::to_string(effect.out)},
                      {"failed", std::to_string(effect.failed)}});
}

} // namespace radishvane::servers
