#pragma once

#include "core/cells/cell_messages.h"
#include "drivers/http_server.h"
#include "drivers/mailbox.h"
#include "drivers/metrics_page.h"
#include "servers/load_log.h"
#include "servers/site_messages.h"

#include <variant>

namespace radishvane::servers
{

/// Owns the metrics of the process and the port at which they are fetched.
class MetricsTask
{
public:
    using Message = std::variant<cells::DecisionLogEntry, CallMeasured, WriteMeasured, BeliefAges,
                                 cells::CellLeaseRenewed, cells::CellRebuilt, RowUnreadable, TaskLoadPtr>;

    MetricsTask(drivers::EventLoop &loop, const Clock &clock, drivers::EventLog &log, Endpoint listen);

    bool listen();
    void post(Message message);

private:
    void on(const cells::DecisionLogEntry &message);
    void on(const CallMeasured &message);
    void on(const WriteMeasured &message);
    void on(const BeliefAges &message);
    void on(const cells::CellLeaseRenewed &message);
    void on(const cells::CellRebuilt &message);
    void on(const RowUnreadable &message);
    void on(const TaskLoadPtr &message);
    void show(drivers::PeerKind kind, const drivers::PeerCalls &calls);

    Endpoint m_listen;
    drivers::MetricsPage m_page;
    LoadLog m_loadLog;
    drivers::HttpServer m_server;
    drivers::Mailbox<Message> m_mailbox;
};

} // namespace radishvane::servers
