#include "drivers/site_settings.h"

#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

namespace
{

const std::string sound = "host: h\nzone: z\nlisten: 10.0.0.1:1\nready_listen: 10.0.0.1:2\nlink_listen: 10.0.0.1:3\n"
                          "metrics_listen: 10.0.0.1:4\nstore: 10.0.0.2:1\nhost_service: 10.0.0.2:2\n"
                          "most_hold_ms: 10000\nworker_stop_ms: 400\nkeys_within_ms: 5000\nstop_within_s: 6\n"
                          "keep_ended_s: 120\n";

std::string problemsOf(const std::string &text)
{
    const auto settings = drivers::readSiteSettings(drivers::FileText{"settings", text});
    std::string problems;
    if (!settings) {
        for (const ConfigProblem &problem : settings.error()) {
            problems += describe(problem) + '\n';
        }
    }
    return problems;
}

} // namespace

TEST(SiteSettings, NameEachFieldThatIsMissingOrWrong)
{
    story("settings of an entry host of a site", [] {
        section("sound ones are read", [] { EXPECT_EQ(problemsOf(sound), ""); });
        section("a missing field is named", [] {
            const std::string problems = problemsOf(sound.substr(sound.find("zone")));
            EXPECT_NE(problems.find("host"), std::string::npos) << problems;
        });
        section("a wrong one is named with what was found", [] {
            const std::string problems = problemsOf(sound + "admission: here\nlog_level: loud\n");
            EXPECT_NE(problems.find("admission"), std::string::npos) << problems;
            EXPECT_NE(problems.find("here"), std::string::npos) << problems;
            EXPECT_NE(problems.find("log_level"), std::string::npos) << problems;
        });
        section("the capacity of the host is read, with decimals", [] {
            const auto settings = drivers::readSiteSettings(
                drivers::FileText{"settings", sound + "cores: 0.12\ncore_speed: 2\nlink_mbps: 10.0\n"});
            ASSERT_TRUE(settings);
            EXPECT_DOUBLE_EQ(settings.value().capacity.cores, 0.24);
            EXPECT_DOUBLE_EQ(settings.value().capacity.linkMbps, 10);
        });
        section("the rate of orders that the host service accepts is read", [] {
            const auto settings
                = drivers::readSiteSettings(drivers::FileText{"settings", sound + "host_orders_per_s: 310.0\n"});
            ASSERT_TRUE(settings);
            EXPECT_DOUBLE_EQ(settings.value().hostServiceLimits.ordersPerSecond, 310);
            const std::string problems = problemsOf(sound + "host_orders_per_s: 0\n");
            EXPECT_NE(problems.find("host_orders_per_s"), std::string::npos) << problems;
        });
        section("a capacity that is no number is named with what was found", [] {
            const std::string problems = problemsOf(sound + "cores: none\nlink_mbps: 0\n");
            EXPECT_NE(problems.find("cores"), std::string::npos) << problems;
            EXPECT_NE(problems.find("none"), std::string::npos) << problems;
            EXPECT_NE(problems.find("link_mbps"), std::string::npos) << problems;
        });
        section("one that nobody knows is named", [] {
            const std::string problems = problemsOf(sound + "most_hold: 3\n");
            EXPECT_NE(problems.find("most_hold"), std::string::npos) << problems;
        });
    });
}

} // namespace radishvane::tests
