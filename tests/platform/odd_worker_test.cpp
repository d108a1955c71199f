#include "drivers/job_http.h"
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

TEST(WorkerAnswer, IsNotTakenForTheEndOfARunThatItListsUnreadably)
{
    const auto outcomeOf = [](const std::string &lists) {
        const std::string body = R"({"clockMs":5,"born":1,)" + lists + "}";
        return readLeaseRenewalAnswer({}, drivers::HttpAnswer{200, {}, body});
    };
    story("a worker lists its runs", [&] {
        section("and one of our tasks has a run that is too large",
                [&] { EXPECT_EQ(outcomeOf(R"("running":[["j.0.0.1",1e300,"",4]])").outcome, OrderOutcome::Invalid); });
        section("and the end of one of our tasks has no known name", [&] {
            EXPECT_EQ(outcomeOf(R"("endedRuns":[[1,"j.0.0.1",1,"gone"]])").outcome, OrderOutcome::Invalid);
        });
        section("and a row names no task of ours", [&] {
            const auto answered = outcomeOf(R"("running":[["other",1,"",4],["j.0.0.1",1,"",4]])");
            EXPECT_EQ(answered.outcome, OrderOutcome::Accepted);
            EXPECT_EQ(answered.report.running.size(), 1);
        });
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
