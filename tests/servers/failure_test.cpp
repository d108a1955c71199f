#include "tests/support/fleet.h"
#include "tests/support/story.h"

#include <csignal>

namespace radishvane::tests
{

namespace
{

constexpr int ceiling = 6;

FleetPlan planAt(std::uint16_t firstPort)
{
    FleetPlan plan;
    plan.firstPort = firstPort;
    plan.ceiling = ceiling;
    return plan;
}

/// More than the ceiling allows, so that every right is wanted all the time.
const std::vector<std::string> tooMuch{"quotes:office:office-key:60:200"};

} // namespace

TEST(ProcessCeiling, HoldsThroughKillsPausesAndCuts)
{
    story("a team that wants twice its ceiling on three entry hosts", [] {
        Fleet fleet(planAt(20'600));
        ASSERT_EQ(fleet.apply(), 0);
        Load load(fleet.entries(), tooMuch, Duration(45'000), Duration(2'000));
        std::this_thread::sleep_for(std::chrono::seconds(5));
        section("one host is killed and comes back", [&] {
            fleet.entry(0).kill();
            fleet.startEntry(0);
        });
        section("one is paused for longer than its lease", [&] {
            std::this_thread::sleep_for(std::chrono::seconds(3));
            fleet.entry(1).signal(SIGSTOP);
            std::this_thread::sleep_for(std::chrono::seconds(14));
            fleet.entry(1).signal(SIGCONT);
        });
        section("one is cut off from the platform and goes on serving under its standing rights", [&] {
            fleet.control(fleet.platformPort(2), {{"mode", "cut"}});
            std::this_thread::sleep_for(std::chrono::seconds(12));
            EXPECT_EQ(fleet.request(2, {{"X-Radishvane-Timeout-Ms", "10000"}}).status, 200);
            fleet.control(fleet.platformPort(2), {{"mode", "ok"}});
        });
        const auto tally = load.finish();
        EXPECT_EQ(tally.wrong, 0U);
        EXPECT_GT(tally.served, 300U);
        section("the ceiling held at the backend servers", [&] { EXPECT_LE(fleet.mostRunning("office"), ceiling); });
        section("no request ran twice", [&] { EXPECT_TRUE(fleet.startedMoreThanOnce().empty()); });
    });
}

TEST(ProcessAtMostOnce, WhateverBackendServersDo)
{
    for (const std::string mode :
         {"close-before-work", "close-after-work", "truncate", "answer-twice", "not-run", "fail", "hang"}) {
        section("all backend servers: " + mode, [&] {
            Fleet fleet(planAt(20'800));
            ASSERT_EQ(fleet.apply(), 0);
            for (std::size_t backend = 0; backend < 3; ++backend) {
                fleet.control(fleet.backendPort(backend), {{"mode", mode}});
            }
            Load load(fleet.entries(), {"quotes:workshop:workshop-key:100:10"}, Duration(2'000), Duration(1'500));
            const auto tally = load.finish();
            EXPECT_EQ(tally.wrong, mode == "fail" ? tally.wrong : 0U);
            EXPECT_EQ(tally.noAnswer, 0U) << "each caller is told how its request ended";
            EXPECT_TRUE(fleet.startedMoreThanOnce().empty());
            if (mode == "not-run") {
                EXPECT_EQ(tally.served + tally.unknown, 0U);
            }
        });
    }
}

TEST(ProcessStop, AnswersARequestThatIsStillOpenAtItsEnd)
{
    story("an entry host is stopped, and its backend servers do not answer", [] {
        FleetPlan plan = planAt(25'400);
        plan.longestRunMilliseconds = 15'000;
        plan.stopWaitMilliseconds = 1'000;
        Fleet fleet(plan);
        ASSERT_EQ(fleet.apply(), 0);
        for (std::size_t backend = 0; backend < 3; ++backend) {
            fleet.control(fleet.backendPort(backend), {{"mode", "hang"}});
        }
        drivers::HttpAnswer answer;
        std::jthread caller([&] { answer = fleet.request(0); });
        ASSERT_TRUE(
            Fleet::eventually([&] { return fleet.startedAt(0) + fleet.startedAt(1) + fleet.startedAt(2) > 0; }));
        fleet.entry(0).signal(SIGTERM);
        EXPECT_EQ(fleet.entry(0).wait(), 0);
        caller.join();
        section("the caller is told that the outcome is unknown", [&] {
            EXPECT_EQ(answer.status, drivers::httpStatus::badGateway);
            EXPECT_EQ(drivers::headerValue(answer.headers, "X-Radishvane-Outcome"), "unknown");
        });
    });
}

TEST(ProcessStop, DoesNotFollowAHangup)
{
    story("an entry host gets SIGHUP while a request runs", [] {
        Fleet fleet(planAt(26'000));
        ASSERT_EQ(fleet.apply(), 0);
        ASSERT_EQ(fleet.request(0).status, 200);
        for (std::size_t backend = 0; backend < 3; ++backend) {
            fleet.control(fleet.backendPort(backend), {{"mode", "hang"}});
        }
        drivers::HttpAnswer answer;
        const auto before = fleet.startedAt(0) + fleet.startedAt(1) + fleet.startedAt(2);
        std::jthread caller([&] { answer = fleet.request(0); });
        ASSERT_TRUE(
            Fleet::eventually([&] { return fleet.startedAt(0) + fleet.startedAt(1) + fleet.startedAt(2) > before; }));
        fleet.entry(0).signal(SIGHUP);
        caller.join();
        section("the request is answered at its deadline",
                [&] { EXPECT_EQ(answer.status, drivers::httpStatus::gatewayTimeout); });
        section("and the host serves on", [&] {
            for (std::size_t backend = 0; backend < 3; ++backend) {
                fleet.control(fleet.backendPort(backend), {{"mode", "ok"}});
            }
            EXPECT_TRUE(Fleet::eventually([&] { return fleet.request(0).status == 200; }));
        });
    });
}

TEST(ProcessClaims, RunARepeatedRequestOnce)
{
    story("the same request at each of three entry hosts", [] {
        Fleet fleet(planAt(21'000));
        ASSERT_EQ(fleet.apply(), 0);
        int served = 0;
        for (std::size_t entry = 0; entry < 3; ++entry) {
            const auto answer = fleet.request(entry, {{"Idempotency-Key", "order-7"}});
            served += answer.status == 200 ? 1 : 0;
            EXPECT_TRUE(answer.status == 200 || answer.status == 409) << answer.status;
        }
        EXPECT_EQ(served, 1);
        section("while the platform is down nothing runs, and the caller is told so", [&] {
            for (std::size_t zone = 0; zone < 3; ++zone) {
                fleet.control(fleet.platformPort(zone), {{"mode", "down"}});
            }
            const auto answer = fleet.request(0, {{"Idempotency-Key", "order-8"}});
            EXPECT_EQ(answer.status, 503);
            EXPECT_EQ(drivers::headerValue(answer.headers, "X-Radishvane-Outcome"), "not-run");
        });
        section("when the answer to a claim is lost, the request still runs at most once", [&] {
            for (std::size_t zone = 0; zone < 3; ++zone) {
                fleet.control(fleet.platformPort(zone), {{"mode", "lose-answers"}});
            }
            for (std::size_t entry = 0; entry < 3; ++entry) {
                fleet.request(entry, {{"Idempotency-Key", "order-9"}});
            }
            EXPECT_TRUE(fleet.startedMoreThanOnce().empty());
        });
    });
}

TEST(ProcessLeaving, GivesALeavingBackendServerNoNewWork)
{
    story("one of three backend servers leaves by the host list", [] {
        Fleet fleet(planAt(21'200));
        ASSERT_EQ(fleet.apply(), 0);
        Load load(fleet.entries(), {"quotes:workshop:workshop-key:60:20"}, Duration(9'000), Duration(2'000));
        ASSERT_TRUE(Fleet::eventually([&] { return fleet.startedAt(0) > 20; }));
        fleet.control(fleet.platformPort(0), {{"host", "host-0"}, {"state", "leaving"}}, "/control/hosts");
        std::this_thread::sleep_for(std::chrono::seconds(3));
        const auto after = fleet.startedAt(0);
        const auto tally = load.finish();
        EXPECT_EQ(tally.served, tally.sent);
        EXPECT_EQ(fleet.startedAt(0), after);
    });
}

TEST(ProcessJobs, EndThroughTheLossOfTheirOwners)
{
    story("twelve jobs at three entry hosts, of which one stops and one is killed", [] {
        FleetPlan plan = planAt(21'400);
        plan.ceiling = 20;
        Fleet fleet(plan);
        ASSERT_EQ(fleet.apply(), 0);
        constexpr int count = 12;
        for (int job = 0; job < count; ++job) {
            drivers::HttpCall call;
            call.endpoint = fleet.entryPort(static_cast<std::size_t>(job) % 3);
            call.method = drivers::HttpMethod::Post;
            call.target = "/v1/jobs";
            call.headers = {{"Authorization", "Bearer office-key"}, {"Idempotency-Key", "job-" + std::to_string(job)}};
            const bool idempotent = job % 2 == 0;
            call.body = nlohmann::json{{"kind", "dye-6000"}, {"idempotent", idempotent}}.dump();
            const auto outcome = fleet.call(call);
            ASSERT_TRUE(std::holds_alternative<drivers::HttpAnswer>(outcome));
            ASSERT_EQ(std::get<drivers::HttpAnswer>(outcome).status, 202);
        }
        std::this_thread::sleep_for(std::chrono::seconds(2));
        fleet.entry(0).signal(SIGTERM);
        EXPECT_EQ(fleet.entry(0).wait(), 0);
        fleet.entry(1).kill();
        const auto ended = [&] {
            int found = 0;
            const auto rows = fleet.json(fleet.platformPort(0), "/table/rows?prefix=job/");
            for (const auto &row : rows.at("rows")) {
                const auto job = nlohmann::json::parse(row.at("value").get<std::string>());
                const auto state = job.at("state").get<std::string>();
                const bool failedPlainly = state == "failed" && job.at("reason") != "none";
                found += state == "done" || failedPlainly ? 1 : 0;
            }
            return found;
        };
        EXPECT_TRUE(Fleet::eventually([&] { return ended() == count; }, Duration(120'000))) << ended();
        section("no job that is not idempotent was started twice", [&] {
            for (const auto &[name, starts] : fleet.startedMoreThanOnce()) {
                const int job = std::stoi(name.substr(name.rfind('-') + 1));
                EXPECT_EQ(job % 2, 0) << name << " was started " << starts << " times";
            }
        });
    });
}

} // namespace radishvane::tests
