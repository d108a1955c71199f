#pragma once

#include "drivers/event_log.h"
#include "drivers/event_loop.h"
#include "drivers/site_settings.h"
#include "drivers/system_clock.h"
#include "servers/cell_task.h"
#include "servers/metrics_task.h"
#include "servers/site_front_task.h"
#include "servers/site_store_task.h"
#include "servers/stop_task.h"

#include <string>

struct event;

namespace radishvane
{

/// One entry host of a site on the users' platform: its tasks, and the wires between them.
class SiteHost
{
public:
    explicit SiteHost(const drivers::SiteSettings &settings);
    ~SiteHost();
    SiteHost(const SiteHost &) = delete;
    SiteHost &operator=(const SiteHost &) = delete;

    /// @return the name of the setting whose address cannot be bound; empty when all are.
    std::string listen();
    /// Runs until a signal has stopped it.
    void run();

private:
    void wire();

    drivers::SiteSettings m_settings;
    drivers::SystemClock m_clock;
    drivers::EventLoop m_loop;
    drivers::EventLog m_log;
    servers::SiteStoreTask m_store;
    servers::CellTask m_cell;
    servers::SiteFrontTask m_front;
    servers::MetricsTask m_metrics;
    servers::StopTask m_stop;
    event *m_reload = nullptr;
};

} // namespace radishvane
