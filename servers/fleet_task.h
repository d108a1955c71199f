#pragma once

#include "core/fleet/maintenance_controller.h"
#include "drivers/mailbox.h"
#include "drivers/timer.h"

#include <sigc++/signal.h>

namespace radishvane::servers
{

/// Plans the maintenance of the pools that fall to this entry host.
class FleetTask
{
public:
    static constexpr Duration tickInterval{500};

    FleetTask(drivers::EventLoop &loop, const Clock &clock, HostId host);

    void post(FleetEvent message);

    sigc::signal<void(const PlatformCall &)> platformCalled;

private:
    void handle(const FleetEvent &event);
    void apply(const PlatformCall &effect);
    void apply(const FleetLogEntry &effect);

    const Clock &m_clock;
    MaintenanceController m_controller;
    drivers::Mailbox<FleetEvent> m_mailbox;
    drivers::Timer m_timer;
};

} // namespace radishvane::servers
