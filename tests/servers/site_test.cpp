#include "tests/support/site.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <thread>

namespace radishvane::tests
{

namespace
{

using nlohmann::json;

constexpr int entryCount = Site::defaultHosts;

json steps(int count)
{
    return json{{{"count", count}, {"cpu", 1'000}, {"memMb", 100}, {"estimateMs", 300}},
                {{"count", count}, {"cpu", 1'000}, {"memMb", 100}, {"estimateMs", 300}, {"after", {0}}}};
}

} // namespace

TEST(ProcessSite, ServesAJobFromEndToEnd)
{
    story("three entry hosts on the platform in small", [] {
        Site site(24'000, {"--workers", "3"});
        section("a job handed to any host is accepted and completed", [&] {
            for (int index = 0; index < entryCount; ++index) {
                const std::string job = "000000000000000" + std::to_string(index);
                const std::string body = json{{"spec", "ms=200"}, {"steps", steps(6)}}.dump();
                ASSERT_TRUE(site.waitFor([&] {
                    return site.ask(site.port(index, 0), drivers::HttpMethod::Post, "/plans/" + job, body, "key-1")
                        == 200;
                }));
                EXPECT_TRUE(site.ends(job, "completed"));
            }
        });
        section("bad calls are refused with the reason", [&] {
            const int port = site.port(0, 0);
            using drivers::HttpMethod;
            EXPECT_EQ(site.ask(port, HttpMethod::Get, "/plans/0000000000000000", {}, "key-2"), 401);
            EXPECT_EQ(site.ask(port, HttpMethod::Get, "/other/0000000000000000", {}, "key-1"), 404);
            EXPECT_EQ(site.ask(port, HttpMethod::Get, "/plans/00000000000000ff", {}, "key-1"), 410);
            EXPECT_EQ(site.ask(port, HttpMethod::Post, "/plans/00000000000000ff",
                               R"({"spec":"x","steps":[{"count":"many"}]})", "key-1"),
                      400);
            EXPECT_NE(site.body().find("steps[0].count"), std::string::npos) << site.body();
        });
        section("the metrics tell of calls by outcome, of writes and of the configuration's version", [&] {
            std::string pages;
            for (int index = 0; index < entryCount; ++index) {
                EXPECT_EQ(site.ask(site.port(index, 3), drivers::HttpMethod::Get, "/metrics", {}, {}), 200);
                pages += site.body();
            }
            for (const char *line : {"radishvane_calls_total{outcome=\"accepted\"} 1", "radishvane_config_version 3",
                                     "radishvane_store_write_milliseconds_count", "radishvane_owns_cell 1"}) {
                EXPECT_NE(pages.find(line), std::string::npos) << line << " in\n" << pages;
            }
        });
        section("the owner's metrics tell of its load by kind of peer and by task", [&] {
            const int owner = site.owner();
            for (const char *line :
                 {"radishvane_peer_call_ends_total{peer=\"worker\",outcome=\"answered\"}",
                  "radishvane_peer_bytes_written_total{peer=\"store\"}",
                  "radishvane_peer_calls_total{peer=\"host-service\"}",
                  "radishvane_peer_wait_milliseconds_count{peer=\"worker\"}",
                  "radishvane_peer_answer_milliseconds_count{peer=\"worker\"}",
                  "radishvane_peer_calls_waiting{peer=\"worker\"}", "radishvane_cell_lease_age_milliseconds_count",
                  "radishvane_cell_rebuild_milliseconds_count 1",
                  "radishvane_tick_delay_milliseconds_count{task=\"cell\"}",
                  "radishvane_handling_milliseconds_count{task=\"store\"}"}) {
                EXPECT_TRUE(site.waitFor([&] {
                    site.ask(site.port(owner, 3), drivers::HttpMethod::Get, "/metrics", {}, {});
                    return site.body().find(line) != std::string::npos;
                })) << line;
            }
        });
        section("other hosts count their calls to the owner", [&] {
            const int other = (site.owner() + 1) % entryCount;
            EXPECT_TRUE(site.waitFor([&] {
                site.ask(site.port(other, 3), drivers::HttpMethod::Get, "/metrics", {}, {});
                return site.body().find("radishvane_peer_calls_total{peer=\"entry-host\"}") != std::string::npos;
            }));
        });
        section("the owner's log tells of its load as well", [&] {
            const int owner = site.owner();
            json load;
            EXPECT_TRUE(site.waitFor([&] {
                load = site.lastLine(owner, "load");
                return load.contains("lease_age_ms") && load.contains("lease_renewals") && load.contains("store_calls")
                    && load.contains("store_bytes");
            }));
            EXPECT_GE(std::stoll(load.value("interval_ms", "0")), 2'000);
        });
        section("the queue's count of waiting jobs is 0", [&] {
            EXPECT_EQ(site.ask(site.port(1, 0), drivers::HttpMethod::Get, "/plans/", {}, "key-1"), 200);
            EXPECT_EQ(json::parse(site.body()).at("pending"), 0);
        });
    });
}

TEST(ProcessSite, GoesOnWhenTheOwnerIsKilledOrStopped)
{
    story("a job runs while its owner goes", [] {
        Site site(24'100, {"--workers", "3"});
        site.submit("00000000000000a1", steps(4), "ms=2500");
        section("an owner that is killed is replaced, and the job ends", [&] {
            const int owner = site.owner();
            site.entry(owner).kill();
            EXPECT_TRUE(site.ends("00000000000000a1", "completed"));
            site.start(owner);
            site.waitReady(owner);
        });
        section("an owner that is asked to stop hands over and exits well", [&] {
            site.submit("00000000000000a2", steps(4), "ms=1500");
            const int owner = site.owner();
            site.entry(owner).signal(SIGTERM);
            EXPECT_EQ(site.entry(owner).wait(), 0);
            EXPECT_TRUE(site.ends("00000000000000a2", "completed"));
        });
    });
}

TEST(ProcessSite, HandsTheCellToAFitterHost)
{
    story("a host with little capacity is the only one that runs", [] {
        Site site(24'500, {"--workers", "3"});
        for (int index = 0; index < entryCount; ++index) {
            site.entry(index).kill();
        }
        site.start(0, "cores: 0.05\n");
        site.waitReady(0);
        ASSERT_TRUE(site.waitFor([&] { return site.owner() == 0; }));
        site.submit("00000000000000c1", steps(4), "ms=2500");
        section("a fit host that starts gets the cell, and the job ends", [&] {
            site.start(1);
            site.waitReady(1);
            EXPECT_TRUE(site.waitFor([&] { return site.owner() == 1; }));
            EXPECT_TRUE(site.ends("00000000000000c1", "completed"));
        });
        section("the former owner goes on as a process and passes calls to the fit host", [&] {
            EXPECT_TRUE(site.entry(0).running());
            EXPECT_EQ(site.ask(site.port(0, 0), drivers::HttpMethod::Get, "/plans/00000000000000c1", {}, "key-1"), 200);
        });
    });
}

TEST(ProcessSite, BearsLostAnswersAndAnOutageOfTheStore)
{
    story("the store's answers are lost, and then it is down", [] {
        Site site(24'200, {"--workers", "3"});
        site.submit("00000000000000b1", steps(4), "ms=500");
        section("a lost answer is found out about", [&] {
            site.control("lose-next-answer");
            EXPECT_TRUE(site.ends("00000000000000b1", "completed"));
        });
        section("a job that runs outlasts a short outage", [&] {
            site.submit("00000000000000b2", steps(4), "ms=2500");
            site.control("down");
            std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
            site.control("serve");
            EXPECT_TRUE(site.ends("00000000000000b2", "completed"));
        });
    });
}

TEST(ProcessSite, MaintainsEveryHostOfAWave)
{
    story("all hosts are due, one at a time", [] {
        Site site(24'300, {"--workers", "3", "--wave"});
        site.submit("00000000000000c1", steps(6), "ms=400");
        EXPECT_TRUE(site.ends("00000000000000c1", "completed"));
        section("the operator reads that the wave is completed", [&] {
            site.waitFor([&] {
                site.ask(site.storePort(), drivers::HttpMethod::Get, "/-/rows-get?table=status&part=", {}, {});
                // The value is base64 of {"state":"completed","wave":1}.
                return site.body().find("eyJzdGF0ZSI6ImNvbXBsZXRlZCIsIndhdmUiOjF9") != std::string::npos;
            });
        });
    });
}

TEST(ProcessSite, SwitchesHostsOffAndOnWithTheWork)
{
    story("three hosts in a pool, and a pool in standby", [] {
        Site site(24'400, {"--workers", "3", "--standby"});
        const auto hostsIn = [&site](const std::string &pool) {
            site.ask(site.storePort() + 1, drivers::HttpMethod::Get, "/-/machines", {}, {});
            int count = 0;
            const json page = json::parse(site.body());
            for (const json &machine : page.at("machines")) {
                count += machine.at("pool") == pool ? 1 : 0;
            }
            return count;
        };
        section("without work all are switched off",
                [&] { EXPECT_TRUE(site.waitFor([&] { return hostsIn("spare") == 3; })); });
        section("a job that fills two of them brings them back and ends", [&] {
            site.submit("00000000000000d1", steps(14), "ms=2500");
            EXPECT_TRUE(site.waitFor([&] { return hostsIn("looms") >= 2; }));
            EXPECT_TRUE(site.ends("00000000000000d1", "completed"));
        });
        section("the metrics count the moves by their outcome, without the numbers that decided them", [&] {
            site.ask(site.port(site.owner(), 3), drivers::HttpMethod::Get, "/metrics", {}, {});
            EXPECT_NE(site.body().find("decision=\"host-moved\",reason=\"ordered\""), std::string::npos);
            EXPECT_EQ(site.body().find("needed"), std::string::npos) << site.body();
        });
        section("and afterwards they are switched off again",
                [&] { EXPECT_TRUE(site.waitFor([&] { return hostsIn("spare") == 3; })); });
    });
}

} // namespace radishvane::tests
