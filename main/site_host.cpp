#include "main/site_host.h"

#include "platform/store_limits.h"

#include <event2/event.h>

#include <algorithm>
#include <csignal>

namespace radishvane
{

namespace
{

/// One cell holds all pools of a site of this size; docs/design/platform.md tells how it is split.
const cells::CellId onlyCell("c0");
/// Longest lease that is asked for: long enough for an outage of the store, short enough for an unresponsive worker.
constexpr Duration maxLeaseTime{6'000};
/// Time in which the balancer notices that this host is not ready: two looks, a second apart, and a half.
constexpr Duration balancerDelay{2'500};

cells::CellTimes timesOf(const drivers::SiteSettings &settings)
{
    cells::CellTimes times;
    times.leaseTime = std::min(maxLeaseTime, settings.mostHold - settings.mostHold / 20);
    times.longestLease = settings.mostHold;
    times.stopGrace = settings.workerStop;
    times.endedJobRetention = settings.keepEnded + settings.keepEnded / 4;
    return times;
}

std::uint64_t incarnationOf(const Clock &clock)
{
    return static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
}

} // namespace

SiteHost::SiteHost(const drivers::SiteSettings &settings)
    : m_settings(settings)
    , m_log(m_loop, m_clock, settings.host.name(), settings.logLevel)
    , m_store(m_loop, m_clock, m_log, onlyCell, settings.store, settings.storeRowBytes, settings.hostService)
    , m_cell(m_loop, m_clock, m_log, onlyCell, settings.host, incarnationOf(m_clock), settings.linkListen,
             settings.admission, timesOf(settings), settings.capacity,
             platform::storeLimits(onlyCell, settings.storeRowBytes), settings.hostServiceLimits)
    , m_front(m_loop, m_clock, m_log,
              servers::SiteFrontTask::Ports{settings.listen, settings.readyListen, settings.linkListen},
              settings.keysWithin)
    , m_metrics(m_loop, m_clock, m_log, settings.metricsListen)
    , m_stop(m_loop, m_clock,
             HostStopTimes::within(settings.stopWithin, balancerDelay, servers::SiteFrontTask::ownerTimeout))
{
    wire();
}

SiteHost::~SiteHost()
{
    event_free(m_reload);
}

void SiteHost::wire()
{
    m_store.cellEvent.connect([this](const cells::CellEvent &event) { m_cell.post(event); });
    m_store.configChanged.connect([this](const cells::SiteConfigPtr &config) { m_front.post(config); });
    m_store.operatorAnswered.connect([this](const servers::OperatorContact &contact) { m_front.post(contact); });
    m_cell.siteCalled.connect([this](const servers::SiteCall &call) { m_store.post(call); });
    m_cell.answered.connect([this](const cells::AnswerCall &answer) { m_front.post(answer); });
    m_cell.handoverRequested.connect([this](const cells::RequestHandover &request) { m_front.post(request); });
    m_cell.ownerChanged.connect([this](const servers::OwnerKnown &owner) { m_front.post(owner); });
    m_cell.released.connect([this] {
        m_stop.post(RightsReleased{});
        m_stop.post(JobsHandedBack{});
    });
    m_front.asked.connect([this](const servers::CellQuestion &question) {
        std::visit([this](const auto &ask) { m_cell.post(cells::CellEvent(ask)); }, question);
    });
    m_front.handoverAnswered.connect(
        [this](const cells::HandoverAnswered &answer) { m_cell.post(cells::CellEvent(answer)); });
    m_front.callMeasured.connect([this](const servers::CallMeasured &measured) { m_metrics.post(measured); });
    m_front.agesChanged.connect([this](const servers::BeliefAges &ages) { m_metrics.post(ages); });
    m_cell.decided.connect([this](const cells::DecisionLogEntry &entry) { m_metrics.post(entry); });
    m_cell.writeMeasured.connect([this](const servers::WriteMeasured &measured) { m_metrics.post(measured); });
    m_cell.leaseRenewed.connect([this](const cells::CellLeaseRenewed &renewal) { m_metrics.post(renewal); });
    m_cell.rebuilt.connect([this](const cells::CellRebuilt &rebuild) { m_metrics.post(rebuild); });
    m_cell.loadMeasured.connect([this](const servers::TaskLoadPtr &load) { m_metrics.post(load); });
    m_store.rowUnreadable.connect([this](const servers::RowUnreadable &row) { m_metrics.post(row); });
    m_store.loadMeasured.connect([this](const servers::TaskLoadPtr &load) { m_metrics.post(load); });
    m_front.loadMeasured.connect([this](const servers::TaskLoadPtr &load) { m_metrics.post(load); });
    m_front.openCallsCounted.connect([this](const OpenCallsCounted &count) { m_stop.post(count); });
    m_front.openCallsAnswered.connect([this] { m_stop.post(OpenCallsAnswered{}); });
    m_stop.stageChanged.connect([this](StopStage stage) {
        m_front.post(stage);
        if (stage == StopStage::Leaving) {
            m_cell.post(cells::CellEvent(cells::CellStop{}));
        }
        if (stage == StopStage::Stopped) {
            m_loop.stop();
        }
    });
    m_reload = evsignal_new(
        m_loop.base(), SIGHUP,
        [](evutil_socket_t, short, void *self) {
            // The settings of a site hold addresses and bounds only, which a running process cannot change.
            static_cast<SiteHost *>(self)->m_log.line(drivers::LogLevel::Info, drivers::HostEvent::Reload,
                                                      {{"outcome", "nothing-to-change"}});
        },
        this);
    event_add(m_reload, nullptr);
}

std::string SiteHost::listen()
{
    return m_metrics.listen() ? m_front.listen() : "metrics_listen";
}

void SiteHost::run()
{
    m_log.line(drivers::LogLevel::Info, drivers::HostEvent::Started, {{"zone", m_settings.zone.name()}});
    m_loop.run();
    m_log.line(drivers::LogLevel::Info, drivers::HostEvent::Stopped, {});
}

} // namespace radishvane
