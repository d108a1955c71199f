#include "core/routing/request_router.h"

#include "tests/support/effects.h"
#include "tests/support/example_config.h"
#include "tests/support/story.h"

#include <functional>
#include <utility>
#include <vector>

namespace radishvane::tests
{

namespace
{

/// A request router with a configuration, rights and a clock that the test advances.
class RouterFixture
{
public:
    explicit RouterFixture(const ExampleConfig &config = {}, std::uint32_t rights = 4)
    {
        apply(config);
        setRights("office", rights);
        setRights("workshop", rights);
        send(LeaseExtended{now + std::chrono::hours(1)});
    }

    RequestEffects send(const RequestEvent &event)
    {
        return router.handle(event, now);
    }

    void apply(const ExampleConfig &config)
    {
        send(ConfigInForce{config.make()});
        send(ConfigConfirmed{now});
    }

    RequestEffects setRights(const std::string &team, std::uint32_t rights)
    {
        return send(TeamAllowance{TeamId(team), rights, 0, 1});
    }

    RequestEffects request(std::uint64_t id, bool idempotent = false, const std::string &key = "office-key",
                           const std::string &claim = "")
    {
        RequestHead head;
        head.service = ServiceId("quotes");
        head.key = key;
        head.idempotent = idempotent;
        head.idempotencyKey = claim;
        head.timeout = timeout;
        return send(RequestArrived{ExchangeId{id}, head});
    }

    RequestEffects endAttempt(AttemptId attempt, AttemptOutcome outcome)
    {
        return send(AttemptEnded{attempt, outcome});
    }

    RequestEffects advance(Duration time)
    {
        now += time;
        send(ConfigConfirmed{now});
        return send(RequestTick{});
    }

