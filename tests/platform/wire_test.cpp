#include "platform/caller_wire.h"
#include "platform/json_fields.h"
#include "platform/operator_wire.h"
#include "platform/worker_wire.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

#include <type_traits>

namespace radishvane::tests
{

namespace
{

using namespace cells;
using namespace platform;

// A reader keeps a reference to its object; one of a temporary read the owner's row as absent.
static_assert(!std::is_constructible_v<JsonFields, Json &&, std::string>);

drivers::HttpOutcome answerOf(int status, const std::string &body)
{
    return drivers::HttpAnswer{status, {}, body};
}

} // namespace

TEST(CallerWire, NamesTheFieldThatCannotBeRead)
{
    story("bodies of jobs", [] {
        section("a job of two steps is read with every field", [] {
            const auto spec = readGraph(R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,
                "affinity":"r1-3"},{"count":2,"cpu":2000,"after":[0],"savesProgress":true,"mayMiss":1,"longRunning":true,
                "antiAffinity":2,"gang":true,"constraints":"b","targetMs":80,"fills":true,"speculative":true}],
                "repeatCount":3,"startAtMs":5000,"periodMs":700})");
            ASSERT_TRUE(spec.has_value());
            const GraphSpec &graph = spec.value();
            EXPECT_EQ(graph.steps[0].needs, (Resources{500, 256, 0}));
            EXPECT_EQ(graph.steps[0].rack, "r1-3");
            const StepSpec &second = graph.steps[1];
            EXPECT_EQ(second.after, std::vector<std::uint32_t>{0});
            EXPECT_TRUE(second.checkpoints && second.isService && second.gang && second.bestEffort
                        && second.speculative);
            EXPECT_EQ(second.maxUnavailable, 1);
            EXPECT_EQ(second.maxPerWorker, 2);
            EXPECT_EQ(second.label, "b");
            EXPECT_EQ(second.tailLatencyTarget, Duration(80));
            EXPECT_EQ(graph.dueAt(2), WallTime(Duration(6'400)));
        });
        const auto problemOf = [](const std::string &body) {
            const auto spec = readGraph(body);
            return spec ? std::string("read") : spec.error();
        };
        section("what is wrong is named with its place and what was found", [&] {
            EXPECT_EQ(problemOf("{"), "body: expected JSON");
            EXPECT_EQ(problemOf(R"({"steps":[]})"), "steps: expected 1 to 256 steps, found 0");
            EXPECT_EQ(problemOf(R"({"steps":[{"count":1},{"count":-2}]})"),
                      "steps[1].count: expected a whole number of 0 or more, found -2");
            EXPECT_EQ(problemOf(R"({"steps":[{"count":1,"after":[0]}]})"),
                      "steps[0].after: expected numbers of earlier steps, found 0");
            EXPECT_EQ(problemOf(R"({"steps":[{"count":1,"gang":"yes"}]})"),
                      "steps[0].gang: expected true or false, found \"yes\"");
            EXPECT_EQ(problemOf(R"({"steps":[{"count":5000}]})"), "steps: expected at most 4096 tasks, found 5000");
        });
    });
}

TEST(OperatorWire, LeavesOutWhatNamesNothingToUse)
{
    story("entries of workers", [] {
        const std::string sound = R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"draining",
            "capacity":{"cpu":16000,"memMb":32768},"labels":["a","r1-3"],"born":77,"machine":"m-1","seqNo":4})";
        section("a sound one is read", [&] {
            const auto entry = readWorkerEntry("i-1", sound);
            ASSERT_TRUE(entry.has_value());
            EXPECT_EQ(entry.value().state, WorkerState::Draining);
            EXPECT_EQ(entry.value().rack, RackId("r1-3"));
            EXPECT_EQ(entry.value().startedAtMs, 77);
        });
        section("others say why they cannot be", [] {
            const auto problemOf = [](const std::string &value) {
                const auto entry = readWorkerEntry("i-1", value);
                return entry ? std::string("read") : entry.error().detail;
            };
            EXPECT_EQ(problemOf("\xff\x00"), "expected a JSON object");
            EXPECT_EQ(problemOf("[1]"), "body: expected an object");
            EXPECT_EQ(problemOf(R"({"service":7})"), "service: expected a text, found 7");
            EXPECT_EQ(problemOf(R"({"service":"s","address":"here","state":"ready"})"),
                      "address: expected an IPv4 address and a port, found here");
            EXPECT_EQ(problemOf(R"({"service":"s","address":"10.0.0.9:80","state":"asleep"})"),
                      "state: expected ready or draining, found asleep");
            EXPECT_EQ(problemOf(R"({"service":"s","address":"10.0.0.9:80","state":"ready"})"),
                      "capacity: expected an object, found nothing");
        });
    });
}

