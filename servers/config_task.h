#pragma once

#include "core/config/config_controller.h"
#include "drivers/mailbox.h"
#include "drivers/timer.h"
#include "servers/task_messages.h"

#include <sigc++/signal.h>

namespace radishvane::servers
{

/// Keeps the newest configuration in force on this entry host and tells the other tasks of it.
class ConfigTask
{
public:
    static constexpr Duration tickInterval{200};
    static constexpr Duration statusInterval{1'000};
    /// Wait for the first confirmation after which callers are let in all the same.
    static constexpr Duration confirmationWait{5'000};

    ConfigTask(drivers::EventLoop &loop, const Clock &clock);

    void post(ConfigEvent message);

    sigc::signal<void(const PlatformCall &)> platformCalled;
    sigc::signal<void(const QueryPeerConfig &)> peerAsked;
    sigc::signal<void(const ConfigAdopted &)> adopted;
    sigc::signal<void(TimePoint)> confirmed;
    sigc::signal<void()> outdated;
    /// Callers may come in: a version is in force and was confirmed, or could not be for a while.
    sigc::signal<void()> servable;
    sigc::signal<void(const ConfigStatus &)> statusChanged;

private:
    void handle(const ConfigEvent &event);
    void apply(const PlatformCall &effect);
    void apply(const ParseFiles &effect);
    void apply(const QueryPeerConfig &effect);
    void apply(const ConfigAdopted &effect);
    void apply(const ConfigConfirmedAt &effect);
    void apply(const ConfigOutdated &effect);
    void letCallersIn();
    void onTick();

    const Clock &m_clock;
    ConfigController m_controller;
    ConfigStatus m_status;
    TimePoint m_confirmedAt;
    TimePoint m_adoptedAt;
    TimePoint m_nextStatus;
    drivers::Mailbox<ConfigEvent> m_mailbox;
    drivers::Timer m_timer;
};

} // namespace radishvane::servers
