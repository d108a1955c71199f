#include "tests/support/fleet.h"
#include "tests/support/story.h"

#include <csignal>

namespace radishvane::tests
{

namespace
{

constexpr int ceiling = 6;
constexpr std::size_t cutOff = 2;
/// A request that waits for a free right rather than being refused.
const drivers::HttpHeaders patient{{"X-Radishvane-Timeout-Ms", "10000"}};

FleetPlan linkedPlan(std::uint16_t firstPort)
{
    FleetPlan plan;
    plan.firstPort = firstPort;
    plan.ceiling = ceiling;
    plan.links = true;
    return plan;
}

/// How one entry host sees the one of zone c.
bool seesZoneC(const Fleet &fleet, std::size_t entry)
{
    for (const auto &host : fleet.status(entry).value("entry_hosts", nlohmann::json::array())) {
        if (host.value("zone", "") == "c") {
            return host.value("live", false);
        }
    }
    return false;
}

} // namespace

TEST(ProcessZoneCut, GoesOnServingUnderTheCeilingAndHeals)
{
    story("a team that wants twice its ceiling in three zones", [] {
        Fleet fleet(linkedPlan(21'800));
        ASSERT_EQ(fleet.apply(), 0);
        ASSERT_TRUE(Fleet::eventually([&] { return seesZoneC(fleet, 0); }));
        fleet.control(fleet.platformPort(0), {{"host", "entry-c"}, {"state", "live"}}, "/control/hosts");
        Load load(fleet.entries(), {"quotes:office:office-key:60:200"}, Duration(58'000), Duration(2'000));
        std::this_thread::sleep_for(std::chrono::seconds(5));
        section("zones that have lost each other, but not the platform, all serve", [&] {
            fleet.cut({"c"}, false);
            EXPECT_TRUE(Fleet::eventually([&] { return !seesZoneC(fleet, 0); }));
            for (std::size_t entry = 0; entry < 3; ++entry) {
                EXPECT_EQ(fleet.request(entry, patient).status, 200);
            }
        });
        section("a zone that has lost the platform too serves by its standing rights", [&] {
            fleet.cut({"c"}, true);
            // Long enough for its session to be ended by the others.
            std::this_thread::sleep_for(std::chrono::seconds(20));
            EXPECT_EQ(fleet.request(cutOff, patient).status, 200);
            section("while the other zones take over a new version and refuse a withdrawn key", [&] {
                fleet.writeConfig([](std::string &teams) {
                    const std::string line = "  - {secret: office-spare-key, team: office}\n";
                    teams.erase(teams.find(line), line.size());
                });
                EXPECT_NE(fleet.apply({"--wait", "3"}), 0) << "apply says that one zone has not confirmed";
                EXPECT_EQ(fleet.request(0, patient, "office-spare-key").status, 401);
                EXPECT_EQ(fleet.request(1, patient, "office-spare-key").status, 401);
                EXPECT_EQ(fleet.request(cutOff, patient, "office-spare-key").status, 200)
                    << "the files let keys be served for a time while cut off";
            });
        });
        section("healed, it takes over the version", [&] {
            fleet.cut({}, true);
            EXPECT_TRUE(
                Fleet::eventually([&] { return fleet.request(cutOff, patient, "office-spare-key").status == 401; }));
            EXPECT_TRUE(Fleet::eventually([&] { return seesZoneC(fleet, 0); }));
        });
        const auto tally = load.finish();
        EXPECT_EQ(tally.wrong, 0U);
        section("the ceiling held at the backend servers", [&] { EXPECT_LE(fleet.mostRunning("office"), ceiling); });
        section("no request ran twice", [&] { EXPECT_TRUE(fleet.startedMoreThanOnce().empty()); });
    });
}

TEST(ProcessCeiling, HoldsWhileEveryEntryHostIsReplaced)
{
    story("a team that wants twice its ceiling", [] {
        Fleet fleet(linkedPlan(22'000));
        ASSERT_EQ(fleet.apply(), 0);
        Load load(fleet.entries(), {"quotes:office:office-key:60:200"}, Duration(20'000), Duration(2'000));
        fleet.replaceEveryEntry();
        const auto tally = load.finish();
        EXPECT_EQ(tally.noAnswer, 0U);
        EXPECT_GT(tally.served, 200U);
        EXPECT_LE(fleet.mostRunning("office"), ceiling);
        EXPECT_TRUE(fleet.startedMoreThanOnce().empty());
    });
}

} // namespace radishvane::tests
