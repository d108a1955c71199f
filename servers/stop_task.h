#pragma once

#include "core/stop/host_stop_controller.h"
#include "drivers/event_loop.h"
#include "drivers/mailbox.h"
#include "drivers/timer.h"

#include <sigc++/signal.h>

#include <array>

struct event;

namespace radishvane::servers
{

/// Leads an entry host through its graceful stop after SIGTERM or SIGINT.
class StopTask
{
public:
    using Message = HostStopEvent;

    static constexpr Duration tickInterval{50};

    StopTask(drivers::EventLoop &loop, const Clock &clock, HostStopTimes times);
    ~StopTask();
    StopTask(const StopTask &) = delete;
    StopTask &operator=(const StopTask &) = delete;

    void post(Message message);

    sigc::signal<void(StopStage)> stageChanged;

private:
    void handle(const HostStopEvent &event);
    void apply(const StopStageEntered &entered);

    const Clock &m_clock;
    HostStopController m_controller;
    drivers::Mailbox<Message> m_mailbox;
    drivers::Timer m_timer;
    std::array<event *, 2> m_signals{};
};

} // namespace radishvane::servers
