#include "servers/site_store_task.h"

#include "core/base/enum_names.h"
#include "platform/operator_wire.h"

namespace radishvane::servers
{

namespace
{

constexpr auto configKey = "config";
constexpr std::string_view wavePrefix = "wave/";
/// Bound on the unreadable rows that are remembered; beyond it some are logged again.
constexpr std::size_t maxBadRows = 1'000;

} // namespace

SiteStoreTask::SiteStoreTask(drivers::EventLoop &loop, const Clock &clock, drivers::EventLog &log,
                             const cells::CellId &cell, const Endpoint &store, std::size_t maxRowBytes,
                             const Endpoint &hostService)
    : m_clock(clock)
    , m_log(log)
    , m_statistics(clock, tickInterval)
    , m_store(loop, store, &m_statistics)
    , m_cellStore(
          m_store, maxRowBytes, [this](const cells::CellEvent &event) { cellEvent.emit(event); },
          [this](const std::string &key, const std::string &problem) {
              noteBadRow(platform::cellsTable, platform::StoredRow{key, {}, 1, false}, problem);
          })
    , m_hosts(
          loop, hostService, [this](const cells::CellEvent &event) { cellEvent.emit(event); }, &m_statistics)
    , m_owners(
          m_store, platform::ownersTable, cell.name(), platform::TableFollower::Pace{},
          [this](const auto &rows) { cellEvent.emit(platform::readOwner(rows)); },
          [this](TimePoint asked) { cellEvent.emit(cells::StoreContact{asked}); },
          [this](platform::StoreFailure failure) {
              noteStore(false, std::string(enumName(platform::storeFailureNames, failure)));
          })
    , m_operator(
          m_store, platform::operatorTable, "", platform::TableFollower::Pace{},
          [this](const auto &rows) { takeOperatorRows(rows); },
          [this](TimePoint asked) {
              noteStore(true, {});
              operatorAnswered.emit(OperatorContact{asked});
          },
          [this](platform::StoreFailure failure) {
              noteStore(false, std::string(enumName(platform::storeFailureNames, failure)));
          })
    , m_discovery(
          m_store, platform::discoveryTable, "",
          platform::TableFollower::Pace{Duration{900}, discoveryInterval, Duration{150}},
          [this](const auto &rows) { takeDiscovery(rows); }, [](TimePoint) {},
          [this](platform::StoreFailure failure) {
              noteStore(false, std::string(enumName(platform::storeFailureNames, failure)));
          })
    , m_mailbox(loop,
                [this](Message &&message) {
                    m_statistics.measure(
                        [&] { std::visit([this](const auto &alternative) { on(alternative); }, message); });
                })
    , m_timer(loop, tickInterval, [this] { onTick(); })
{
}

void SiteStoreTask::post(Message message)
{
    m_mailbox.post(std::move(message));
}

void SiteStoreTask::on(const SiteCall &message)
{
    std::visit([this](const auto &call) { send(call); }, message);
}

void SiteStoreTask::send(const cells::WriteCell &call)
{
    m_cellStore.send(call);
}

void SiteStoreTask::send(const cells::ReadCell &call)
{
    m_cellStore.send(call);
}

void SiteStoreTask::send(const cells::ListHosts &call)
{
    m_hosts.send(call);
}

void SiteStoreTask::send(const cells::MaintainHost &call)
{
    m_hosts.send(call);
}

void SiteStoreTask::send(const cells::MoveHost &call)
{
    m_hosts.send(call);
}

void SiteStoreTask::send(const cells::ReportWave &call)
{
    m_cellStore.send(call);
}

void SiteStoreTask::send(const cells::OwnershipChanged &call)
{
    m_followsDiscovery = call.owns;
    m_discovery.restart();
}

void SiteStoreTask::takeOperatorRows(const std::map<std::string, platform::StoredRow> &rows)
{
    std::vector<cells::Wave> waves;
    for (const auto &[key, row] : rows) {
        if (key.compare(0, wavePrefix.size(), wavePrefix) == 0) {
            const auto wave = platform::readWave(row.value);
            if (wave) {
                waves.push_back(wave.value());
            } else {
                noteBadRow(platform::operatorTable, row, wave.error().detail);
            }
        }
    }
    cellEvent.emit(cells::WavesObserved{std::move(waves)});
    const auto found = rows.find(configKey);
    if (found == rows.end() || found->second.version == m_configVersion) {
        return;
    }
    const auto config = platform::readSiteConfig(found->second.value);
    if (!config) {
        noteBadRow(platform::operatorTable, found->second, config.error().detail);
        return;
    }
    m_configVersion = found->second.version;
    m_log.line(drivers::LogLevel::Info, drivers::HostEvent::ConfigChanged,
               {{"version", std::to_string(config.value()->version)},
                {"queues", std::to_string(config.value()->queues.size())},
                {"teams", std::to_string(config.value()->teams.size())}});
    configChanged.emit(config.value());
    cellEvent.emit(cells::ConfigObserved{config.value()});
}

void SiteStoreTask::takeDiscovery(const std::map<std::string, platform::StoredRow> &rows)
{
    std::vector<cells::WorkerEntry> workers;
    for (const auto &[key, row] : rows) {
        const auto entry = platform::readWorkerEntry(key, row.value);
        if (entry) {
            workers.push_back(entry.value());
        } else {
            noteBadRow(platform::discoveryTable, row, entry.error().detail);
        }
    }
    cellEvent.emit(cells::WorkersObserved{std::move(workers)});
}

void SiteStoreTask::noteBadRow(const std::string &table, const platform::StoredRow &row, const std::string &problem)
{
    const std::string place = table + '/' + row.key;
    const auto known = m_badRows.find(place);
    if (known != m_badRows.end() && known->second == row.version) {
        return;
    }
    if (m_badRows.size() >= maxBadRows) {
        m_badRows.clear();
    }
    m_badRows[place] = row.version;
    m_log.line(drivers::LogLevel::Warning, drivers::HostEvent::RowUnreadable, {{"row", place}, {"reason", problem}});
    rowUnreadable.emit(RowUnreadable{table});
}

void SiteStoreTask::noteStore(bool answers, const std::string &reason)
{
    if (answers == m_storeAnswers) {
        return;
    }
    m_storeAnswers = answers;
    m_log.line(answers ? drivers::LogLevel::Info : drivers::LogLevel::Warning,
               answers ? drivers::HostEvent::DependencyRegained : drivers::HostEvent::DependencyLost,
               {{"dependency", "store"}, {"reason", reason}});
}

void SiteStoreTask::onTick()
{
    if (m_statistics.tick()) {
        loadMeasured.emit(std::make_shared<const TaskLoad>(TaskLoad{SiteTask::Store, m_statistics.take()}));
    }
    m_statistics.measure([this] {
        const TimePoint now = m_clock.now();
        m_owners.tick(now);
        m_operator.tick(now);
        if (m_followsDiscovery) {
            m_discovery.tick(now);
        }
    });
}

} // namespace radishvane::servers
