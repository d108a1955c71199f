#include "core/routing/request_router.h"

#include "tests/support/effects.h"
#include "tests/support/example_config.h"
#include "tests/support/story.h"

namespace radishvane::tests
{

namespace
{

/// A request plane with a configuration, rights and a clock that the test moves.
class PlaneWorld
{
public:
    explicit PlaneWorld(const ExampleConfig &config = {}, std::uint32_t rights = 4)
    {
        apply(config);
        give("office", rights);
        give("workshop", rights);
        send(LeaseExtended{now + std::chrono::hours(1)});
    }

    RequestEffects send(const RequestEvent &event)
    {
        return plane.handle(event, now);
    }

    void apply(const ExampleConfig &config)
    {
        send(ConfigInForce{config.make()});
        send(ConfigConfirmed{now});
    }

    RequestEffects give(const std::string &team, std::uint32_t rights)
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

    RequestEffects end(AttemptId attempt, AttemptOutcome outcome)
    {
        return send(AttemptEnded{attempt, outcome});
    }

    RequestEffects pass(Duration time)
    {
        now += time;
        send(ConfigConfirmed{now});
        return send(RequestTick{});
    }

    TimePoint now = TimePoint(std::chrono::hours(1));
    Duration timeout{5'000};
    RequestRouter plane{1};
};

std::optional<RefusalReason> refusal(const RequestEffects &effects)
{
    const auto refused = only<Refuse>(effects);
    return refused ? std::optional(refused->reason) : std::nullopt;
}

} // namespace

TEST(RequestRouter, RefusesWithTheReasonAndRunsNothing)
{
    story("requests that may not run", [] {
        section("before the first configuration", [] {
            RequestRouter plane(1);
            RequestHead head;
            head.timeout = Duration(1'000);
            const auto effects = plane.handle(RequestArrived{ExchangeId{1}, head}, TimePoint());
            EXPECT_EQ(refusal(effects), RefusalReason::NoConfiguration);
        });
        PlaneWorld world;
        section("without a key on a service that is not open to all",
                [&] { EXPECT_EQ(refusal(world.request(1, false, "")), RefusalReason::KeyMissing); });
        section("with a key that nobody granted",
                [&] { EXPECT_EQ(refusal(world.request(2, false, "guess")), RefusalReason::UnknownKey); });
        section("for a service that does not exist", [&] {
            RequestHead head;
            head.service = ServiceId("nowhere");
            head.timeout = Duration(1'000);
            EXPECT_EQ(refusal(world.send(RequestArrived{ExchangeId{3}, head})), RefusalReason::UnknownService);
        });
        section("when the queue is full", [&] {
            ExampleConfig config;
            config.version = 2;
            config.queueLimit = 0;
            world.apply(config);
            EXPECT_EQ(refusal(world.request(4)), RefusalReason::QueueFull);
        });
        section("after a newer configuration was heard of that cannot be had", [&] {
            world.send(ConfigSuspended{});
            EXPECT_EQ(refusal(world.request(5)), RefusalReason::NoConfiguration);
        });
    });
}

TEST(RequestRouter, RunsARequestThatIsNotIdempotentAtMostOnce)
{
    story("a request that must not run twice", [] {
        section("is tried again when no byte of it was sent", [] {
            PlaneWorld world;
            const auto first = only<StartAttempt>(world.request(1));
            ASSERT_TRUE(first);
            EXPECT_TRUE(first->freshConnection);
            const auto second = only<StartAttempt>(world.end(first->attempt, AttemptOutcome::NotSent));
            ASSERT_TRUE(second);
            section("and when the backend server said that it did not run",
                    [&] { EXPECT_TRUE(only<StartAttempt>(world.end(second->attempt, AttemptOutcome::NotRun))); });
        });
        for (const AttemptOutcome outcome :
             {AttemptOutcome::ConnectionLost, AttemptOutcome::TimedOut, AttemptOutcome::AnswerIncomplete}) {
            section("is never tried again after bytes were sent", [&] {
                PlaneWorld world;
                const auto first = only<StartAttempt>(world.request(1));
                const auto effects = world.end(first->attempt, outcome);
                EXPECT_FALSE(only<StartAttempt>(effects));
                EXPECT_FALSE(only<Refuse>(effects)) << "a refusal would say that it was not run";
                EXPECT_TRUE(only<ReportUnknown>(effects));
            });
        }
        section("and its key is claimed before anything is sent", [] {
            PlaneWorld world;
            const auto asked = world.request(1, false, "office-key", "order-7");
            ASSERT_TRUE(only<ClaimKey>(asked));
            EXPECT_FALSE(only<StartAttempt>(asked));
            section("a key that was claimed before runs nothing", [&] {
                EXPECT_EQ(refusal(world.send(ClaimDecided{ExchangeId{1}, ClaimOutcome::ClaimedBefore})),
                          RefusalReason::DuplicateRequest);
            });
            section("a table that cannot be reached runs nothing", [&] {
                world.request(2, false, "office-key", "order-8");
                EXPECT_EQ(refusal(world.send(ClaimDecided{ExchangeId{2}, ClaimOutcome::Unavailable})),
                          RefusalReason::ClaimUnavailable);
            });
        });
    });
    story("an idempotent request that may have run once", [] {
        PlaneWorld world;
        const auto first = only<StartAttempt>(world.request(1, true));
        const auto second = only<StartAttempt>(world.end(first->attempt, AttemptOutcome::ConnectionLost));
        ASSERT_TRUE(second);
        section("is not refused as not run, even when every later server says so", [&] {
            std::optional<StartAttempt> attempt = second;
            RequestEffects effects;
            while (attempt) {
                effects = world.end(attempt->attempt, AttemptOutcome::NotRun);
                attempt = only<StartAttempt>(effects);
            }
            EXPECT_FALSE(only<Refuse>(effects));
            EXPECT_TRUE(only<ReportUnknown>(effects));
        });
    });
    story("an idempotent request that waits for its second try until its deadline", [] {
        PlaneWorld world({}, 1);
        const auto first = only<StartAttempt>(world.request(1, true));
        EXPECT_FALSE(only<StartAttempt>(world.end(first->attempt, AttemptOutcome::ConnectionLost)));
        const auto late = world.pass(Duration(5'000));
        section("is not refused as not run either", [&] {
            EXPECT_FALSE(only<Refuse>(late));
            EXPECT_TRUE(only<ReportUnknown>(late));
        });
    });
}

TEST(RequestRouter, EarnsRetriesByFirstTries)
{
    story("a service whose retries have been used up", [] {
        PlaneWorld world({}, 100);
        std::uint64_t id = 0;
        const auto retried = [&](AttemptOutcome outcome) {
            const auto first = only<StartAttempt>(world.request(++id));
            const auto second = only<StartAttempt>(world.end(first->attempt, outcome));
            if (second) {
                world.end(second->attempt, AttemptOutcome::Answered);
            }
            return second.has_value();
        };
        int saved = 0;
        while (retried(AttemptOutcome::NotRun)) {
            ++saved;
        }
        EXPECT_GE(saved, static_cast<int>(RetryBudget::mostSaved));
        section("has another after ten first tries", [&] {
            for (int request = 0; request < 10; ++request) {
                const auto attempt = only<StartAttempt>(world.request(++id));
                world.end(attempt->attempt, AttemptOutcome::Answered);
            }
            EXPECT_TRUE(retried(AttemptOutcome::NotRun));
        });
    });
}

TEST(RequestRouter, ServesAgainAfterRunsThatTookTooLong)
{
    story("runs that took as long as callers wait", [] {
        PlaneWorld world;
        std::uint64_t id = 0;
        for (int run = 0; run < 4; ++run) {
            const auto started = only<StartAttempt>(world.request(++id));
            ASSERT_TRUE(started);
            world.pass(world.timeout - Duration(100));
            world.end(started->attempt, AttemptOutcome::Answered);
        }
        section("do not keep later requests out for ever: one is tried at a time, and tells how long runs take now",
                [&] {
                    int served = 0;
                    for (int run = 0; run < 40; ++run) {
                        const auto first = only<StartAttempt>(world.request(++id));
                        const auto second = only<StartAttempt>(world.request(++id));
                        world.pass(Duration(100));
                        for (const auto &started : {first, second}) {
                            if (started) {
                                world.end(started->attempt, AttemptOutcome::Answered);
                                ++served;
                            }
                        }
                    }
                    EXPECT_GT(served, 50);
                });
    });
}

TEST(RequestRouter, KeepsTheCeilingOfATeam)
{
    story("a team with two rights on this host and slots for four", [] {
        PlaneWorld world({}, 2);
        std::vector<AttemptId> attempts;
        for (std::uint64_t id = 1; id <= 4; ++id) {
            for (const StartAttempt &start : all<StartAttempt>(world.request(id))) {
                attempts.push_back(start.attempt);
            }
        }
        ASSERT_EQ(attempts.size(), 2U);
        section("the next starts when one has ended",
                [&] { EXPECT_TRUE(only<StartAttempt>(world.end(attempts[0], AttemptOutcome::Answered))); });
        section("but not when the connection broke, since the work may still run", [&] {
            EXPECT_FALSE(only<StartAttempt>(world.end(attempts[1], AttemptOutcome::ConnectionLost)));
            section("until the longest run time has passed", [&] {
                world.timeout = Duration(60'000);
                world.request(9);
                world.pass(Duration(9'000));
                EXPECT_EQ(world.plane.running(), 1U);
                world.pass(Duration(1'100));
                EXPECT_EQ(world.plane.running(), 2U);
            });
        });
    });
    story("rights that end with the session", [] {
        PlaneWorld world({}, 0);
        world.send(TeamAllowance{TeamId("office"), 0, 2, 2});
        world.send(LeaseExtended{world.now + Duration(1'000)});
        EXPECT_TRUE(only<StartAttempt>(world.request(1)));
        section("start nothing after their expiry", [&] {
            world.pass(Duration(1'000));
            EXPECT_FALSE(only<StartAttempt>(world.request(2)));
        });
    });
}

TEST(RequestRouter, GivesEachCallerItsOwnAnswer)
{
    story("answers that come late", [] {
        PlaneWorld world;
        const auto first = only<StartAttempt>(world.request(1));
        section("the caller is told that the outcome is unknown at its deadline",
                [&] { EXPECT_TRUE(only<ReportUnknown>(world.pass(Duration(5'000)))); });
        section("the late answer is dropped",
                [&] { EXPECT_FALSE(only<ForwardAnswer>(world.end(first->attempt, AttemptOutcome::Answered))); });
        section("an answer to an attempt that nobody made changes nothing",
                [&] { EXPECT_TRUE(world.end(AttemptId{99}, AttemptOutcome::Answered).empty()); });
    });
}

TEST(RequestRouter, GivesALeavingBackendServerNoNewWork)
{
    story("one of two backend servers leaves", [] {
        PlaneWorld world({}, 100);
        world.send(LeavingHosts{{HostId("host-0")}});
        for (std::uint64_t id = 1; id <= 4; ++id) {
            for (const StartAttempt &start : all<StartAttempt>(world.request(id))) {
                EXPECT_EQ(start.backend, BackendId("backend-1"));
            }
        }
        EXPECT_EQ(world.plane.running(), 2U);
    });
}

TEST(RequestRouter, StopsAWithdrawnKeyInTheQueueToo)
{
    story("a request that waits while its key is withdrawn", [] {
        PlaneWorld world({}, 0);
        world.request(1);
        ExampleConfig withdrawn;
        withdrawn.version = 2;
        withdrawn.officeKey = false;
        const auto effects = world.plane.handle(ConfigInForce{withdrawn.make()}, world.now);
        EXPECT_EQ(refusal(effects), RefusalReason::UnknownKey);
        section("an older configuration never comes back", [&] {
            world.apply(ExampleConfig{});
            EXPECT_EQ(refusal(world.request(2)), RefusalReason::UnknownKey);
        });
    });
    story("a key on a host that hears of nothing any more", [] {
        PlaneWorld world;
        world.now += Duration(59'000);
        EXPECT_TRUE(only<StartAttempt>(world.request(1)));
        world.now += Duration(2'000);
        section("is honoured only for the time that the operator set",
                [&] { EXPECT_EQ(refusal(world.request(2)), RefusalReason::KeyNotVouched); });
    });
}

TEST(RequestRouter, EjectsAServerThatFailsEverything)
{
    story("one of four backend servers fails all its work", [] {
        ExampleConfig config;
        config.backends = 4;
        config.queueLimit = 100;
        PlaneWorld world(config, 100);
        int failures = 0;
        for (std::uint64_t id = 1; id <= 200; ++id) {
            for (const StartAttempt &start : all<StartAttempt>(world.request(id))) {
                const bool bad = start.backend == BackendId("backend-0");
                failures += bad ? 1 : 0;
                world.end(start.attempt, bad ? AttemptOutcome::Failed : AttemptOutcome::Answered);
            }
        }
        EXPECT_EQ(failures, BackendSet::failuresToEject);
        section("it is tried again after its time, once", [&] {
            world.pass(BackendSet::firstEjection);
            int again = 0;
            for (std::uint64_t id = 201; id <= 400; ++id) {
                for (const StartAttempt &start : all<StartAttempt>(world.request(id))) {
                    const bool bad = start.backend == BackendId("backend-0");
                    again += bad ? 1 : 0;
                    world.end(start.attempt, bad ? AttemptOutcome::Failed : AttemptOutcome::Answered);
                }
            }
            EXPECT_LE(again, 1);
        });
    });
    story("all backend servers fail all their work", [] {
        PlaneWorld world({}, 100);
        for (std::uint64_t id = 1; id <= 50; ++id) {
            for (const StartAttempt &start : all<StartAttempt>(world.request(id))) {
                world.end(start.attempt, AttemptOutcome::Failed);
            }
        }
        section("half of them stay in use", [&] { EXPECT_TRUE(only<StartAttempt>(world.request(51))); });
    });
}

} // namespace radishvane::tests
