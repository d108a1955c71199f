#include "core/config/config_diff.h"

#include "tests/support/example_config.h"
#include "tests/support/story.h"

namespace radishvane::tests
{

TEST(ConfigDiff, ListsEachChangeWithoutSecrets)
{
    const auto before = ExampleConfig{}.make();
    section("equal configurations have no changes",
            [&] { EXPECT_TRUE(diffConfigs(*before, *ExampleConfig{}.make()).empty()); });
    section("a changed ceiling is listed with its old and new value", [&] {
        Config after = *before;
        after.teams.at(TeamId("office")).ceiling = 9;
        const auto changes = diffConfigs(*before, after);
        ASSERT_EQ(changes.size(), 1U);
        EXPECT_EQ(changes[0].detail, "ceiling 4 -> 9");
    });
    section("a changed pool of a host is listed with both pools", [&] {
        Config after = *before;
        after.hosts.at(HostId("host-0")).pool = PoolId("other");
        EXPECT_EQ(diffConfigs(*before, after).front().detail, "pool pool -> other");
    });
    section("a withdrawn key is listed with its team and without its secret", [&] {
        const auto changes = diffConfigs(*before, *ExampleConfig{.officeKey = false}.make());
        for (const ConfigChange &change : changes) {
            EXPECT_EQ(change.name.find("office-key"), std::string::npos);
        }
        EXPECT_EQ(changes.back().objectKind, "key");
        EXPECT_EQ(changes.back().name, "of team office");
    });
}

} // namespace radishvane::tests
