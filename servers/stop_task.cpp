#include "servers/stop_task.h"

#include "core/base/enum_names.h"
#include "drivers/log.h"

#include <event2/event.h>

#include <csignal>

namespace radishvane::servers
{

StopTask::StopTask(drivers::EventLoop &loop, const Clock &clock, Duration leaveWait, Duration stopWait)
    : m_clock(clock)
    , m_leaveWait(leaveWait)
    , m_stopWait(stopWait)
    , m_mailbox(
          loop,
          [this](Message &&message) { std::visit([this](const auto &alternative) { on(alternative); }, message); })
    , m_timer(loop, tickInterval, [this] { onTick(); })
{
    const auto handler = [](evutil_socket_t, short, void *self) {
        static_cast<StopTask *>(self)->onSignal();
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
    m_mailbox.post(std::move(message));
}

void StopTask::on(const RequestStatus &message)
{
    m_open = message.waiting + message.running;
    if (m_open > 0) {
        m_lastOpen = m_clock.now();
    }
}

void StopTask::on(const RightsReleased &)
{
    m_rightsReleased = true;
}

void StopTask::on(const JobsHandedBack &)
{
    m_jobsHandedBack = true;
}

void StopTask::onSignal()
{
    if (m_stage == StopStage::Serving) {
        enter(StopStage::Leaving);
    }
}

void StopTask::onTick()
{
    const TimePoint now = m_clock.now();
    switch (m_stage) {
    case StopStage::Serving:
    case StopStage::Stopped:
        return;
    case StopStage::Leaving:
        if (now >= m_since + m_leaveWait) {
            m_lastOpen = now;
            enter(StopStage::Finishing);
        }
        return;
    case StopStage::Finishing: {
        const bool quiet = m_open == 0 && now >= m_lastOpen + quietTime;
        if (quiet || now >= m_since + m_stopWait) {
            drivers::logLine(drivers::LogLevel::Info, "requests-finished", {{"left", std::to_string(m_open)}});
            enter(StopStage::Releasing);
        }
        return;
    }
    case StopStage::Releasing:
        if ((m_rightsReleased && m_jobsHandedBack) || now >= m_since + releaseWait) {
            drivers::logLine(drivers::LogLevel::Info, "released",
                             {{"rights", m_rightsReleased ? "all" : "left-to-expire"},
                              {"jobs", m_jobsHandedBack ? "all" : "left-to-expire"}});
            enter(StopStage::Stopped);
        }
        return;
    }
}

void StopTask::enter(StopStage stage)
{
    m_stage = stage;
    m_since = m_clock.now();
    drivers::logLine(drivers::LogLevel::Info, "stop", {{"stage", std::string(enumName(stopStageNames, stage))}});
    stageChanged.emit(stage);
}

} // namespace radishvane::servers
