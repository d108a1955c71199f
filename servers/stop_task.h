#pragma once

#include "core/base/clock.h"
#include "drivers/event_loop.h"
#include "drivers/mailbox.h"
#include "drivers/timer.h"
#include "servers/task_messages.h"

#include <sigc++/signal.h>

#include <array>
#include <variant>

struct event;

namespace radishvane::servers
{

/// The tasks that give everything back before the process ends.
struct RightsReleased
{
};

struct JobsHandedBack
{
};

/// Leads an entry host through its graceful stop after SIGTERM or SIGINT.
///
/// Leaving: not ready any more, but still taking requests until the balancer has noticed. Finishing: no new
/// connections; open requests end. Releasing: jobs and rights go back. Each wait has a bound.
class StopTask
{
public:
    using Message = std::variant<RequestStatus, RightsReleased, JobsHandedBack>;

    static constexpr Duration tickInterval{50};
    /// Time without any open request after which none is expected.
    static constexpr Duration quietTime{600};
    /// Longest wait for the platform to take rights back.
    static constexpr Duration releaseWait{5'000};

    StopTask(drivers::EventLoop &loop, const Clock &clock, Duration leaveWait, Duration stopWait);
    ~StopTask();
    StopTask(const StopTask &) = delete;
    StopTask &operator=(const StopTask &) = delete;

    void post(Message message);

    sigc::signal<void(StopStage)> stageChanged;

private:
    void on(const RequestStatus &message);
    void on(const RightsReleased &message);
    void on(const JobsHandedBack &message);
    void onSignal();
    void onTick();
    void enter(StopStage stage);

    const Clock &m_clock;
    Duration m_leaveWait;
    Duration m_stopWait;
    StopStage m_stage = StopStage::Serving;
    TimePoint m_since;
    std::uint64_t m_open = 0;
    TimePoint m_lastOpen;
    bool m_rightsReleased = false;
    bool m_jobsHandedBack = false;
    drivers::Mailbox<Message> m_mailbox;
    drivers::Timer m_timer;
    std::array<event *, 2> m_signals{};
};

} // namespace radishvane::servers
