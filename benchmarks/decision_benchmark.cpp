// Cost of single decisions, and the slopes that docs/CAPACITY.md works with.

#include "benchmarks/bounds.h"
#include "core/membership/peer_table.h"
#include "core/quota/rights_ledger.h"
#include "core/routing/request_router.h"
#include "drivers/config_files.h"
#include "drivers/peer_codec.h"
#include "drivers/row_codec.h"

#include <benchmark/benchmark.h>

#include <fstream>
#include <sstream>

namespace radishvane::benchmarks
{

namespace
{

constexpr auto service = "work";

std::shared_ptr<const Config> makeConfig(int backends, int teams)
{
    auto config = std::make_shared<Config>();
    config->version = ConfigVersion{1};
    Service declared;
    declared.id = ServiceId(service);
    declared.longestRun = Duration(60'000);
    declared.queueLimit = 100'000;
    for (int index = 0; index < backends; ++index) {
        declared.backends.push_back(
            {BackendId("b" + std::to_string(index)), HostId("h" + std::to_string(index)), Endpoint{}, 8, 64});
    }
    config->services[declared.id] = declared;
    for (int index = 0; index < teams; ++index) {
        const std::string name = "team-" + std::to_string(index);
        Team team;
        team.id = TeamId(name);
        team.ceiling = 1'000'000;
        config->teams[team.id] = team;
        config->keys[name] = Key{name, team.id};
    }
    return config;
}

RequestArrived arrival(std::uint64_t id, int team)
{
    RequestHead head;
    head.service = ServiceId(service);
    head.key = "team-" + std::to_string(team);
    head.idempotent = true;
    head.timeout = Duration(60'000);
    return RequestArrived{ExchangeId{id}, head};
}

/// Resident memory of this process in bytes.
double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    double pages = 0;
    file >> pages >> pages;
    constexpr double pageBytes = 4'096;
    return pages * pageBytes;
}

// One request from arrival to its end, against the number of backend servers.
void routingDecision(benchmark::State &state)
{
    RequestRouter router(1);
    const TimePoint now = TimePoint(std::chrono::hours(1));
    router.handle(ConfigInForce{makeConfig(static_cast<int>(state.range(0)), 6)}, now);
    router.handle(ConfigConfirmed{now}, now);
    router.handle(TeamAllowance{TeamId("team-0"), 1'000'000, 0, 1}, now);
    std::uint64_t id = 0;
    for (auto unused : state) {
        for (const RequestEffect &effect : router.handle(arrival(++id, 0), now)) {
            if (const auto *start = std::get_if<StartAttempt>(&effect)) {
                benchmark::DoNotOptimize(router.handle(AttemptEnded{start->attempt, AttemptOutcome::Answered}, now));
                break;
            }
        }
    }
}

// Memory of waiting requests, without their bodies.
void waitingMemory(benchmark::State &state)
{
    constexpr std::uint64_t count = 20'000;
    double bytes = 0;
    for (auto unused : state) {
        RequestRouter router(1);
        const TimePoint now = TimePoint(std::chrono::hours(1));
        router.handle(ConfigInForce{makeConfig(10, 6)}, now);
        router.handle(ConfigConfirmed{now}, now);
        const double before = residentBytes();
        for (std::uint64_t id = 1; id <= count; ++id) {
            router.handle(arrival(id, static_cast<int>(id % 6)), now);
        }
        bytes = (residentBytes() - before) / static_cast<double>(count);
    }
    state.counters["bytes_per_request"] = bytes;
}

/// A set of files of the target size.
std::string makeFiles(int hosts, int teams)
{
    std::ostringstream text;
    text << "pools:\n  - {name: p, max_hosts_out: 5}\nhosts:\n";
    for (int host = 0; host < hosts; ++host) {
        text << "  - {name: host-" << host << ", zone: a, rack: r" << host / 4
             << ", pool: p, cores: 32, memory_gb: 64, worker: '127.0.0.1:9000'}\n";
    }
    text << "teams:\n";
    for (int team = 0; team < teams; ++team) {
        text << "  - {name: team-" << team << ", share: 1, ceiling: 100}\n";
    }
    return drivers::packFiles({{"set.yaml", text.str()}});
}

// Reading one new version, against the number of hosts.
void configReading(benchmark::State &state)
{
    const std::string files = makeFiles(static_cast<int>(state.range(0)), 70);
    for (auto unused : state) {
        benchmark::DoNotOptimize(drivers::readPacked(files).value().hosts.size());
    }
    state.counters["bytes"] = static_cast<double>(files.size());
}

// Control traffic of one entry host, against entry hosts and active teams.
void heartbeatBytes(benchmark::State &state)
{
    const int hosts = static_cast<int>(state.range(0));
    const int teams = static_cast<int>(state.range(1));
    const auto addressOf = [](int host) {
        return PeerAddress{HolderId{HostId("entry-a" + std::to_string(host)), Incarnation{1}}, ZoneId("a"),
                           Endpoint{"10.20.30.1" + std::to_string(host), 7'000}};
    };
    PeerTable table(addressOf(0), DetectorKind::FixedWait);
    TimePoint now = TimePoint(std::chrono::hours(1));
    double bytes = 0;
    int beats = 0;
    for (auto unused : state) {
        now += PeerTable::heartbeatInterval;
        ++beats;
        for (int host = 1; host < hosts; ++host) {
            Heartbeat heartbeat;
            heartbeat.sender = addressOf(host);
            heartbeat.sequence = static_cast<std::uint64_t>(beats);
            table.handle(HeartbeatReceived{heartbeat}, now);
        }
        OwnUsage usage;
        for (int team = 0; team < teams; ++team) {
            const TeamId id("team-number-" + std::to_string(team));
            usage.spent.push_back({ServiceId("strand-plans"), id, 100});
            table.handle(OwnDemand{HeartbeatDemand{id, RightsUse::Requests, 3, 1}}, now);
        }
        table.handle(usage, now);
        for (const PeerEffect &effect : table.handle(PeerTick{}, now)) {
            if (const auto *send = std::get_if<SendHeartbeat>(&effect)) {
                bytes += static_cast<double>(drivers::encodeHeartbeat(send->heartbeat).size());
            }
        }
    }
    const double perSecond = bytes / beats * 1'000 / PeerTable::heartbeatInterval.count();
    state.counters["bytes_per_second"] = perSecond;
    require(state, perSecond <= 5'000, "control traffic of a node is at most 5 KB a second");
}

// One tick of the ledger, against the number of teams.
void ledgerTick(benchmark::State &state)
{
    RightsLedger ledger(HostId("entry-a1"));
    const TimePoint now = TimePoint(std::chrono::hours(1));
    ledger.handle(SessionHeld{HolderId{HostId("entry-a1"), Incarnation{1}}, 1}, now);
    ledger.handle(LedgerPeers{{{HostId("entry-a1"), ZoneId("a")}}}, now);
    ledger.handle(LedgerConfig{makeConfig(1, static_cast<int>(state.range(0)))}, now);
    for (auto unused : state) {
        benchmark::DoNotOptimize(ledger.handle(LedgerTick{}, now));
    }
}

// One rights row with the grants of all entry hosts.
void rightsRow(benchmark::State &state)
{
    RightsRow row{TeamId("team-0"), 100, ConfigVersion{1}, {}};
    for (int host = 0; host < state.range(0); ++host) {
        row.grants.push_back(
            {HolderId{HostId("entry-" + std::to_string(host)), Incarnation{1}}, RightsUse::Requests, 1, 2, 3});
    }
    std::size_t bytes = 0;
    for (auto unused : state) {
        const std::string text = drivers::encodeRow(row);
        bytes = text.size();
        benchmark::DoNotOptimize(drivers::decodeRow("rights/team-0", text).value().index());
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

BENCHMARK(routingDecision)->Arg(10)->Arg(100)->Arg(1'000);
BENCHMARK(waitingMemory)->Iterations(1);
BENCHMARK(configReading)->Arg(50)->Arg(200)->Arg(720)->Arg(2'000)->Unit(benchmark::kMillisecond);
BENCHMARK(heartbeatBytes)->ArgsProduct({{6, 8}, {0, 6, 70}})->Iterations(100)->Unit(benchmark::kMicrosecond);
BENCHMARK(ledgerTick)->Arg(6)->Arg(70)->Unit(benchmark::kMicrosecond);
BENCHMARK(rightsRow)->Arg(6)->Arg(8)->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace radishvane::benchmarks

int main(int argumentCount, char **arguments)
{
    return radishvane::benchmarks::runWithBounds(argumentCount, arguments);
}
