#pragma once

#include "drivers/http_client.h"
#include "tests/stand_ins/callers.h"
#include "tests/support/process.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace radishvane::tests
{

/// What a test's fleet consists of.
struct FleetPlan
{
    /// First of the ports that the test uses; tests that run at one time use other ones.
    std::uint16_t firstPort = 0;
    /// One entry host in each, in this order.
    std::vector<std::string> zones{"a", "b", "c"};
    int backends = 3;
    int workers = 2;
    int ceiling = 6;
    int standingPercent = 50;
    int longestRunMilliseconds = 3'000;
    /// Time that open requests have when an entry host stops.
    int stopWaitMilliseconds = 30'000;
    /// The hosts of the backend servers are due for maintenance.
    bool maintained = false;
    /// Hosts of the spare pool with a backend server each; hosts move between pools when there are any.
    int spareBackends = 0;
    /// Datagrams between entry hosts pass a stand-in of the network, which can cut zones off.
    bool links = false;
};

/// Load on the fleet from a thread of its own.
class Load
{
public:
    Load(std::vector<Endpoint> entries, const std::vector<std::string> &flows, Duration length, Duration timeout);
    ~Load();

    /// Waits for the end of the load. @return all flows together.
    stand_ins::Tally finish();

private:
    drivers::EventLoop m_loop;
    stand_ins::Callers m_callers;
    std::thread m_thread;
};

/// Entry hosts, a platform, backend servers and workers as separate processes on loopback.
class Fleet
{
public:
    explicit Fleet(const FleetPlan &plan);
    ~Fleet();

    void startEntry(std::size_t index);
    Process &entry(std::size_t index);
    /// Stops each entry host gracefully in turn and starts it anew; the test expects each to end and to get ready.
    void replaceEveryEntry();
    std::vector<Endpoint> entries() const;
    Endpoint entryPort(std::size_t index) const;
    Endpoint operatorPort(std::size_t index) const;
    /// The way to the platform of one zone.
    Endpoint platformPort(std::size_t index) const;
    Endpoint backendPort(std::size_t index) const;
    Endpoint workerPort(std::size_t index) const;
    /// Cuts zones off from the other entry hosts and, when @p fromPlatform, from the platform; the rest is joined.
    void cut(const std::vector<std::string> &zones, bool fromPlatform) const;

    /// Writes the declarative files; @p change edits the text of the teams' file.
    void writeConfig(const std::function<void(std::string &)> &change = {});
    /// Tells all hosts of the files as live in the platform's list.
    void listHosts() const;
    /// Runs `radishvane apply`. @return its exit code.
    int apply(const std::vector<std::string> &more = {});
    std::unique_ptr<Process> startApply(const std::vector<std::string> &more);

    drivers::HttpOutcome call(const drivers::HttpCall &call) const;
    drivers::HttpAnswer get(const Endpoint &endpoint, const std::string &target) const;
    void control(const Endpoint &endpoint, const nlohmann::json &body, const std::string &path = "/control") const;
    /// A request of the team "office" through one entry host. @return its outcome header and status.
    drivers::HttpAnswer request(std::size_t entry, const drivers::HttpHeaders &headers = {},
                                const std::string &key = "office-key") const;
    nlohmann::json status(std::size_t entry) const;
    /// GET of JSON; a field of an answer that cannot be read throws.
    nlohmann::json json(const Endpoint &endpoint, const std::string &target) const;
    /// Requests that one backend server was asked to run.
    std::size_t startedAt(std::size_t backend) const;

    /// Waits until @p condition holds; a test fails after a bound that no healthy run comes near.
    static bool eventually(const std::function<bool()> &condition, Duration within = Duration(30'000));
    /// Most requests of a team that ran at all backend servers at one time.
    int mostRunning(const std::string &team) const;
    /// Requests and jobs that were started more than once, by name.
    std::map<std::string, int> startedMoreThanOnce() const;

private:
    Endpoint peerPort(std::size_t index) const;
    Endpoint linkPort(std::size_t index) const;
    Endpoint networkPort() const;
    /// The hosts of backend servers by name, and the pool of each.
    std::vector<std::pair<std::string, std::string>> backendHosts() const;
    Process &start(const std::string &name, const std::string &program, const std::vector<std::string> &arguments);

    FleetPlan m_plan;
    std::string m_folder;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
};

} // namespace radishvane::tests
