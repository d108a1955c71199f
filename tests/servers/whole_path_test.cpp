#include "tests/support/fleet.h"
#include "tests/support/story.h"

#include <csignal>

namespace radishvane::tests
{

namespace
{

std::string outcomeOf(const drivers::HttpAnswer &answer)
{
    return drivers::headerValue(answer.headers, "X-Radishvane-Outcome");
}

std::string errorOf(const drivers::HttpAnswer &answer)
{
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    return json.is_object() ? json.value("error", "") : "";
}

} // namespace

TEST(ProcessWholePath, ServesRequestsAndJobsAndRefusesBadInput)
{
    story("three entry hosts in three zones", [] {
        Fleet fleet({20'000});
        section("are not ready before a configuration is in force", [&] {
            EXPECT_EQ(fleet.get(fleet.operatorPort(0), "/readyz").status, 503);
            EXPECT_EQ(fleet.request(0).status, 0) << "callers are not let in";
        });
        ASSERT_EQ(fleet.apply(), 0);
        EXPECT_EQ(fleet.get(fleet.operatorPort(1), "/readyz").status, 200);
        section("serve a request from one end to the other", [&] {
            const auto answer = fleet.request(1);
            EXPECT_EQ(answer.status, 200);
            EXPECT_EQ(outcomeOf(answer), "answered");
            EXPECT_EQ(nlohmann::json::parse(answer.body).at("body"), "hello");
        });
        section("do not pass the key on",
                [&] { EXPECT_EQ(fleet.request(1).body.find("office-key"), std::string::npos); });
        section("refuse an unknown key, and say that nothing ran", [&] {
            const auto answer = fleet.request(0, {}, "guess");
            EXPECT_EQ(answer.status, 401);
            EXPECT_EQ(outcomeOf(answer), "not-run");
        });
        section("refuse a header that cannot be read, and name its value", [&] {
            const auto answer = fleet.request(0, {{"X-Radishvane-Timeout-Ms", "soon"}});
            EXPECT_EQ(answer.status, 400);
            EXPECT_NE(answer.body.find("'soon'"), std::string::npos);
        });
        section("refuse a body that is too large", [&] {
            drivers::HttpCall call;
            call.endpoint = fleet.entryPort(0);
            call.method = drivers::HttpMethod::Post;
            call.target = "/v1/services/quotes/work";
            call.body = std::string(2 << 20, 'x');
            const auto outcome = fleet.call(call);
            ASSERT_TRUE(std::holds_alternative<drivers::HttpAnswer>(outcome));
            EXPECT_EQ(errorOf(std::get<drivers::HttpAnswer>(outcome)), "too-large");
        });
        section("run a job to its end", [&] {
            drivers::HttpCall call;
            call.endpoint = fleet.entryPort(2);
            call.method = drivers::HttpMethod::Post;
            call.target = "/v1/jobs";
            call.headers = {{"Authorization", "Bearer office-key"}, {"Idempotency-Key", "night-1"}};
            call.body = R"({"kind": "dye-300", "cores": 2})";
            const auto outcome = fleet.call(call);
            ASSERT_TRUE(std::holds_alternative<drivers::HttpAnswer>(outcome));
            EXPECT_EQ(std::get<drivers::HttpAnswer>(outcome).status, 202);
            const auto done = [&] {
                drivers::HttpCall ask;
                ask.endpoint = fleet.entryPort(0);
                ask.target = "/v1/jobs/office.night-1";
                ask.headers = {{"Authorization", "Bearer office-key"}};
                const auto found = fleet.call(ask);
                return std::get<drivers::HttpAnswer>(found).body.find("\"done\"") != std::string::npos;
            };
            EXPECT_TRUE(Fleet::eventually(done));
            section("and its repeated submission runs nothing more", [&] {
                fleet.call(call);
                EXPECT_TRUE(fleet.startedMoreThanOnce().empty());
            });
        });
    });
}

TEST(ProcessConfiguration, IsInForceEverywhereAndNeverReverts)
{
    story("three entry hosts under version 1", [] {
        Fleet fleet({20'200});
        ASSERT_EQ(fleet.apply(), 0);
        const auto withoutOffice = [](std::string &teams) {
            const std::string line = "  - {secret: office-key, team: office}\n";
            teams.erase(teams.find(line), line.size());
        };
        section("a bad set changes nothing", [&] {
            fleet.writeConfig([](std::string &teams) { teams += "colour: red\n"; });
            EXPECT_EQ(fleet.apply(), 2);
            EXPECT_EQ(fleet.status(0).value("version", 0), 1);
        });
        section("a withdrawn key is refused everywhere while the platform is slow", [&] {
            for (std::size_t zone = 0; zone < 3; ++zone) {
                fleet.control(fleet.platformPort(zone), {{"mode", "slow"}, {"delay_ms", 500}});
            }
            fleet.writeConfig(withoutOffice);
            EXPECT_EQ(fleet.apply(), 0) << "apply waits for the confirmation of each zone";
            for (std::size_t entry = 0; entry < 3; ++entry) {
                EXPECT_EQ(fleet.request(entry).status, 401);
                EXPECT_EQ(fleet.request(entry, {}, "office-spare-key").status, 200);
            }
        });
        section("an entry host that starts while the platform is down gets the version from its peers", [&] {
            for (std::size_t zone = 0; zone < 3; ++zone) {
                fleet.control(fleet.platformPort(zone), {{"mode", "down"}});
            }
            fleet.entry(2).kill();
            fleet.startEntry(2);
            EXPECT_TRUE(Fleet::eventually([&] { return fleet.status(2).value("version", 0) == 2; }));
            EXPECT_TRUE(Fleet::eventually([&] { return fleet.get(fleet.operatorPort(2), "/readyz").status == 200; }));
            EXPECT_EQ(fleet.request(2).status, 401);
        });
        section("a lost answer of the platform is found out", [&] {
            for (std::size_t zone = 0; zone < 3; ++zone) {
                fleet.control(fleet.platformPort(zone), {{"mode", "lose-answers"}});
            }
            fleet.writeConfig();
            // The object's answer is lost too, so the first apply may end as unavailable, but never half done.
            const int code = fleet.apply();
            EXPECT_TRUE(code == 0 || code == 4) << code;
        });
        section("of two operators that race from one version, one wins and the other is told", [&] {
            for (std::size_t zone = 0; zone < 3; ++zone) {
                fleet.control(fleet.platformPort(zone), {{"mode", "ok"}});
            }
            ASSERT_EQ(fleet.apply(), 0);
            const auto version = std::to_string(fleet.status(0).value("version", 0));
            const auto one = fleet.startApply({"--expect", version});
            const auto other = fleet.startApply({"--expect", version});
            const int first = one->wait();
            const int second = other->wait();
            EXPECT_EQ(std::min(first, second), 0);
            EXPECT_EQ(std::max(first, second), 3);
        });
    });
}

TEST(ProcessRestart, OfEveryEntryHostUnderLoadCutsNoRequest)
{
    story("three entry hosts behind a balancer", [] {
        Fleet fleet({20'400});
        ASSERT_EQ(fleet.apply(), 0);
        Load load(fleet.entries(), {"quotes:workshop:workshop-key:60:50"}, Duration(14'000), Duration(5'000));
        fleet.replaceEveryEntry();
        const auto tally = load.finish();
        section("every request is answered", [&] {
            EXPECT_GT(tally.sent, 500U);
            EXPECT_EQ(tally.served, tally.sent);
        });
        section("none ran twice", [&] { EXPECT_TRUE(fleet.startedMoreThanOnce().empty()); });
    });
}

} // namespace radishvane::tests
