#include "tests/support/fleet.h"

#include "drivers/blocking_http.h"
#include "tests/support/ports.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace radishvane::tests
{

namespace
{

constexpr int portsPerKind = 20;
constexpr auto loopback = "127.0.0.1";

const std::string binaries = RADISHVANE_BINARIES;

std::string text(const Endpoint &endpoint)
{
    return endpoint.address + ':' + std::to_string(endpoint.port);
}

} // namespace

Load::Load(std::vector<Endpoint> entries, const std::vector<std::string> &flows, Duration length, Duration timeout)
    : m_callers(
        m_loop, std::move(entries),
        [&] {
            std::vector<stand_ins::Flow> parsed;
            for (const std::string &flow : flows) {
                parsed.push_back(stand_ins::parseFlow(flow));
            }
            return parsed;
        }(),
        length, timeout)
    , m_thread([this] { m_loop.run(); })
{
}

Load::~Load()
{
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

stand_ins::Tally Load::finish()
{
    m_thread.join();
    stand_ins::printTallies(m_callers.tallies);
    stand_ins::Tally total;
    for (const auto &[name, tally] : m_callers.tallies) {
        total.sent += tally.sent;
        total.served += tally.served;
        total.refused += tally.refused;
        total.unknown += tally.unknown;
        total.noAnswer += tally.noAnswer;
        total.wrong += tally.wrong;
    }
    return total;
}

Fleet::Fleet(const FleetPlan &plan)
    : m_plan(plan)
    , m_folder(std::filesystem::temp_directory_path()
               / ("radishvane-test-" + std::to_string(shiftedPort(plan.firstPort))))
{
    m_plan.firstPort = shiftedPort(plan.firstPort);
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder + "/config");
    std::vector<std::string> platform;
    for (std::size_t zone = 0; zone < m_plan.zones.size(); ++zone) {
        platform.insert(platform.end(), {"--port", std::to_string(platformPort(zone).port)});
    }
    start("platform", "/tests/stand_ins/platform_stand_in", platform);
    std::vector<std::string> backends;
    for (std::size_t index = 0; index < backendHosts().size(); ++index) {
        backends.insert(backends.end(), {"--port", std::to_string(backendPort(index).port)});
    }
    start("backends", "/tests/stand_ins/backend_stand_in", backends);
    std::vector<std::string> workers;
    for (int index = 0; index < m_plan.workers; ++index) {
        workers.insert(workers.end(), {"--port", std::to_string(workerPort(index).port)});
    }
    start("workers", "/tests/stand_ins/worker_stand_in", workers);
    if (m_plan.links) {
        std::vector<std::string> links{"--port", std::to_string(networkPort().port)};
        for (std::size_t zone = 0; zone < m_plan.zones.size(); ++zone) {
            links.insert(links.end(),
                         {"--link",
                          m_plan.zones[zone] + ':' + std::to_string(linkPort(zone).port) + ':'
                              + std::to_string(peerPort(zone).port)});
        }
        start("network", "/tests/stand_ins/link_stand_in", links);
    }
    for (std::size_t zone = 0; zone < m_plan.zones.size(); ++zone) {
        startEntry(zone);
    }
    writeConfig();
    eventually([this] { return get(platformPort(0), "/hosts").status == drivers::httpStatus::ok; });
    eventually([this] {
        const auto known = status(0).value("entry_hosts", nlohmann::json::array());
        return known.size() == m_plan.zones.size();
    });
}

Fleet::~Fleet()
{
    m_processes.clear();
    std::filesystem::remove_all(m_folder);
}

void Fleet::startEntry(std::size_t index)
{
    const std::string name = "entry-" + m_plan.zones[index];
    std::ofstream settings(m_folder + '/' + name + ".yaml");
    settings << "host: " << name << "\nzone: " << m_plan.zones[index] << "\nlisten: " << text(entryPort(index))
             << "\noperator_listen: " << text(operatorPort(index)) << "\npeer_listen: " << text(peerPort(index))
             << "\npeer_address: " << text(linkPort(index)) << "\nplatform: " << text(platformPort(index))
             << "\nleave_wait_ms: 500\nstop_wait_ms: " << m_plan.stopWaitMilliseconds
             << "\nplatform_timeout_ms: 1000\npeers:\n";
    for (std::size_t peer = 0; peer < m_plan.zones.size(); ++peer) {
        settings << "  - " << text(linkPort(peer)) << '\n';
    }
    settings.close();
    start(name, "/main/radishvaned", {m_folder + '/' + name + ".yaml"});
}

Process &Fleet::entry(std::size_t index)
{
    return *m_processes.at("entry-" + m_plan.zones[index]);
}

void Fleet::replaceEveryEntry()
{
    for (std::size_t index = 0; index < m_plan.zones.size(); ++index) {
        entry(index).signal(SIGTERM);
        EXPECT_EQ(entry(index).wait(), 0);
        startEntry(index);
        EXPECT_TRUE(eventually([&] { return get(operatorPort(index), "/readyz").status == drivers::httpStatus::ok; }));
    }
}

std::vector<Endpoint> Fleet::entries() const
{
    std::vector<Endpoint> ports;
    for (std::size_t index = 0; index < m_plan.zones.size(); ++index) {
        ports.push_back(entryPort(index));
    }
    return ports;
}

Endpoint Fleet::entryPort(std::size_t index) const
{
    return {loopback, static_cast<std::uint16_t>(m_plan.firstPort + portsPerKind + index)};
}

Endpoint Fleet::operatorPort(std::size_t index) const
{
    return {loopback, static_cast<std::uint16_t>(m_plan.firstPort + 2 * portsPerKind + index)};
}

Endpoint Fleet::platformPort(std::size_t index) const
{
    return {loopback, static_cast<std::uint16_t>(m_plan.firstPort + index)};
}

Endpoint Fleet::backendPort(std::size_t index) const
{
    return {loopback, static_cast<std::uint16_t>(m_plan.firstPort + 4 * portsPerKind + index)};
}

Endpoint Fleet::workerPort(std::size_t index) const
{
    return {loopback, static_cast<std::uint16_t>(m_plan.firstPort + 5 * portsPerKind + index)};
}

Endpoint Fleet::peerPort(std::size_t index) const
{
    return {loopback, static_cast<std::uint16_t>(m_plan.firstPort + 3 * portsPerKind + index)};
}

Endpoint Fleet::linkPort(std::size_t index) const
{
    if (!m_plan.links) {
        return peerPort(index);
    }
    return {loopback, static_cast<std::uint16_t>(m_plan.firstPort + 6 * portsPerKind + index)};
}

Endpoint Fleet::networkPort() const
{
    return {loopback, static_cast<std::uint16_t>(m_plan.firstPort + 7 * portsPerKind)};
}

void Fleet::cut(const std::vector<std::string> &zones, bool fromPlatform) const
{
    control(networkPort(), {{"cut", zones}});
    for (std::size_t index = 0; index < m_plan.zones.size(); ++index) {
        const bool isCut = std::find(zones.begin(), zones.end(), m_plan.zones[index]) != zones.end();
        control(platformPort(index), {{"mode", isCut && fromPlatform ? "cut" : "ok"}});
    }
}

void Fleet::writeConfig(const std::function<void(std::string &)> &change)
{
    std::ofstream machines(m_folder + "/config/machines.yaml");
    machines << "pools:\n  - {name: quotes-pool, max_hosts_out: 1, maintenance_interval_hours: "
             << (m_plan.maintained ? 1 : 0) << "}\n  - {name: batch, max_hosts_out: 1}\n"
             << (m_plan.spareBackends > 0 ? "  - {name: spare, max_hosts_out: 1, spare: true}\n" : "") << "hosts:\n";
    for (const auto &[host, pool] : backendHosts()) {
        machines << "  - {name: " << host << ", zone: a, rack: r1, pool: " << pool << ", cores: 32, memory_gb: 64}\n";
    }
    for (int index = 0; index < m_plan.workers; ++index) {
        machines << "  - {name: worker-" << index
                 << ", zone: a, rack: r2, pool: batch, cores: 32, memory_gb: 64, worker: '" << text(workerPort(index))
                 << "'}\n";
    }
    if (m_plan.spareBackends > 0) {
        machines << "planning: {move_hosts: true}\n";
    }
    std::ofstream services(m_folder + "/config/services.yaml");
    for (const char *name : {"quotes", "open"}) {
        services << (std::string(name) == "quotes" ? "services:\n" : "") << "  - name: " << name
                 << "\n    pool: quotes-pool\n    longest_run_ms: " << m_plan.longestRunMilliseconds
                 << "\n    queue_limit: 500\n"
                 << (std::string(name) == "open" ? "    open_to_all: true\n" : "") << "    backends:\n";
        std::size_t index = 0;
        for (const auto &[host, pool] : backendHosts()) {
            services << "      - {name: " << name << '-' << index << ", host: " << host << ", address: '"
                     << text(backendPort(index)) << "'}\n";
            ++index;
        }
    }
    std::string teams = "teams:\n  - {name: office, share: 1, ceiling: " + std::to_string(m_plan.ceiling)
        + ", standing_percent: " + std::to_string(m_plan.standingPercent)
        + "}\n  - {name: workshop, share: 3, ceiling: 100}\nkeys:\n  - {secret: office-key, team: office}\n"
        + "  - {secret: office-spare-key, team: office}\n  - {secret: workshop-key, team: workshop}\n";
    if (change) {
        change(teams);
    }
    std::ofstream(m_folder + "/config/teams.yaml") << teams;
}

std::vector<std::pair<std::string, std::string>> Fleet::backendHosts() const
{
    std::vector<std::pair<std::string, std::string>> hosts;
    for (int index = 0; index < m_plan.backends; ++index) {
        hosts.emplace_back("host-" + std::to_string(index), "quotes-pool");
    }
    for (int index = 0; index < m_plan.spareBackends; ++index) {
        hosts.emplace_back("spare-" + std::to_string(index), "spare");
    }
    return hosts;
}

void Fleet::listHosts() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[host, pool] : backendHosts()) {
        list.push_back({{"host", host}, {"state", "live"}});
    }
    for (int index = 0; index < m_plan.workers; ++index) {
        list.push_back({{"host", "worker-" + std::to_string(index)}, {"state", "live"}});
    }
    control(platformPort(0), list, "/control/hosts");
}

