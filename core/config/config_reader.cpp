#include "core/config/config_reader.h"

#include "core/base/enum_names.h"
#include "core/config/field_reader.h"

#include <algorithm>
#include <optional>

namespace radishvane
{

namespace
{

constexpr Range shareRange{1, 1'000'000};
constexpr Range ceilingRange{0, 1'000'000};
constexpr Range percentRange{0, 100};
constexpr Range slotRange{1, 1'024};
constexpr Range connectionRange{1, 65'536};
constexpr Range queueRange{0, 1'000'000};
constexpr Range hostsOutRange{1, 100'000};
constexpr Range minHostsRange{0, 100'000};
constexpr Range weightRange{1, 1'000};
constexpr Range hostCapacityRange{0, 1'000'000};
constexpr Range runMillisecondsRange{1, 3'600'000};
constexpr Range intervalRange{0, 8'760};
constexpr Range cutOffSecondsRange{0, 604'800};

constexpr std::uint32_t defaultMinHosts = 1;
constexpr std::uint32_t defaultWeight = 1;
constexpr std::uint32_t defaultSlots = 8;
constexpr std::uint32_t defaultConnections = 64;
constexpr std::uint32_t defaultQueueLimit = 1'000;
constexpr std::uint32_t defaultLongestRunMilliseconds = 30'000;
constexpr std::uint32_t defaultStandingPercent = 25;
constexpr std::uint32_t defaultCutOffKeySeconds = 3'600;

/// Merges the sections of all files into one configuration, then checks the references between them.
class ConfigReader
{
public:
    explicit ConfigReader(std::vector<ConfigProblem> &problems) : m_problems(problems)
    {
    }

    void read(const Document &document)
    {
        FieldReader file(document.root, "a file of the set", m_problems);
        for (const Node &node : file.items("pools")) {
            readPool(node);
        }
        for (const Node &node : file.items("hosts")) {
            readHost(node);
        }
        for (const Node &node : file.items("teams")) {
            readTeam(node);
        }
        for (const Node &node : file.items("keys")) {
            readKey(node);
        }
        for (const Node &node : file.items("services")) {
            readService(node);
        }
        if (const Node *node = file.section("planning")) {
            readPlanning(*node);
        }
        file.finish();
    }

    void checkReferences()
    {
        const bool hasSpare = std::any_of(m_config.pools.begin(), m_config.pools.end(),
                                          [](const auto &entry) { return entry.second.spare; });
        if (m_config.movesHosts && !hasSpare) {
            m_problems.push_back({ConfigProblemKind::UnknownName, *m_planningAt, "move_hosts", "true",
                                  "requires a pool with spare: true, which holds the idle hosts"});
        }
        for (const auto &reference : m_poolReferences) {
            checkKnown(reference, m_config.pools.contains(PoolId(reference.value)), "no pool has this name");
        }
        for (const auto &reference : m_teamReferences) {
            checkKnown(reference, m_config.teams.contains(TeamId(reference.value)), "no team has this name");
        }
        for (const auto &reference : m_hostReferences) {
            checkKnown(reference, m_config.hosts.contains(HostId(reference.value)), "no host has this name");
        }
    }

    Config take()
    {
        return std::move(m_config);
    }

private:
    struct Reference
    {
        Position at;
        std::string field;
        std::string value;
    };

    void checkKnown(const Reference &reference, bool known, const std::string &message)
    {
        if (!known && !reference.value.empty()) {
            m_problems.push_back(
                {ConfigProblemKind::UnknownName, reference.at, reference.field, reference.value, message});
        }
    }

    template<typename Id, typename Value>
    void insert(std::map<Id, Value> &values, FieldReader &fields, const std::string &field, Value value)
    {
        const Id id = value.id;
        if (id.empty()) {
            return;
        }
        if (!values.emplace(id, std::move(value)).second) {
            fields.report(ConfigProblemKind::DuplicateName, field, id.name(), "is declared twice");
        }
    }

    void readPool(const Node &node)
    {
        FieldReader fields(node, "a pool", m_problems);
        Pool pool;
        pool.id = PoolId(fields.name("name"));
        pool.maxHostsOut = fields.number("max_hosts_out", hostsOutRange);
        pool.spare = fields.flag("spare", false);
        pool.minHosts = fields.number("min_hosts", minHostsRange, defaultMinHosts);
        pool.maintenanceInterval = std::chrono::hours(fields.number("maintenance_interval_hours", intervalRange, 0));
        fields.finish();
        insert(m_config.pools, fields, "name", std::move(pool));
    }

    void readPlanning(const Node &node)
    {
        FieldReader fields(node, "the planning", m_problems);
        if (m_planningAt) {
            fields.report(ConfigProblemKind::DuplicateName, "planning", "", "is declared in more than one file");
        }
        m_planningAt = fields.at();
        m_config.movesHosts = fields.flag("move_hosts", false);
        m_config.planning.bufferCost = fields.number("buffer_cost", weightRange, defaultWeight);
        m_config.planning.share = fields.number("share", weightRange, defaultWeight);
        m_config.planning.moves = fields.number("moves", weightRange, defaultWeight);
        fields.finish();
    }

    void readHost(const Node &node)
    {
        FieldReader fields(node, "a host", m_problems);
        Host host;
        host.id = HostId(fields.name("name"));
        host.zone = ZoneId(fields.name("zone"));
        host.rack = RackId(fields.name("rack"));
        host.pool = PoolId(fields.name("pool"));
        host.cores = fields.number("cores", hostCapacityRange);
        host.memoryGb = fields.number("memory_gb", hostCapacityRange);
        host.accelerators = fields.number("accelerators", hostCapacityRange, 0);
        host.worker = fields.optionalEndpoint("worker");
        fields.finish();
        m_poolReferences.push_back({fields.at(), "pool", host.pool.name()});
        const auto existing = m_config.hosts.find(host.id);
        if (existing != m_config.hosts.end() && existing->second.pool != host.pool) {
            const std::string message
                = "is already in pool '" + existing->second.pool.name() + "'; a host belongs to one pool";
            fields.report(ConfigProblemKind::DuplicateName, "name", host.id.name(), message);
            return;
        }
        insert(m_config.hosts, fields, "name", std::move(host));
    }

    void readTeam(const Node &node)
    {
        FieldReader fields(node, "a team", m_problems);
        Team team;
        team.id = TeamId(fields.name("name"));
        team.share = fields.number("share", shareRange);
        team.ceiling = fields.number("ceiling", ceilingRange);
        team.standingPercent = fields.number("standing_percent", percentRange, defaultStandingPercent);
        team.cutOffKeys = readCutOffKeys(fields);
        team.cutOffKeyLifetime
            = std::chrono::seconds(fields.number("cut_off_key_seconds", cutOffSecondsRange, defaultCutOffKeySeconds));
        fields.finish();
        insert(m_config.teams, fields, "name", std::move(team));
    }

    CutOffKeyPolicy readCutOffKeys(FieldReader &fields)
    {
        if (!fields.has("cut_off_keys")) {
            return CutOffKeyPolicy::ServeForATime;
        }
        const std::string value = fields.text("cut_off_keys");
        const auto keys = enumValue<CutOffKeyPolicy>(cutOffKeyPolicyNames, value);
        if (!keys) {
            const std::string message = "must be serve, refuse or serve-for-a-time";
            fields.report(ConfigProblemKind::OutOfRange, "cut_off_keys", value, message);
        }
        return keys.value_or(CutOffKeyPolicy::Refuse);
    }

    void readKey(const Node &node)
    {
        FieldReader fields(node, "a key", m_problems);
        Key key;
        key.secret = fields.text("secret");
        key.team = TeamId(fields.name("team"));
        fields.finish();
        m_teamReferences.push_back({fields.at(), "team", key.team.name()});
        const std::string secret = key.secret;
        if (!secret.empty() && !m_config.keys.emplace(secret, std::move(key)).second) {
            // Messages are written to logs, so they must not contain the secret.
            fields.report(ConfigProblemKind::DuplicateName, "secret", "", "is declared twice");
        }
    }

    void readService(const Node &node)
    {
        FieldReader fields(node, "a service", m_problems);
        Service service;
        service.id = ServiceId(fields.name("name"));
        service.pool = PoolId(fields.name("pool"));
        service.openToAll = fields.flag("open_to_all", false);
        service.longestRun = std::chrono::milliseconds(
            fields.number("longest_run_ms", runMillisecondsRange, defaultLongestRunMilliseconds));
        service.queueLimit = fields.number("queue_limit", queueRange, defaultQueueLimit);
        for (const Node &backend : fields.items("backends")) {
            readBackend(backend, service);
        }
        fields.finish();
        m_poolReferences.push_back({fields.at(), "pool", service.pool.name()});
        insert(m_config.services, fields, "name", std::move(service));
    }

    void readBackend(const Node &node, Service &service)
    {
        FieldReader fields(node, "a backend server", m_problems);
        BackendServer backend;
        backend.id = BackendId(fields.name("name"));
        backend.host = HostId(fields.name("host"));
        backend.endpoint = fields.endpoint("address");
        backend.slots = fields.number("slots", slotRange, defaultSlots);
        backend.connections = fields.number("connections", connectionRange, defaultConnections);
        fields.finish();
        m_hostReferences.push_back({fields.at(), "host", backend.host.name()});
        if (!m_backendNames.insert(backend.id.name()).second) {
            fields.report(ConfigProblemKind::DuplicateName, "name", backend.id.name(), "is declared twice");
            return;
        }
        service.backends.push_back(std::move(backend));
    }

    std::vector<ConfigProblem> &m_problems;
    Config m_config;
    std::set<std::string> m_backendNames;
    /// Position of the planning section.
    std::optional<Position> m_planningAt;
    std::vector<Reference> m_poolReferences;
    std::vector<Reference> m_teamReferences;
    std::vector<Reference> m_hostReferences;
};

} // namespace

Result<Config, std::vector<ConfigProblem>> readConfig(const std::vector<Document> &documents)
{
    std::vector<ConfigProblem> problems;
    ConfigReader reader(problems);
    if (documents.empty()) {
        problems.push_back({ConfigProblemKind::MissingFile, {}, "", "", "the set holds no .yaml file"});
    }
    for (const Document &document : documents) {
        reader.read(document);
    }
    reader.checkReferences();
    if (!problems.empty()) {
        return problems;
    }
    return reader.take();
}

} // namespace radishvane
