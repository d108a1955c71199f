#pragma once

#include "drivers/event_log.h"
#include "drivers/mailbox.h"
#include "drivers/timer.h"
#include "platform/cell_store.h"
#include "platform/host_client.h"
#include "platform/store_client.h"
#include "platform/table_follower.h"
#include "servers/site_messages.h"

#include <sigc++/signal.h>

#include <map>
#include <string>

namespace radishvane::servers
{

/// Owns the connections to the platform's store and host service: calls of the cell, and what the platform tells.
class SiteStoreTask
{
public:
    using Message = std::variant<SiteCall>;

    static constexpr Duration tickInterval{20};
    /// Least time between two looks at discovery, which changes with each worker's heartbeat.
    static constexpr Duration discoveryInterval{250};

    SiteStoreTask(drivers::EventLoop &loop, const Clock &clock, drivers::EventLog &log, const cells::CellId &cell,
                  const Endpoint &store, std::size_t maxRowBytes, const Endpoint &hostService);

    void post(Message message);

    sigc::signal<void(const cells::CellEvent &)> cellEvent;
    sigc::signal<void(const cells::SiteConfigPtr &)> configChanged;
    sigc::signal<void(const OperatorContact &)> operatorAnswered;
    sigc::signal<void(const RowUnreadable &)> rowUnreadable;
    sigc::signal<void(const TaskLoadPtr &)> loadMeasured;

private:
    void on(const SiteCall &message);
    void send(const cells::WriteCell &call);
    void send(const cells::ReadCell &call);
    void send(const cells::ListHosts &call);
    void send(const cells::MaintainHost &call);
    void send(const cells::MoveHost &call);
    void send(const cells::ReportWave &call);
    void send(const cells::OwnershipChanged &call);
    void takeOperatorRows(const std::map<std::string, platform::StoredRow> &rows);
    void takeDiscovery(const std::map<std::string, platform::StoredRow> &rows);
    void noteBadRow(const std::string &table, const platform::StoredRow &row, const std::string &problem);
    void noteStore(bool answers, const std::string &reason);
    void onTick();

    const Clock &m_clock;
    drivers::EventLog &m_log;
    drivers::TaskStatistics m_statistics;
    platform::StoreClient m_store;
    platform::CellStore m_cellStore;
    platform::HostClient m_hosts;
    platform::TableFollower m_owners;
    platform::TableFollower m_operator;
    platform::TableFollower m_discovery;
    bool m_followsDiscovery = false;
    bool m_storeAnswers = false;
    std::uint64_t m_configVersion = 0;
    /// Versions of rows that could not be read, so that each is told once.
    std::map<std::string, std::uint64_t> m_badRows;
    drivers::Mailbox<Message> m_mailbox;
    drivers::Timer m_timer;
};

} // namespace radishvane::servers
