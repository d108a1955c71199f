#include "drivers/job_http.h"
#include "platform/caller_wire.h"
#include "platform/json_fields.h"
#include "platform/operator_wire.h"
#include "platform/worker_wire.h"
#include "tests/support/odd_json.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;
using namespace platform;

TEST(WorkerEntry, DoesNotEndTheHostWhenItIsNestedDeeply)
{
    story("another writer nests the pool of a worker's entry", [] {
        for (const std::size_t depth : {30'000, 100'000, 500'000}) {
            section("as a list of depth " + std::to_string(depth), [&] {
                const auto entry = readWorkerEntry("i-1", R"({"service":)" + nestedList(depth) + "}");
                ASSERT_FALSE(entry);
                EXPECT_LT(entry.error().detail.size(), 200);
            });
        }
    });
}

TEST(WorkerAnswer, DoesNotEndTheHostWhenAFieldHasAnotherType)
{
    story("a worker of the own interface answers", [] {
        const auto failureOf = [](const std::string &body) {
            const auto answered = drivers::readWorkerOutcome({}, drivers::HttpAnswer{200, {}, body});
            return std::holds_alternative<WorkerFailure>(answered.answer);
        };
        section("with a state that is no text", [&] { EXPECT_TRUE(failureOf(R"({"state":5})")); });
        section("with a time that is no number", [&] { EXPECT_TRUE(failureOf(R"({"state":"done","ran_ms":"x"})")); });
        section("with a time too large", [&] { EXPECT_TRUE(failureOf(R"({"state":"done","ran_ms":1e300})")); });
        section("as it should", [&] { EXPECT_FALSE(failureOf(R"({"state":"done","ran_ms":7})")); });
    });
    story("a worker of the platform refuses an order", [] {
        section("with a reason that is no text", [] {
            const auto answered
                = readOrderAnswer({}, drivers::HttpAnswer{409, {}, R"({"reason":[1],"clockMs":1e300})"});
            EXPECT_EQ(answered.outcome, OrderOutcome::Invalid);
            EXPECT_FALSE(answered.clock);
        });
    });
}

TEST(WorkerEntry, IsSkippedWhenItsCapacityIsTooLarge)
{
    story("another writer leaves an entry of a worker", [] {
        const auto isRead = [](const std::string &cpu, const std::string &address) {
            const std::string entry
                = R"({"service":"s","state":"ready","address":")" + address + R"(","capacity":{"cpu":)" + cpu + "}}";
            return bool(readWorkerEntry("i-1", entry));
        };
        section("with a sound capacity and port", [&] { EXPECT_TRUE(isRead("16000", "10.0.0.9:80")); });
        for (const std::string cpu : {"18446744073709551615", "4294967296", "1e300", "1e999", "-1", "\"x\""}) {
            section("with the capacity " + cpu, [&] { EXPECT_FALSE(isRead(cpu, "10.0.0.9:80")); });
        }
        for (const std::string port : {"0", "65536", "99999999", "-1"}) {
            section("with the port " + port, [&] { EXPECT_FALSE(isRead("1", "10.0.0.9:" + port)); });
        }
    });
    story("resources are added", [] {
        section("and stay at the largest amount", [] {
            const Resources most{std::numeric_limits<std::uint64_t>::max(), 1, 0};
            EXPECT_EQ(most + most, (Resources{most.cpu, 2, 0}));
        });
    });
}

TEST(OperatorWire, KeepsNumbersInRange)
{
    story("an operator writes numbers that are too large", [] {
        section("a wave lasts the longest time", [] {
            const auto wave = readWave(R"({"wave":1,"durationS":1e300,"cap":4294967297})");
            ASSERT_TRUE(wave);
            EXPECT_EQ(wave.value().duration, Duration(4'294'967'295));
            EXPECT_GT(wave.value().maxHostsDown, 1);
        });
        section("a queue never fails a task", [] {
            const auto config = readSiteConfig(R"({"version":1,"routes":[{"name":"r","prefix":"/","service":"s",
                "maxAttempts":4294967297,"targetDurationMs":9007199254740992}]})");
            ASSERT_TRUE(config);
            EXPECT_GT(config.value()->queues.at(QueueId("r")).maxFailures, 1);
        });
    });
    story("a caller sends numbers that are too large", [] {
        for (const std::string field : {R"("count":4294967297)", R"("count":1,"mayMiss":4294967297)",
                                        R"("count":1,"cpu":18446744073709551615)"}) {
            section(field, [&] { EXPECT_FALSE(readGraph(R"({"steps":[{)" + field + "}]}")); });
        }
        section("a job whose last occurrence is out of range", [] {
            EXPECT_FALSE(
                readGraph(R"({"steps":[{"count":1}],"repeatCount":4294967295,"startAtMs":5,"periodMs":4294967295})"));
        });
    });
}

TEST(WorkerAnswer, IsNotTakenForTheEndOfARunThatItListsUnreadably)
{
    const auto outcomeOf = [](const std::string &lists) {
        const std::string body = R"({"clockMs":5,"born":1,)" + lists + "}";
        return readLeaseRenewalAnswer({}, drivers::HttpAnswer{200, {}, body});
    };
    story("a worker lists its runs", [&] {
        section("and one of our tasks has a run that is too large",
                [&] { EXPECT_EQ(outcomeOf(R"("running":[["j.0.0.1",1e300,"",4]])").outcome, OrderOutcome::Invalid); });
        section("and the end of one of our tasks has a number that is too large", [&] {
            EXPECT_EQ(outcomeOf(R"("endedRuns":[[1e300,"j.0.0.1",1,"done"]])").outcome, OrderOutcome::Invalid);
        });
        section("and a row names no task of ours", [&] {
            const auto answered = outcomeOf(R"("running":[["other",1,"",4],["j.0.0.1",1,"",4]])");
            EXPECT_EQ(answered.outcome, OrderOutcome::Accepted);
            EXPECT_EQ(answered.report.running.size(), 1);
        });
    });
}

TEST(WorkerAnswer, KeepsTheClockInRange)
{
    story("a worker tells a clock at the end of the range", [] {
        const auto answered
            = readLeaseRenewalAnswer({}, drivers::HttpAnswer{200, {}, R"({"clockMs":18446744073709551615,"born":1})"});
        section("its report is refused", [&] { EXPECT_EQ(answered.outcome, OrderOutcome::Invalid); });
    });
}

TEST(AdmissionAnswer, DoesNotEndTheHostWhenItIsOdd)
{
    story("the admission service answers", [] {
        for (const std::string body : {R"({"good":5})", R"({"good":{"a":[1]}})", R"({"good":[[1,2],["i-1","t"]]})"}) {
            section("with " + body, [&] {
                EXPECT_LE(readAdmission({}, drivers::HttpAnswer{200, {}, body}).tickets.size(), 1);
            });
        }
    });
}

} // namespace radishvane::tests