int Fleet::apply(const std::vector<std::string> &more)
{
    std::vector<std::string> arguments{"--operator", text(operatorPort(0))};
    arguments.insert(arguments.end(), more.begin(), more.end());
    return startApply(arguments)->wait();
}

std::unique_ptr<Process> Fleet::startApply(const std::vector<std::string> &more)
{
    std::vector<std::string> arguments{"apply", m_folder + "/config", "--platform", text(platformPort(0))};
    arguments.insert(arguments.end(), more.begin(), more.end());
    return std::make_unique<Process>(binaries + "/main/radishvane", arguments, m_folder + "/apply.log");
}

drivers::HttpOutcome Fleet::call(const drivers::HttpCall &call) const
{
    drivers::BlockingHttp http;
    return http.call(call);
}

drivers::HttpAnswer Fleet::get(const Endpoint &endpoint, const std::string &target) const
{
    drivers::HttpCall request;
    request.endpoint = endpoint;
    request.target = target;
    request.timeout = Duration(5'000);
    const auto outcome = call(request);
    const auto *answer = std::get_if<drivers::HttpAnswer>(&outcome);
    return answer == nullptr ? drivers::HttpAnswer{} : *answer;
}

void Fleet::control(const Endpoint &endpoint, const nlohmann::json &body, const std::string &path) const
{
    drivers::HttpCall request;
    request.endpoint = endpoint;
    request.method = drivers::HttpMethod::Post;
    request.target = path;
    request.body = body.dump();
    request.timeout = Duration(5'000);
    call(request);
}

drivers::HttpAnswer Fleet::request(std::size_t entry, const drivers::HttpHeaders &headers, const std::string &key) const
{
    drivers::HttpCall request;
    request.endpoint = entryPort(entry);
    request.method = drivers::HttpMethod::Post;
    request.target = "/v1/services/quotes/work";
    request.headers = headers;
    request.headers.push_back({"Authorization", "Bearer " + key});
    request.body = "hello";
    request.timeout = Duration(20'000);
    const auto outcome = call(request);
    const auto *answer = std::get_if<drivers::HttpAnswer>(&outcome);
    return answer == nullptr ? drivers::HttpAnswer{} : *answer;
}

nlohmann::json Fleet::status(std::size_t entry) const
{
    const auto answer = json(operatorPort(entry), "/status");
    return answer.is_object() ? answer : nlohmann::json::object();
}

nlohmann::json Fleet::json(const Endpoint &endpoint, const std::string &target) const
{
    return nlohmann::json::parse(get(endpoint, target).body, nullptr, false);
}

std::size_t Fleet::startedAt(std::size_t backend) const
{
    return json(backendPort(backend), "/executions").at("executions").size();
}

bool Fleet::eventually(const std::function<bool()> &condition, Duration within)
{
    constexpr Duration interval{50};
    for (Duration waited{}; waited < within; waited += interval) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(interval);
    }
    return condition();
}

int Fleet::mostRunning(const std::string &team) const
{
    return json(backendPort(0), "/executions").at("most_by_team").value(team, 0);
}

std::map<std::string, int> Fleet::startedMoreThanOnce() const
{
    std::map<std::string, int> starts;
    const auto add = [&](const Endpoint &endpoint) {
        const auto counts = json(endpoint, "/executions");
        for (const auto &[name, count] : counts.at("executions").items()) {
            starts[name] += count.get<int>();
        }
    };
    for (std::size_t index = 0; index < backendHosts().size(); ++index) {
        add(backendPort(index));
    }
    for (int index = 0; index < m_plan.workers; ++index) {
        add(workerPort(index));
    }
    std::erase_if(starts, [](const auto &entry) { return entry.second < 2; });
    return starts;
}

Process &Fleet::start(const std::string &name, const std::string &program, const std::vector<std::string> &arguments)
{
    auto &process = m_processes[name];
    process = std::make_unique<Process>(binaries + program, arguments, m_folder + '/' + name + ".log");
    return *process;
}

} // namespace radishvane::tests
