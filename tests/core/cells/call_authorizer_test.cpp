#include "core/cells/call_authorizer.h"

#include "core/base/enum_names.h"

#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

namespace
{

using namespace cells;

constexpr TimePoint begin{std::chrono::hours(1)};

SiteConfigPtr configOf(std::uint64_t version, const std::vector<std::string> &keys)
{
    auto config = std::make_shared<SiteConfig>();
    config->version = version;
    for (const char *name : {"short", "long"}) {
        Queue queue;
        queue.id = QueueId(name);
        queue.host = "site.example";
        queue.prefix = std::string(name) == "long" ? "/plans/late/" : "/plans/";
        queue.open = std::string(name) == "long";
        config->queues[queue.id] = queue;
    }
    for (const std::string &key : keys) {
        config->keys[key] = TeamId("team-of-" + key);
    }
    return config;
}

CallRequest callOf(const std::string &path, const std::string &key)
{
    return CallRequest{CallKind::Submit, "site.example:8340", path, key};
}

std::string outcome(const CallVerdict &verdict)
{
    if (const auto *refusal = std::get_if<CallRefusal>(&verdict)) {
        return std::string(enumName(callRefusalNames, *refusal));
    }
    const auto &pass = std::get<AuthorizedCall>(verdict);
    return pass.queue.name() + '/' + pass.job.name() + '/' + pass.team.name();
}

} // namespace

TEST(CallAuthorizer, AcceptsKeysOnlyWhileWithdrawalsAreKnown)
{
    story("a host on which the withdrawal of a key must take effect within 5 s", [] {
        CallAuthorizer authorizer(Duration(5'000));
        const CallRequest call = callOf("/plans/0123456789abcdef", "k1");
        section("without a configuration every call is refused as no-config, not as unknown",
                [&] { EXPECT_EQ(outcome(authorizer.check(call, begin)), "no-config"); });
        authorizer.observe(configOf(4, {"k1"}));
        authorizer.observeContact(begin);
        section("the longest prefix selects the queue, and the key selects the team", [&] {
            EXPECT_EQ(outcome(authorizer.check(call, begin)), "short/0123456789abcdef/team-of-k1");
            EXPECT_EQ(outcome(authorizer.check(callOf("/plans/late/0123456789abcdef", ""), begin)),
                      "long/0123456789abcdef/");
            EXPECT_EQ(outcome(authorizer.check(callOf("/other/0123456789abcdef", "k1"), begin)), "unknown-queue");
            EXPECT_EQ(outcome(authorizer.check(callOf("/plans/0123", "k1"), begin)), "bad-job-id");
        });
        section("without contact, keys are refused before the limit, and open queues still accept calls", [&] {
            EXPECT_EQ(outcome(authorizer.check(call, begin + Duration(2'900))), "short/0123456789abcdef/team-of-k1");
            EXPECT_EQ(outcome(authorizer.check(call, begin + Duration(3'100))), "stale-keys");
            EXPECT_EQ(outcome(authorizer.check(callOf("/plans/late/0123456789abcdef", ""), begin + Duration(3'100))),
                      "long/0123456789abcdef/");
        });
        section("a withdrawn key is refused from the version that removes it", [&] {
            authorizer.observe(configOf(9, {"k2"}));
            authorizer.observeContact(begin + Duration(3'200));
            EXPECT_EQ(outcome(authorizer.check(call, begin + Duration(3'200))), "unknown-key");
        });
        section("an older configuration that arrives late does not restore the key", [&] {
            authorizer.observe(configOf(4, {"k1"}));
            EXPECT_EQ(outcome(authorizer.check(call, begin + Duration(3'200))), "unknown-key");
        });
    });
}

} // namespace radishvane::tests