TEST(WorkerWire, WritesStartsWithTheExactPayload)
{
    story("a start order", [] {
        StartOrder order;
        order.worker = WorkerAddress{WorkerId("i-1"), Endpoint{"10.0.0.1", 80}};
        order.task = *parseTaskName("5c0e.0.1.17");
        order.run = 2;
        order.payload = "{\"a\":\"b\\\\n\"}\n\t\x01 Käse \\";
        order.deadline = 486'000;
        order.fence = 7;
        Json expected{{"task", "5c0e.0.1.17"},
                      {"runId", 2},
                      {"spec", order.payload},
                      {"deadlineMs", 486'000},
                      {"fencingToken", 7}};
        section("of a first run has neither a checkpoint nor a ticket",
                [&] { EXPECT_EQ(Json::parse(workerCall(order).body), expected); });
        section("of a later run has both", [&] {
            order.checkpoint = "000\"b";
            order.ticket = "t-1";
            expected["lastCheckpoint"] = order.checkpoint;
            expected["ticket"] = order.ticket;
            EXPECT_EQ(Json::parse(workerCall(order).body), expected);
        });
        section("names the worker that is meant", [&] {
            const drivers::HttpCall call = workerCall(order);
            EXPECT_EQ(call.target, "/-/run-start");
            EXPECT_EQ(call.endpoint, order.worker.endpoint);
        });
    });
}

TEST(WorkerWire, ReadsRefusalsAndLists)
{
    story("answers of workers", [] {
        const CallId call{3};
        section("each refusal has its meaning, and no answer is none", [&] {
            EXPECT_EQ(readOrderAnswer(call, answerOf(200, R"({"clockMs":5})")).outcome, OrderOutcome::Accepted);
            EXPECT_EQ(readOrderAnswer(call, answerOf(409, R"({"reason":"fence"})")).outcome, OrderOutcome::Fenced);
            EXPECT_EQ(readOrderAnswer(call, answerOf(409, R"({"reason":"ticket"})")).outcome, OrderOutcome::NoTicket);
            EXPECT_EQ(readOrderAnswer(call, answerOf(421, "")).outcome, OrderOutcome::WrongInstance);
            EXPECT_EQ(readOrderAnswer(call, answerOf(503, "")).outcome, OrderOutcome::Unhealthy);
            EXPECT_EQ(readOrderAnswer(call, drivers::HttpFailure::TimedOut).outcome, OrderOutcome::Unknown);
            EXPECT_EQ(readOrderAnswer(call, drivers::HttpFailure::NotSent).outcome, OrderOutcome::NotSent);
        });
        section("rows that cannot be read are left out of a list", [&] {
            const LeaseRenewalAnswered hold = readLeaseRenewalAnswer(
                call, answerOf(200, R"({"clockMs":9,"born":4,"running":[["a.0.1.2",7,"c",41,3],["?",1,"",0],5],
                    "endedRuns":[[58,"a.0.0.9",1,"done",""],[59,"a.0.0.9",2,"eaten",""]]})"));
            ASSERT_EQ(hold.report.running.size(), 1);
            EXPECT_EQ(taskName(hold.report.running[0].task), "a.0.1.2");
            EXPECT_EQ(hold.report.running[0].load, 3);
            ASSERT_EQ(hold.report.ended.size(), 1);
            EXPECT_EQ(hold.report.ended[0].how, RunEnd::Done);
        });
    });
}

} // namespace radishvane::tests
