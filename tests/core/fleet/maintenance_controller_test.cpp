#include "core/fleet/maintenance_controller.h"

#include "core/base/overloaded.h"
#include "tests/support/fake_platform.h"
#include "tests/support/story.h"

#include <algorithm>
#include <deque>

namespace radishvane::tests
{

namespace
{

constexpr std::uint32_t budget = 2;
const PoolId pool("dye");

/// Runs planners over one table. One pool has its hosts in three racks of two zones.
class MaintenanceWorld
{
public:
    explicit MaintenanceWorld(int planners)
    {
        auto config = std::make_shared<Config>();
        Pool declared{pool, budget, false};
        declared.maintenanceInterval = std::chrono::hours(35 * 24);
        config->pools[pool] = declared;
        for (int index = 0; index < 12; ++index) {
            const HostId host("host-" + std::to_string(index));
            const int rack = index / 4;
            config->hosts[host] = Host{
                host,        ZoneId(rack == 2 ? "b" : "a"), RackId("rack-" + std::to_string(rack)), pool, 8, 16, 0,
                std::nullopt};
            listed.insert(host);
        }
        m_config = config;
        for (int index = 0; index < planners; ++index) {
            addPlanner("entry-" + std::to_string(index));
        }
    }

    void addPlanner(const std::string &name)
    {
        m_planners.emplace_back(HostId(name));
        // Each planner is told that it is the only live one, so that all of them plan the pool concurrently.
        m_planners.back().handle(FleetPeersChanged{{HostId(name)}}, m_now);
        m_planners.back().handle(FleetConfigChanged{m_config}, m_now);
    }

    void crashPlanners()
    {
        m_planners.clear();
    }

