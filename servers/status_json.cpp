#include "servers/status_json.h"

#include "core/base/enum_names.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace radishvane::servers
{

namespace
{

using Json = nlohmann::json;

std::uint64_t versionOf(const ConfigStatus &config)
{
    return config.config == nullptr ? 0 : config.config->version.value;
}

Json entryHostsJson(const HostStatus &status)
{
    Json hosts = Json::array();
    hosts.push_back({{"host", status.host.name()},
                     {"zone", status.zone.name()},
                     {"live", true},
                     {"version", versionOf(status.config)}});
    for (const PeerStatus &peer : status.membership.peers) {
        hosts.push_back({{"host", peer.host.name()},
                         {"zone", peer.zone.name()},
                         {"live", peer.live},
                         {"version", peer.config.value}});
    }
    return hosts;
}

Json poolsJson(const Config &config)
{
    Json pools = Json::array();
    for (const auto &[id, pool] : config.pools) {
        std::size_t hosts = 0;
        for (const auto &[host, declared] : config.hosts) {
            hosts += declared.pool == id ? 1 : 0;
        }
        pools.push_back(
            {{"pool", id.name()}, {"hosts", hosts}, {"max_hosts_out", pool.maxHostsOut}, {"spare", pool.spare}});
    }
    return pools;
}

Json hostsJson(const HostStatus &status)
{
    Json hosts = Json::array();
    for (const auto &[id, host] : status.config.config->hosts) {
        const bool leaving = status.leaving.hosts.contains(id);
        hosts.push_back({{"host", id.name()},
                         {"zone", host.zone.name()},
                         {"rack", host.rack.name()},
                         {"pool", host.pool.name()},
                         {"state", leaving ? "leaving" : "in-service"}});
    }
    return hosts;
}

Json teamsJson(const HostStatus &status)
{
    Json teams = Json::array();
    for (const auto &[id, team] : status.config.config->teams) {
        Json entry{{"team", id.name()}, {"share", team.share}, {"ceiling", team.ceiling},
                   {"standing", 0},     {"leased", 0},         {"running", 0},
                   {"waiting", 0}};
        for (const TeamRightsStatus &rights : status.rights.teams) {
            if (rights.team == id) {
                entry["standing"] = rights.standing;
                entry["leased"] = rights.leased;
                entry["running"] = rights.running;
                entry["waiting"] = rights.waiting;
            }
        }
        teams.push_back(std::move(entry));
    }
    return teams;
}

Json servicesJson(const Config &config)
{
    Json services = Json::array();
    for (const auto &[id, service] : config.services) {
        services.push_back({{"service", id.name()},
                            {"pool", service.pool.name()},
                            {"backends", service.backends.size()},
                            {"open_to_all", service.openToAll}});
    }
    return services;
}

Json jobsJson(const JobStatus &jobs)
{
    Json list = Json::array();
    for (const JobRow &row : jobs.owned) {
        list.push_back({{"job", row.id.name()},
                        {"team", row.team.name()},
                        {"kind", row.kind},
                        {"state", enumName(jobStateNames, row.state)},
                        {"reason", enumName(jobReasonNames, row.reason)},
                        {"worker", row.worker.name()},
                        {"attempts", row.attempts}});
    }
    return list;
}

class MetricsWriter
{
public:
    void family(const std::string &name, const std::string &help, const std::string &type)
    {
        m_text << "# HELP radishvane_" << name << ' ' << help << "\n# TYPE radishvane_" << name << ' ' << type << '\n';
        m_name = name;
    }

    template<typename Value>
    void sample(const std::string &labels, Value value)
    {
        m_text << "radishvane_" << m_name;
        if (!labels.empty()) {
            m_text << '{' << labels << '}';
        }
        m_text << ' ' << value << '\n';
    }

    std::string text() const
    {
        return m_text.str();
    }

private:
    std::ostringstream m_text;
    std::string m_name;
};

std::string label(std::string_view name, std::string_view value)
{
    return std::string(name) + "=\"" + std::string(value) + '"';
}

} // namespace

std::string statusJson(const HostStatus &status)
{
    Json json{{"host", status.host.name()},
              {"zone", status.zone.name()},
              {"stage", enumName(stopStageNames, status.stage)},
              {"version", versionOf(status.config)},
              {"newest_version_heard_of", status.config.newestObserved.value},
              {"version_confirmed", status.config.confirmed},
              {"session_held", status.rights.sessionHeld},
              {"waiting", status.requests.waiting},
              {"running", status.requests.running},
              {"decisions", status.requests.decisions},
              {"refusals", status.requests.refusals},
              {"median_ms", status.requests.medianMilliseconds},
              {"p99_ms", status.requests.p99Milliseconds},
              {"entry_hosts", entryHostsJson(status)},
              {"pools", Json::array()},
              {"teams", Json::array()},
              {"services", Json::array()},
              {"jobs", jobsJson(status.jobs)}};
    if (status.config.config != nullptr) {
        json["pools"] = poolsJson(*status.config.config);
        json["hosts"] = hostsJson(status);
        json["teams"] = teamsJson(status);
        json["services"] = servicesJson(*status.config.config);
    }
    return json.dump() + '\n';
}

std::string metricsText(const HostStatus &status)
{
    MetricsWriter metrics;
    metrics.family("decisions_total", "Decisions by kind.", "counter");
    for (const auto &[kind, count] : status.requests.decisions) {
        metrics.sample(label("kind", kind), count);
    }
    metrics.family("refusals_total", "Refused requests by reason; none of them was run.", "counter");
    for (const auto &[reason, count] : status.requests.refusals) {
        metrics.sample(label("reason", reason), count);
    }
    metrics.family("requests_waiting", "Requests that wait for a slot.", "gauge");
    metrics.sample("", status.requests.waiting);
    metrics.family("requests_running", "Requests at backend servers.", "gauge");
    metrics.sample("", status.requests.running);
    metrics.family("request_time_milliseconds", "Time from arrival to the answer.", "gauge");
    metrics.sample(label("quantile", "0.5"), status.requests.medianMilliseconds);
    metrics.sample(label("quantile", "0.99"), status.requests.p99Milliseconds);
    metrics.family("team_running", "Requests at backend servers by team.", "gauge");
    for (const auto &[team, running] : status.requests.runningByTeam) {
        metrics.sample(label("team", team.name()), running);
    }
    metrics.family("job_steps_total", "Steps of jobs on this entry host.", "counter");
    for (const auto &[step, count] : status.jobs.steps) {
        metrics.sample(label("step", step), count);
    }
    metrics.family("jobs_owned", "Jobs that this entry host owns.", "gauge");
    metrics.sample("", status.jobs.owned.size());
    metrics.family("config_version", "Version in force.", "gauge");
    metrics.sample("", versionOf(status.config));
    metrics.family("peers_live", "Other live entry hosts.", "gauge");
    std::size_t live = 0;
    for (const PeerStatus &peer : status.membership.peers) {
        live += peer.live ? 1 : 0;
    }
    metrics.sample("", live);
    metrics.family("peer_bytes_sent_total", "Bytes of heartbeats sent.", "counter");
    metrics.sample("", status.membership.bytesSent);
    metrics.family("platform_calls_total", "Calls to the platform by task.", "counter");
    for (std::size_t user = 0; user < platformUserNames.size(); ++user) {
        metrics.sample(label("task", platformUserNames[user]), status.platform.calls[user]);
    }
    metrics.family("platform_failures_total", "Calls to the platform without an answer of use.", "counter");
    metrics.sample("", status.platform.failures);
    return metrics.text();
}

} // namespace radishvane::servers
