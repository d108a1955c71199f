#pragma once

#include "core/cells/cell_controller.h"
#include "drivers/event_log.h"
#include "drivers/http_client.h"
#include "drivers/mailbox.h"
#include "drivers/timer.h"
#include "servers/site_messages.h"

#include <sigc++/signal.h>

#include <variant>

namespace radishvane::servers
{

/// Owns the connections to workers and this process's part in a cell.
class CellTask
{
public:
    using Message = std::variant<cells::CellEvent>;

    static constexpr Duration tickInterval{25};
    /// Limit of calls to one worker that are under way, which bounds its connections: a lease renewal that waits for
    /// an end, and a few orders.
    static constexpr std::size_t mostCallsPerWorker = 5;

    CellTask(drivers::EventLoop &loop, const Clock &clock, drivers::EventLog &log, const cells::CellId &cell,
             const HostId &host, std::uint64_t incarnation, const Endpoint &link, const Endpoint &admission,
             cells::CellTimes times, cells::HostCapacity capacity, cells::StoreLimits storeLimits,
             cells::HostServiceLimits hostService);

    void post(Message message);

    sigc::signal<void(const SiteCall &)> siteCalled;
    sigc::signal<void(const cells::AnswerCall &)> answered;
    sigc::signal<void(const cells::RequestHandover &)> handoverRequested;
    sigc::signal<void(const OwnerKnown &)> ownerChanged;
    /// The cell is not this process's any more, or never was.
    sigc::signal<void()> released;
    sigc::signal<void(const cells::DecisionLogEntry &)> decided;
    sigc::signal<void(const WriteMeasured &)> writeMeasured;
    sigc::signal<void(const cells::CellLeaseRenewed &)> leaseRenewed;
    sigc::signal<void(const cells::CellRebuilt &)> rebuilt;
    sigc::signal<void(const TaskLoadPtr &)> loadMeasured;

private:
    void on(const cells::CellEvent &event);
    void handle(const cells::CellEvent &event);
    void apply(const cells::StartOrder &start);
    void apply(const cells::StopOrder &stop);
    void apply(const cells::LeaseRenewalOrder &hold);
    void apply(const cells::QueryAdmission &ask);
    void apply(const cells::WriteCell &call);
    void apply(const cells::ReadCell &call);
    void apply(const cells::ListHosts &call);
    void apply(const cells::MaintainHost &call);
    void apply(const cells::MoveHost &call);
    void apply(const cells::ReportWave &call);
    void apply(const cells::AnswerCall &answer);
    void apply(const cells::RequestHandover &request);
    void apply(const cells::OwnershipChanged &change);
    void apply(const cells::CellLeaseRenewed &renewal);
    void apply(const cells::CellRebuilt &rebuild);
    void apply(const cells::DecisionLogEntry &entry);
    template<typename Order>
    void order(const Order &order);
    void tellOwner();
    void onTick();

    const Clock &m_clock;
    drivers::EventLog &m_log;
    std::uint64_t m_incarnation;
    HostId m_host;
    Endpoint m_admission;
    cells::CellController m_controller;
    std::optional<cells::OwnerRow> m_toldOwner;
    TimePoint m_writeSent;
    bool m_stopping = false;
    bool m_toldReleased = false;
    drivers::TaskStatistics m_statistics;
    drivers::HttpClient m_http;
    drivers::Mailbox<Message> m_mailbox;
    drivers::Timer m_timer;
};

} // namespace radishvane::servers
