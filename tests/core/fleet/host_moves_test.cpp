#include "core/fleet/host_moves.h"

#include "core/fleet/maintenance_controller.h"
#include "tests/support/fake_platform.h"
#include "tests/support/story.h"

#include <algorithm>
#include <deque>
#include <random>

namespace radishvane::tests
{

namespace
{

const PoolId quotes("quotes");
const PoolId dye("dye");
const PoolId spare("spare");
constexpr std::uint32_t budget = 3;
constexpr std::uint32_t slotsPerHost = 8;
constexpr int hostsPerPool = 6;

/// Two pools with one service each, and a spare pool. Every host has a backend server of both services.
std::shared_ptr<const Config> movingConfig()
{
    auto config = std::make_shared<Config>();
    config->movesHosts = true;
    config->planning = {10, 10, 1};
    for (const PoolId &id : {quotes, dye, spare}) {
        Pool pool{id, budget, id == spare};
        // Short enough that maintenance and moves compete for the same hosts.
        pool.maintenanceInterval = std::chrono::hours(1);
        config->pools.emplace(id, pool);
    }
    for (const PoolId &id : {quotes, dye}) {
        Service &service = config->services[ServiceId(id.name())];
        service.id = ServiceId(id.name());
        service.pool = id;
        service.longestRun = Duration(5'000);
    }
    for (const PoolId &pool : {quotes, dye, spare}) {
        for (int index = 0; index < hostsPerPool; ++index) {
            const HostId id(pool.name() + '-' + std::to_string(index));
            Host host;
            host.id = id;
            host.zone = ZoneId("a");
            host.rack = RackId("rack-" + std::to_string(index / 2));
            host.pool = pool;
            config->hosts.emplace(id, host);
            for (auto &[name, service] : config->services) {
                service.backends.push_back({BackendId(name.name() + "-on-" + id.name()), id, {}, slotsPerHost, 64});
            }
        }
    }
    return config;
}

/// Runs planners whose calls reach the table one by one, in a random order given by the seed.
class MovingWorld
{
public:
    MovingWorld(int planners, std::uint32_t seed) : m_random(seed)
    {
        for (const auto &[id, host] : config->hosts) {
            listed.insert(id);
        }
        for (int index = 0; index < planners; ++index) {
            addPlanner();
        }
    }

    void addPlanner()
    {
        // Each planner is told that it is the only live one, so that all of them plan every pool concurrently.
        const HostId name("entry-" + std::to_string(m_planners.size()));
        m_planners.emplace_back(name);
        m_planners.back().handle(FleetPeersChanged{{name}}, m_now);
        m_planners.back().handle(FleetConfigChanged{config}, m_now);
    }

    void crashPlanners()
    {
        m_planners.clear();
        m_calls.clear();
    }

    /// @param quotesWork, dyeWork load of the pool, as the number of hosts that it fully uses.
    void run(Duration length, double quotesWork, double dyeWork, PlatformFault fault = PlatformFault::None)
    {
        constexpr Duration step{1'000};
        for (Duration passed{}; passed < length; passed += step) {
            m_now.steady += step;
            m_now.wall += step;
            for (std::size_t index = 0; index < m_planners.size(); ++index) {
                handle(index, FleetHostListRead{listed});
                const auto slotTime = static_cast<double>(step.count() * slotsPerHost);
                handle(index, FleetUsageReported{ServiceId("quotes"), quotesWork * slotTime});
                handle(index, FleetUsageReported{ServiceId("dye"), dyeWork * slotTime});
                handle(index, FleetTick{});
            }
            answerSome(fault);
        }
    }

    std::size_t hostsIn(const PoolId &pool) const
    {
        const auto placed = applyHostMoves(config, rows());
        return static_cast<std::size_t>(std::count_if(placed->hosts.begin(), placed->hosts.end(),
                                                      [&](const auto &entry) { return entry.second.pool == pool; }));
    }

    std::shared_ptr<const Config> config = movingConfig();
    std::set<HostId> listed;
    FakePlatform platform;
    /// Number of violations after writes: a host out in two pools, or out in a pool that it is not in, or a pool over
    /// its budget.
    int violations = 0;

private:
    struct Call
    {
        std::size_t planner = 0;
        PlatformCall call;
    };

    HostRows rows() const
    {
        HostRows hosts;
        for (const auto &[key, stored] : platform.rows()) {
            if (const auto *host = std::get_if<HostRow>(&stored.value)) {
                hosts.emplace(host->host, *host);
            }
        }
        return hosts;
    }

    void handle(std::size_t planner, const FleetEvent &event)
    {
        for (const FleetEffect &effect : m_planners[planner].handle(event, m_now)) {
            if (const auto *call = std::get_if<PlatformCall>(&effect)) {
                m_calls.push_back({planner, *call});
            }
        }
    }

    void answerSome(PlatformFault fault)
    {
        for (auto count = m_random() % 8; count > 0 && !m_calls.empty(); --count) {
            const auto chosen = m_calls.begin() + static_cast<std::ptrdiff_t>(m_random() % m_calls.size());
            const Call call = *chosen;
            m_calls.erase(chosen);
            const PlatformAnswer answer = platform.answer(call.call, fault);
            check();
            handle(call.planner, PlatformAnswered{call.call.id, answer});
        }
    }

    void check()
    {
        const auto placed = applyHostMoves(config, rows());
        std::set<HostId> seen;
        for (const auto &[key, stored] : platform.rows()) {
            const auto *row = std::get_if<PoolRow>(&stored.value);
            if (row == nullptr) {
                continue;
            }
            violations += row->out.size() > budget ? 1 : 0;
            for (const HostOutage &out : row->out) {
                violations += !seen.insert(out.host).second || placed->hosts.at(out.host).pool != row->pool ? 1 : 0;
            }
        }
    }

    std::mt19937 m_random;
    Instant m_now{TimePoint(std::chrono::hours(1)), WallTime(std::chrono::hours(24 * 20'000))};
    std::deque<MaintenanceController> m_planners;
    std::vector<Call> m_calls;
};

} // namespace

TEST(HostMoves, FollowTheLoad)
{
    story("load shifts from one pool to the other", [] {
        MovingWorld world(1, 1);
        section("an overloaded pool gets idle hosts, within the budget of the pool that gives them", [&] {
            world.run(std::chrono::minutes(15), 8, 2);
            EXPECT_GE(world.hostsIn(quotes), 9U);
        });
        section("when its load has dropped, the pool gives the hosts up", [&] {
            world.run(std::chrono::minutes(60), 2, 8);
            EXPECT_GE(world.hostsIn(dye), 9U);
            EXPECT_LE(world.hostsIn(quotes), 6U);
        });
        EXPECT_EQ(world.violations, 0);
    });
}

TEST(HostMoves, KeepEveryHostInOnePoolWithConcurrentPlanners)
{
    for (std::uint32_t seed = 1; seed <= 15; ++seed) {
        section("seed " + std::to_string(seed), [&] {
            MovingWorld world(3, seed);
            world.run(std::chrono::minutes(20), 8, 2);
            section("while answers are lost", [&] {
                world.run(std::chrono::minutes(2), 2, 8, PlatformFault::AnswerLost);
                world.run(std::chrono::minutes(15), 2, 8);
            });
            section("after a crash of every planner", [&] {
                world.crashPlanners();
                world.addPlanner();
                world.addPlanner();
                world.run(std::chrono::minutes(20), 8, 2);
            });
            EXPECT_EQ(world.violations, 0);
            EXPECT_EQ(world.hostsIn(quotes) + world.hostsIn(dye) + world.hostsIn(spare), 3U * hostsPerPool);
        });
    }
}

TEST(HostMoves, RouteServicesOnlyToHostsInTheirPool)
{
    const auto config = movingConfig();
    const HostId moved("spare-0");
    story("before any move, a service has only the backend servers in its own pool", [&] {
        EXPECT_EQ(applyHostMoves(config, {})->services.at(ServiceId("quotes")).backends.size(), hostsPerPool);
    });
    story("a spare host that has moved to the pool quotes adds its backend server to that service", [&] {
        const HostRows rows{{moved, HostRow{moved, quotes, {}, spare}}};
        const auto placed = applyHostMoves(config, rows);
        EXPECT_EQ(placed->hosts.at(moved).pool, quotes);
        EXPECT_EQ(placed->services.at(ServiceId("quotes")).backends.size(), hostsPerPool + 1U);
        EXPECT_EQ(placed->services.at(ServiceId("dye")).backends.size(), hostsPerPool);
        section("the move is ignored once the files declare another pool for the host", [&] {
            Config edited = *config;
            edited.hosts.at(moved).pool = dye;
            EXPECT_EQ(applyHostMoves(std::make_shared<Config>(edited), rows)->hosts.at(moved).pool, dye);
        });
        section("the move is ignored when the files disable moves", [&] {
            Config edited = *config;
            edited.movesHosts = false;
            EXPECT_EQ(applyHostMoves(std::make_shared<Config>(edited), rows)->hosts.at(moved).pool, spare);
        });
    });
}

} // namespace radishvane::tests