    void run(Duration length, PlatformFault fault = PlatformFault::None)
    {
        constexpr Duration step{1'000};
        for (Duration passed{}; passed < length; passed += step) {
            m_now.steady += step;
            m_now.wall += step;
            for (MaintenanceController &planner : m_planners) {
                if (listKnown) {
                    planner.handle(FleetHostListRead{listed}, m_now);
                }
                perform(planner, planner.handle(FleetTick{}, m_now), fault);
            }
            check();
        }
    }

    /// Simulates a step of the wall clock.
    void stepWallClock(Duration by)
    {
        m_now.wall += by;
    }

    std::size_t maintained() const
    {
        return static_cast<std::size_t>(
            std::count_if(platform.rows().begin(), platform.rows().end(),
                          [](const auto &row) { return std::holds_alternative<HostRow>(row.second.value); }));
    }

    std::size_t out() const
    {
        const auto found = platform.rows().find(rowKey::pool(pool));
        return found == platform.rows().end() ? 0 : std::get<PoolRow>(found->second.value).out.size();
    }

    FakePlatform platform;
    std::set<HostId> listed;
    bool listKnown = true;
    std::size_t maxUnavailable = 0;
    std::size_t maxZones = 0;

private:
    void perform(MaintenanceController &planner, const FleetEffects &effects, PlatformFault fault)
    {
        for (const FleetEffect &effect : effects) {
            if (const auto *call = std::get_if<PlatformCall>(&effect)) {
                perform(planner, planner.handle(PlatformAnswered{call->id, platform.answer(*call, fault)}, m_now),
                        fault);
            }
        }
    }

    void check()
    {
        const auto found = platform.rows().find(rowKey::pool(pool));
        if (found == platform.rows().end()) {
            return;
        }
        std::set<HostId> unavailable;
        std::set<ZoneId> zones;
        for (const HostOutage &out : std::get<PoolRow>(found->second.value).out) {
            unavailable.insert(out.host);
            zones.insert(m_config->hosts.at(out.host).zone);
        }
        for (const auto &[host, settings] : m_config->hosts) {
            if (!listed.contains(host)) {
                unavailable.insert(host);
            }
        }
        maxUnavailable = std::max(maxUnavailable, unavailable.size());
        maxZones = std::max(maxZones, zones.size());
    }

    Instant m_now{TimePoint(std::chrono::hours(1)), WallTime(std::chrono::hours(24 * 20'000))};
    std::shared_ptr<const Config> m_config;
    std::deque<MaintenanceController> m_planners;
};

} // namespace

TEST(Maintenance, MaintainsEveryHostWithinTheBudget)
{
    story("twelve hosts are due and three planners run concurrently", [] {
        MaintenanceWorld world(3);
        world.run(std::chrono::minutes(10));
        section("every host is maintained exactly once", [&] {
            EXPECT_EQ(world.maintained(), 12U);
            EXPECT_EQ(world.platform.reboots().size(), 12U);
        });
        section("the budget is kept and only one zone is drained at a time", [&] {
            EXPECT_EQ(world.maxUnavailable, budget);
            EXPECT_EQ(world.maxZones, 1U);
        });
        section("no host is drained again before the next interval", [&] {
            world.run(std::chrono::minutes(10));
            EXPECT_EQ(world.platform.reboots().size(), 12U);
        });
    });
}

TEST(Maintenance, CountsFailedHostsAgainstTheBudget)
{
    story("one of twelve hosts has failed under a budget of two: the others are maintained one at a time", [] {
        MaintenanceWorld world(1);
        world.listed.erase(HostId("host-11"));
        world.run(std::chrono::minutes(20));
        EXPECT_EQ(world.maxUnavailable, budget);
        EXPECT_EQ(world.maintained(), 11U);
    });
    story("two hosts have failed: the budget is used up", [] {
        MaintenanceWorld world(1);
        world.listed.erase(HostId("host-11"));
        world.listed.erase(HostId("host-3"));
        world.run(std::chrono::minutes(5));
        section("no host is drained", [&] { EXPECT_EQ(world.maintained() + world.out(), 0U); });
    });
}

TEST(Maintenance, ResumesAfterCrashWithoutDrainingHostsTwice)
{
    story("the planner crashes during a wave", [] {
        MaintenanceWorld world(1);
        world.run(std::chrono::seconds(25));
        ASSERT_GT(world.out(), 0U);
        world.crashPlanners();
        world.run(std::chrono::minutes(5));
        section("another planner finishes the wave", [&] {
            world.addPlanner("entry-9");
            world.run(std::chrono::minutes(10));
            EXPECT_EQ(world.maintained(), 12U);
            EXPECT_EQ(world.platform.reboots().size(), 12U);
            EXPECT_EQ(world.maxUnavailable, budget);
        });
    });
    story("the platform's answers are lost for two minutes: every host is still maintained within the budget", [] {
        MaintenanceWorld world(2);
        world.run(std::chrono::minutes(2), PlatformFault::AnswerLost);
        world.run(std::chrono::minutes(10));
        EXPECT_EQ(world.maintained(), 12U);
        EXPECT_EQ(world.maxUnavailable, budget);
    });
}

TEST(Maintenance, KeepsDrainDurationAcrossWallClockSteps)
{
    for (const int hours : {-5, 5}) {
        story("the wall clock is set by " + std::to_string(hours) + " hours during a drain", [&] {
            MaintenanceWorld world(1);
            world.run(std::chrono::seconds(3), PlatformFault::None);
            ASSERT_GT(world.out(), 0U);
            world.stepWallClock(std::chrono::hours(hours));
            world.run(MaintenanceController::drainPropagationTime - Duration(1'000));
            EXPECT_TRUE(world.platform.reboots().empty()) << "requests may still run";
            world.run(std::chrono::seconds(30));
            EXPECT_FALSE(world.platform.reboots().empty());
        });
    }
}

TEST(Maintenance, StartsNoDrainWithStaleHostList)
{
    story("the host list of the entry host is older than maxHostListAge: no drain starts", [] {
        MaintenanceWorld world(1);
        world.run(std::chrono::seconds(20), PlatformFault::Down);
        world.listKnown = false;
        world.run(std::chrono::minutes(2), PlatformFault::Down);
        world.run(std::chrono::minutes(2));
        EXPECT_EQ(world.out() + world.maintained(), 0U);
        section("drains start again once a host list is read", [&] {
            world.listKnown = true;
            world.run(std::chrono::minutes(10));
            EXPECT_EQ(world.maintained(), 12U);
        });
    });
    story("a host never returns from its reboot", [] {
        MaintenanceWorld world(1);
        world.platform.neverBack.insert(HostId("host-0"));
        world.run(std::chrono::minutes(30));
        section("it stays counted in the budget, and the other hosts are maintained one at a time", [&] {
            EXPECT_EQ(world.maintained(), 7U) << "the hosts of its zone";
            EXPECT_EQ(world.out(), 1U);
            EXPECT_EQ(world.maxUnavailable, budget);
        });
    });
}

} // namespace radishvane::tests
