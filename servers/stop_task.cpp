#include "servers/stop_task.h"

#include "core/base/enum_names.h"
#include "drivers/log.h"

#include <event2/event.h>

#include <csignal>

namespace radishvane::servers
{

StopTask::StopTask(drivers::EventLoop &loop, const Clock &clock, HostStopTimes times)
    : m_clock(clock)
    , m_controller(times)
    , m_mailbox(loop, [this](Message &&message) { handle(message); })
    , m_timer(loop, tickInterval, [this] { handle(HostStopTick{}); })
{
    const auto handler = [](evutil_socket_t, short, void *self) {
        static_cast<StopTask *>(self)->handle(StopSignalled{});
    };
    m_signals = {evsignal_new(loop.base(), SIGTERM, handler, this), evsignal_new(loop.base(), SIGINT, handler, this)};
    for (event *signal : m_signals) {
        event_add(signal, nullptr);
    }
}

StopTask::~StopTask()
{
    for (event *signal : m_signals) {
        event_free(signal);
    }
}

void StopTask::post(Message message)
{
    m_mailbox.post(message);
}

void StopTask::handle(const HostStopEvent &event)
{
    for (const StopStageEntered &entered : m_controller.handle(event, m_clock.now())) {
        apply(entered);
    }
}

void StopTask::apply(const StopStageEntered &entered)
{
    using drivers::LogLevel;
    if (entered.stage == StopStage::Releasing) {
        drivers::logLine(LogLevel::Info, "requests-finished", {{"left", std::to_string(entered.openCalls)}});
    }
    if (entered.stage == StopStage::Stopped) {
        drivers::logLine(LogLevel::Info, "released",
                         {{"rights", entered.hasReleasedRights ? "all" : "left-to-expire"},
                          {"jobs", entered.hasHandedBackJobs ? "all" : "left-to-expire"}});
    }
    drivers::logLine(LogLevel::Info, "stop", {{"stage", std::string(enumName(stopStageNames, entered.stage))}});
    stageChanged.emit(entered.stage);
}

} // namespace radishvane::servers
