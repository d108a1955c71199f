#pragma once

#include "core/messages/platform_messages.h"
#include "drivers/mailbox.h"
#include "drivers/timer.h"

#include <sigc++/signal.h>

#include <map>
#include <set>

namespace radishvane::servers
{

/// Reads the platform's host list and the rows of the pools, which tell the hosts that must get no new work.
class HostsTask
{
public:
    static constexpr Duration pollInterval{1'000};

    explicit HostsTask(drivers::EventLoop &loop);

    void post(PlatformAnswered message);

    sigc::signal<void(const PlatformCall &)> platformCalled;
    sigc::signal<void(const std::set<HostId> &)> leavingChanged;
    sigc::signal<void(const std::set<HostId> &)> listed;
    sigc::signal<void(const std::set<HostId> &)> listedLive;

private:
    void on(const PlatformAnswered &message);
    void onHosts(const HostsListed &list);
    void onPools(const RowsFound &found);
    void reportLeaving();
    void poll();

    std::uint64_t m_lastOperation = 0;
    std::set<HostId> m_listedLeaving;
    std::set<HostId> m_drained;
    std::set<HostId> m_reported;
    bool m_everReported = false;
    int m_unanswered = 0;
    drivers::Mailbox<PlatformAnswered> m_mailbox;
    drivers::Timer m_timer;
};

} // namespace radishvane::servers