    TimePoint now = TimePoint(std::chrono::hours(1));
    Duration timeout{5'000};
    RequestRouter router{1};
};

std::optional<RefusalReason> refusal(const RequestEffects &effects)
{
    const auto refused = only<Refuse>(effects);
    return refused ? std::optional(refused->reason) : std::nullopt;
}

} // namespace

TEST(RequestRouter, AnswersEachOpenRequestWhenItStops)
{
    story("more requests than rights, and the entry host stops", [] {
        RouterFixture router({}, 1);
        const auto running = only<StartAttempt>(router.request(1));
        ASSERT_TRUE(running.has_value());
        EXPECT_FALSE(only<StartAttempt>(router.request(2)).has_value());
        section("a request that can end before the host does is taken", [&] {
            router.send(StopRequested{router.now + std::chrono::hours(1)});
            EXPECT_EQ(refusal(router.request(3)), std::nullopt);
            router.send(CallerDisconnected{ExchangeId{3}});
        });
        section("one that may run longer than the host is refused", [&] {
            router.send(StopRequested{router.now});
            EXPECT_EQ(refusal(router.request(4)), RefusalReason::Stopping);
        });
        section("at the end the one that waits is refused, and the outcome of the one that runs is unknown", [&] {
            const RequestEffects effects = router.send(AnswerOpenRequests{});
            const auto refused = only<Refuse>(effects);
            ASSERT_TRUE(refused.has_value());
            EXPECT_EQ(refused->exchange, ExchangeId{2});
            EXPECT_EQ(refused->reason, RefusalReason::Stopping);
            EXPECT_TRUE(refused->retryAfter.has_value());
            const auto unknown = only<ReportUnknown>(effects);
            ASSERT_TRUE(unknown.has_value());
            EXPECT_EQ(unknown->exchange, ExchangeId{1});
            EXPECT_EQ(unknown->reason, UnknownReason::Stopping);
        });
        section("and the late answer of the backend server goes to nobody", [&] {
            EXPECT_FALSE(
                only<ForwardAnswer>(router.endAttempt(running->attempt, AttemptOutcome::Answered)).has_value());
        });
    });
}

TEST(RequestRouter, RefusesRequestsThatComeAfterTheOpenOnesWereAnswered)
{
    story("an entry host with time left has answered its open requests", [] {
        RouterFixture router;
        router.send(StopRequested{router.now + std::chrono::hours(1)});
        router.send(AnswerOpenRequests{});
        section("a request that a kept connection brings then is refused at once", [&] {
            const RequestEffects effects = router.request(1, true);
            EXPECT_FALSE(only<StartAttempt>(effects).has_value());
            EXPECT_EQ(refusal(effects), RefusalReason::Stopping);
        });
    });
}

TEST(RequestRouter, ReleasesTheClaimOfARequestThatEndedBeforeItWasClaimed)
{
    const std::vector<std::pair<std::string, std::function<void(RouterFixture &)>>> ends{
        {"its caller leaves",
         [](RouterFixture &router) {
             router.send(CallerDisconnected{ExchangeId{1}});
         }},
        {"its deadline passes",
         [](RouterFixture &router) {
             router.advance(Duration(5'000));
         }},
        {"the entry host stops",
         [](RouterFixture &router) {
             router.send(AnswerOpenRequests{});
         }},
    };
    for (const auto &[name, end] : ends) {
        story("a request waits for the claim of its key, and " + name, [&end = end] {
            RouterFixture router;
            ASSERT_TRUE(only<ClaimKey>(router.request(1, false, "office-key", "order-7")).has_value());
            end(router);
            section("the claim that succeeds afterwards is released, so that a repetition may run", [&] {
                const auto released
                    = only<ReleaseClaim>(router.send(ClaimDecided{ExchangeId{1}, ClaimOutcome::Claimed}));
                ASSERT_TRUE(released.has_value());
                EXPECT_EQ(released->team, TeamId("office"));
                EXPECT_EQ(released->idempotencyKey, "order-7");
            });
            section("and only once", [&] {
                EXPECT_FALSE(
                    only<ReleaseClaim>(router.send(ClaimDecided{ExchangeId{1}, ClaimOutcome::Claimed})).has_value());
            });
        });
        story("a request waits for a claim that fails, and " + name, [&end = end] {
            RouterFixture router;
            router.request(1, false, "office-key", "order-7");
            end(router);
            section("nothing is released", [&] {
                EXPECT_FALSE(only<ReleaseClaim>(router.send(ClaimDecided{ExchangeId{1}, ClaimOutcome::ClaimedBefore}))
                                 .has_value());
            });
        });
    }
}

TEST(RequestRouter, RefusesInadmissibleRequestsWithAReason)
{
    story("requests that are not admissible are refused", [] {
        section("before a configuration is in force", [] {
            RequestRouter router(1);
            RequestHead head;
            head.timeout = Duration(1'000);
            const auto effects = router.handle(RequestArrived{ExchangeId{1}, head}, TimePoint());
            EXPECT_EQ(refusal(effects), RefusalReason::NoConfiguration);
        });
        RouterFixture fixture;
        section("without a key on a service that is not open to all",
                [&] { EXPECT_EQ(refusal(fixture.request(1, false, "")), RefusalReason::KeyMissing); });
        section("with an unknown key",
                [&] { EXPECT_EQ(refusal(fixture.request(2, false, "guess")), RefusalReason::UnknownKey); });
        section("for an unknown service", [&] {
            RequestHead head;
            head.service = ServiceId("nowhere");
            head.timeout = Duration(1'000);
            EXPECT_EQ(refusal(fixture.send(RequestArrived{ExchangeId{3}, head})), RefusalReason::UnknownService);
        });
        section("when the queue is full", [&] {
            ExampleConfig config;
            config.version = 2;
            config.queueLimit = 0;
            fixture.apply(config);
            EXPECT_EQ(refusal(fixture.request(4)), RefusalReason::QueueFull);
        });
        section("when a newer configuration is known but cannot be loaded", [&] {
            fixture.send(ConfigSuspended{});
            EXPECT_EQ(refusal(fixture.request(5)), RefusalReason::NoConfiguration);
        });
    });
}

TEST(RequestRouter, RunsANonIdempotentRequestAtMostOnce)
{
    story("a non-idempotent request", [] {
        section("is retried when no byte of it was sent", [] {
            RouterFixture fixture;
            const auto first = only<StartAttempt>(fixture.request(1));
            ASSERT_TRUE(first);
            EXPECT_TRUE(first->freshConnection);
            const auto second = only<StartAttempt>(fixture.endAttempt(first->attempt, AttemptOutcome::NotSent));
            ASSERT_TRUE(second);
            section("and when the backend server reported that it did not run it", [&] {
                EXPECT_TRUE(only<StartAttempt>(fixture.endAttempt(second->attempt, AttemptOutcome::NotRun)));
            });
        });
        for (const AttemptOutcome outcome :
             {AttemptOutcome::ConnectionLost, AttemptOutcome::TimedOut, AttemptOutcome::AnswerIncomplete}) {
            section("is not retried after bytes were sent, and its outcome is reported as unknown", [&] {
                RouterFixture fixture;
                const auto first = only<StartAttempt>(fixture.request(1));
                const auto effects = fixture.endAttempt(first->attempt, outcome);
                EXPECT_FALSE(only<StartAttempt>(effects));
                EXPECT_FALSE(only<Refuse>(effects)) << "a refusal would report that the request was not run";
                EXPECT_TRUE(only<ReportUnknown>(effects));
            });
        }
        section("has its idempotency key claimed before it is sent", [] {
            RouterFixture fixture;
            const auto effects = fixture.request(1, false, "office-key", "order-7");
            ASSERT_TRUE(only<ClaimKey>(effects));
            EXPECT_FALSE(only<StartAttempt>(effects));
            section("and is refused as a duplicate when the key was claimed before", [&] {
                EXPECT_EQ(refusal(fixture.send(ClaimDecided{ExchangeId{1}, ClaimOutcome::ClaimedBefore})),
                          RefusalReason::DuplicateRequest);
            });
            section("and is refused when the table is unavailable", [&] {
                fixture.request(2, false, "office-key", "order-8");
                EXPECT_EQ(refusal(fixture.send(ClaimDecided{ExchangeId{2}, ClaimOutcome::Unavailable})),
                          RefusalReason::ClaimUnavailable);
            });
        });
    });
    story("an idempotent request whose first attempt may have run", [] {
        RouterFixture fixture;
        const auto first = only<StartAttempt>(fixture.request(1, true));
        const auto second = only<StartAttempt>(fixture.endAttempt(first->attempt, AttemptOutcome::ConnectionLost));
        ASSERT_TRUE(second);
        section("is reported as unknown, even when every later attempt was not run", [&] {
            std::optional<StartAttempt> attempt = second;
            RequestEffects effects;
            while (attempt) {
                effects = fixture.endAttempt(attempt->attempt, AttemptOutcome::NotRun);
                attempt = only<StartAttempt>(effects);
            }
            EXPECT_FALSE(only<Refuse>(effects));
            EXPECT_TRUE(only<ReportUnknown>(effects));
        });
    });
    story("an idempotent request that waits for its second attempt until its deadline", [] {
        RouterFixture fixture({}, 1);
        const auto first = only<StartAttempt>(fixture.request(1, true));
        EXPECT_FALSE(only<StartAttempt>(fixture.endAttempt(first->attempt, AttemptOutcome::ConnectionLost)));
        const auto late = fixture.advance(Duration(5'000));
        section("is reported as unknown, not refused", [&] {
            EXPECT_FALSE(only<Refuse>(late));
            EXPECT_TRUE(only<ReportUnknown>(late));
        });
    });
}

TEST(RequestRouter, AddsRetryTokensPerFirstAttempt)
{
    story("a service whose retry budget is exhausted", [] {
        RouterFixture fixture({}, 100);
        std::uint64_t id = 0;
        const auto retried = [&](AttemptOutcome outcome) {
            const auto first = only<StartAttempt>(fixture.request(++id));
            const auto second = only<StartAttempt>(fixture.endAttempt(first->attempt, outcome));
            if (second) {
                fixture.endAttempt(second->attempt, AttemptOutcome::Answered);
            }
            return second.has_value();
        };
        int retries = 0;
        while (retried(AttemptOutcome::NotRun)) {
            ++retries;
        }
        EXPECT_GE(retries, static_cast<int>(RetryBudget::maxTokens));
        section("allows one more retry after ten first attempts", [&] {
            for (int request = 0; request < 10; ++request) {
                const auto attempt = only<StartAttempt>(fixture.request(++id));
                fixture.endAttempt(attempt->attempt, AttemptOutcome::Answered);
            }
            EXPECT_TRUE(retried(AttemptOutcome::NotRun));
        });
    });
}

TEST(RequestRouter, StartsAProbeWhenTheRunEstimateIsTooHigh)
{
    story("a service whose runs took as long as the timeout of the requests", [] {
        RouterFixture fixture;
        std::uint64_t id = 0;
        for (int run = 0; run < 4; ++run) {
            const auto started = only<StartAttempt>(fixture.request(++id));
            ASSERT_TRUE(started);
            fixture.advance(fixture.timeout - Duration(100));
            fixture.endAttempt(started->attempt, AttemptOutcome::Answered);
        }
        section(
            "starts one request at a time as a probe, so that the run estimate decreases and later requests are served",
            [&] {
                int served = 0;
                for (int run = 0; run < 40; ++run) {
                    const auto first = only<StartAttempt>(fixture.request(++id));
                    const auto second = only<StartAttempt>(fixture.request(++id));
                    fixture.advance(Duration(100));
                    for (const auto &started : {first, second}) {
                        if (started) {
                            fixture.endAttempt(started->attempt, AttemptOutcome::Answered);
                            ++served;
                        }
                    }
                }
                EXPECT_GT(served, 50);
            });
    });
}

TEST(RequestRouter, RunsNoMoreThanTheRightsOfATeam)
{
    story("a team with two rights on this host and four free slots", [] {
        RouterFixture fixture({}, 2);
        std::vector<AttemptId> attempts;
        for (std::uint64_t id = 1; id <= 4; ++id) {
            for (const StartAttempt &start : all<StartAttempt>(fixture.request(id))) {
                attempts.push_back(start.attempt);
            }
        }
        ASSERT_EQ(attempts.size(), 2U);
        section("starts the next request when one has ended",
                [&] { EXPECT_TRUE(only<StartAttempt>(fixture.endAttempt(attempts[0], AttemptOutcome::Answered))); });
        section("starts none after a lost connection, because the work may still run", [&] {
            EXPECT_FALSE(only<StartAttempt>(fixture.endAttempt(attempts[1], AttemptOutcome::ConnectionLost)));
            section("until the longest run time has passed", [&] {
                fixture.timeout = Duration(60'000);
                fixture.request(9);
                fixture.advance(Duration(9'000));
                EXPECT_EQ(fixture.router.running(), 1U);
                fixture.advance(Duration(1'100));
                EXPECT_EQ(fixture.router.running(), 2U);
            });
        });
    });
    story("leased rights", [] {
        RouterFixture fixture({}, 0);
        fixture.send(TeamAllowance{TeamId("office"), 0, 2, 2});
        fixture.send(LeaseExtended{fixture.now + Duration(1'000)});
        EXPECT_TRUE(only<StartAttempt>(fixture.request(1)));
        section("start no work after their expiry", [&] {
            fixture.advance(Duration(1'000));
            EXPECT_FALSE(only<StartAttempt>(fixture.request(2)));
        });
    });
}

TEST(RequestRouter, DropsAnswersThatArriveAfterTheDeadline)
{
    story("an answer that arrives after the deadline", [] {
        RouterFixture fixture;
        const auto first = only<StartAttempt>(fixture.request(1));
        section("the outcome is reported as unknown at the deadline",
                [&] { EXPECT_TRUE(only<ReportUnknown>(fixture.advance(Duration(5'000)))); });
        section("the late answer is dropped", [&] {
            EXPECT_FALSE(only<ForwardAnswer>(fixture.endAttempt(first->attempt, AttemptOutcome::Answered)));
        });
        section("an answer to an unknown attempt has no effect",
                [&] { EXPECT_TRUE(fixture.endAttempt(AttemptId{99}, AttemptOutcome::Answered).empty()); });
    });
}

TEST(RequestRouter, SendsNoNewWorkToALeavingBackendServer)
{
    story("when the host of one of two backend servers is leaving, the other gets all requests", [] {
        RouterFixture fixture({}, 100);
        fixture.send(LeavingHosts{{HostId("host-0")}});
        for (std::uint64_t id = 1; id <= 4; ++id) {
            for (const StartAttempt &start : all<StartAttempt>(fixture.request(id))) {
                EXPECT_EQ(start.backend, BackendId("backend-1"));
            }
        }
        EXPECT_EQ(fixture.router.running(), 2U);
    });
}

TEST(RequestRouter, RefusesQueuedRequestsOfAWithdrawnKey)
{
    story("a queued request is refused when its key is withdrawn", [] {
        RouterFixture fixture({}, 0);
        fixture.request(1);
        ExampleConfig withdrawn;
        withdrawn.version = 2;
        withdrawn.officeKey = false;
        const auto effects = fixture.router.handle(ConfigInForce{withdrawn.make()}, fixture.now);
        EXPECT_EQ(refusal(effects), RefusalReason::UnknownKey);
        section("an older configuration is not applied again", [&] {
            fixture.apply(ExampleConfig{});
            EXPECT_EQ(refusal(fixture.request(2)), RefusalReason::UnknownKey);
        });
    });
    story("a key on a host that can no longer confirm its configuration", [] {
        RouterFixture fixture;
        fixture.now += Duration(59'000);
        EXPECT_TRUE(only<StartAttempt>(fixture.request(1)));
        fixture.now += Duration(2'000);
        section("is accepted only for the time set by the operator",
                [&] { EXPECT_EQ(refusal(fixture.request(2)), RefusalReason::KeyNotConfirmed); });
    });
}

TEST(RequestRouter, EjectsABackendServerAfterConsecutiveFailures)
{
    story("one of four backend servers fails every request and is ejected", [] {
        ExampleConfig config;
        config.backends = 4;
        config.queueLimit = 100;
        RouterFixture fixture(config, 100);
        int failures = 0;
        for (std::uint64_t id = 1; id <= 200; ++id) {
            for (const StartAttempt &start : all<StartAttempt>(fixture.request(id))) {
                const bool bad = start.backend == BackendId("backend-0");
                failures += bad ? 1 : 0;
                fixture.endAttempt(start.attempt, bad ? AttemptOutcome::Failed : AttemptOutcome::Answered);
            }
        }
        EXPECT_EQ(failures, BackendSet::failuresToEject);
        section("after the ejection has expired, it gets at most one request", [&] {
            fixture.advance(BackendSet::firstEjection);
            int again = 0;
            for (std::uint64_t id = 201; id <= 400; ++id) {
                for (const StartAttempt &start : all<StartAttempt>(fixture.request(id))) {
                    const bool bad = start.backend == BackendId("backend-0");
                    again += bad ? 1 : 0;
                    fixture.endAttempt(start.attempt, bad ? AttemptOutcome::Failed : AttemptOutcome::Answered);
                }
            }
            EXPECT_LE(again, 1);
        });
    });
    story("all backend servers fail every request", [] {
        RouterFixture fixture({}, 100);
        for (std::uint64_t id = 1; id <= 50; ++id) {
            for (const StartAttempt &start : all<StartAttempt>(fixture.request(id))) {
                fixture.endAttempt(start.attempt, AttemptOutcome::Failed);
            }
        }
        section("half of them stay in use", [&] { EXPECT_TRUE(only<StartAttempt>(fixture.request(51))); });
    });
}

} // namespace radishvane::tests
