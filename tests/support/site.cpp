#include "tests/support/site.h"

#include "tests/support/ports.h"

#include <algorithm>
#include <fstream>
#include <stdexcept>

namespace radishvane::tests
{

namespace
{

using nlohmann::json;

const std::string binaries = RADISHVANE_BINARIES;
constexpr auto loopback = "127.0.0.1";
/// Ports of one entry host: callers, readiness, links, metrics.
constexpr int portsEach = 4;

} // namespace

Site::Site(std::uint16_t firstPort, const std::vector<std::string> &platformOptions, int hosts)
    : m_firstPort(shiftedPort(firstPort))
    , m_folder(std::filesystem::temp_directory_path() / ("site-" + std::to_string(shiftedPort(firstPort))))
    , m_entries(static_cast<std::size_t>(hosts))
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    std::vector<std::string> arguments{"--port", std::to_string(storePort())};
    arguments.insert(arguments.end(), platformOptions.begin(), platformOptions.end());
    m_platform = std::make_unique<Process>(binaries + "/tests/stand_ins/site_stand_in", arguments, log("platform"));
    // Another process may answer on the port of a platform that has ended.
    waitFor([this] { return isListening(); });
    waitFor([this] { return ask(storePort(), drivers::HttpMethod::Get, "/-/rows-get?table=op&part=", {}, {}) == 200; });
    for (int index = 0; index < hosts; ++index) {
        start(index);
    }
    for (int index = 0; index < hosts; ++index) {
        waitReady(index);
    }
}

void Site::start(int index, const std::string &moreSettings)
{
    m_entries[static_cast<std::size_t>(index)] = std::make_unique<Process>(
        binaries + "/main/radishvaned", std::vector<std::string>{"--site", writeSettings(index, moreSettings)},
        log("entry-" + std::to_string(index)));
}

std::string Site::writeSettings(int index, const std::string &moreSettings) const
{
    const std::string settings = m_folder / ("entry-" + std::to_string(index) + ".yaml");
    std::ofstream(settings) << "host: entry-" << index << "\nzone: a\nlisten: " << address(index, 0)
                            << "\nready_listen: " << address(index, 1) << "\nlink_listen: " << address(index, 2)
                            << "\nmetrics_listen: " << address(index, 3) << "\nstore: " << loopback << ':'
                            << storePort() << "\nhost_service: " << loopback << ':' << storePort() + 1
                            << "\nmost_hold_ms: 10000\nworker_stop_ms: 400\nkeys_within_ms: 5000\n"
                            << "stop_within_s: 6\nkeep_ended_s: 120\n"
                            << moreSettings;
    return settings;
}

Process &Site::entry(int index)
{
    return *m_entries[static_cast<std::size_t>(index)];
}

int Site::hosts() const
{
    return static_cast<int>(m_entries.size());
}

bool Site::waitReady(int index)
{
    return waitFor([&] { return ask(port(index, 1), drivers::HttpMethod::Get, "/-/ready", {}, {}) == 200; });
}

void Site::submit(const std::string &job, const json &steps, const std::string &payload)
{
    int index = 0;
    const std::string body = json{{"spec", payload}, {"steps", steps}}.dump();
    waitFor([&] {
        return ask(port(index++ % hosts(), 0), drivers::HttpMethod::Post, "/plans/" + job, body, "key-1") == 200;
    });
}

std::string Site::state(const std::string &job)
{
    for (int index = 0; index < hosts(); ++index) {
        if (ask(port(index, 0), drivers::HttpMethod::Get, "/plans/" + job, {}, "key-1") == 200) {
            return json::parse(m_body).at("state");
        }
    }
    return "unknown";
}

bool Site::ends(const std::string &job, const std::string &wanted)
{
    return waitFor([&] { return state(job) == wanted; });
}

bool Site::isListening()
{
    std::ifstream stream(log("platform"));
    std::string line;
    std::getline(stream, line);
    if (!m_platform->running()) {
        throw std::runtime_error("the platform in small has ended: " + line);
    }
    return line.starts_with("{\"listening\"");
}

int Site::ask(int port, drivers::HttpMethod method, const std::string &target, const std::string &body,
              const std::string &key)
{
    drivers::HttpCall call;
    call.endpoint = Endpoint{loopback, static_cast<std::uint16_t>(port)};
    call.method = method;
    call.target = target;
    call.body = body;
    call.headers = {{"Host", "site.example"}};
    if (!key.empty()) {
        call.headers.push_back({"X-Api-Key", key});
    }
    call.timeout = Duration(3'000);
    const drivers::HttpOutcome outcome = m_http.call(call);
    const auto *answer = std::get_if<drivers::HttpAnswer>(&outcome);
    m_body = answer == nullptr ? std::string() : answer->body;
    return answer == nullptr ? 0 : answer->status;
}

const std::string &Site::body() const
{
    return m_body;
}

bool Site::control(const json &order)
{
    return ask(storePort(), drivers::HttpMethod::Post, "/control", order.dump(), {}) == 200;
}

void Site::control(const char *mode)
{
    control(json{{"mode", mode}});
}

int Site::port(int index, int which) const
{
    return m_firstPort + index * portsEach + which;
}

std::uint16_t Site::storePort() const
{
    return static_cast<std::uint16_t>(m_firstPort + hosts() * portsEach);
}

std::string Site::log(const std::string &name) const
{
    return m_folder / (name + ".log");
}

int Site::owner()
{
    int owner = -1;
    waitFor([&] {
        owner = lastOwner();
        return owner >= 0;
    });
    return std::max(owner, 0);
}

json Site::lastLine(int index, const std::string &name) const
{
    json last;
    std::ifstream stream(log("entry-" + std::to_string(index)));
    for (std::string line; std::getline(stream, line);) {
        // Parsing every line of a long log takes seconds.
        if (line.find(name) == std::string::npos) {
            continue;
        }
        json event = json::parse(line, nullptr, false);
        if (event.is_object() && event.value("event", "") == name) {
            last = std::move(event);
        }
    }
    return last;
}

int Site::lastOwner() const
{
    int owner = -1;
    std::int64_t latest = 0;
    for (int index = 0; index < hosts(); ++index) {
        const json taken = lastLine(index, "ownership-taken");
        if (taken.is_object() && taken.value("ts", std::int64_t{0}) >= latest) {
            latest = taken.value("ts", std::int64_t{0});
            owner = index;
        }
    }
    return owner;
}

std::string Site::address(int index, int which) const
{
    return std::string(loopback) + ':' + std::to_string(port(index, which));
}

} // namespace radishvane::tests
