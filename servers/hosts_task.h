#pragma once

#include "core/fleet/host_moves.h"
#include "core/messages/platform_messages.h"
#include "drivers/mailbox.h"
#include "drivers/timer.h"

#include <sigc++/signal.h>

#include <map>
#include <set>

namespace radishvane::servers
{

/// Reads the platform's host list, the rows of the pools, which tell the hosts that must get no new work, and those of
/// the hosts, which tell where each one belongs.
class HostsTask
{
public:
    static constexpr Duration pollInterval{1'000};

    explicit HostsTask(drivers::EventLoop &loop);

    void post(PlatformAnswered message);

    sigc::signal<void(const PlatformCall &)> platformCalled;
    sigc::signal<void(const HostPlacementsUpdated &)> placed;
    sigc::signal<void(const std::set<HostId> &)> leavingChanged;
    sigc::signal<void(const std::set<HostId> &)> listed;
    sigc::signal<void(const std::set<HostId> &)> listedLive;

private:
    void on(const PlatformAnswered &message);
    void onHosts(const HostsListed &list);
    void onPools(const RowsFound &found);
    void onHostRows(const RowsFound &found);
    void onPlaced(HostRows rows);
    void reportLeaving();
    void poll();
    OperationId call(PlatformRequest request);

    std::uint64_t m_lastOperation = 0;
    std::set<HostId> m_listedLeaving;
    std::set<HostId> m_drained;
    /// Hosts that the pools' rows show as drained, until the rows of the hosts are read too.
    std::set<HostId> m_nextDrained;
    /// The latest reading of the hosts' rows.
    OperationId m_hostsScan;
    std::set<HostId> m_reported;
    bool m_everReported = false;
    int m_unanswered = 0;
    HostRows m_rows;
    drivers::Mailbox<PlatformAnswered> m_mailbox;
    drivers::Timer m_timer;
};

} // namespace radishvane::servers
