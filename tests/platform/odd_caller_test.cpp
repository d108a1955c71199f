#include "core/cells/job_registry.h"
#include "drivers/cell_codec.h"
#include "platform/caller_wire.h"
#include "tests/support/odd_json.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;
using namespace platform;

TEST(CallerBody, DoesNotEndTheHostWhenItIsNestedDeeply)
{
    story("a caller nests the payload of a job", [] {
        for (const std::size_t depth : {60'000, 500'000}) {
            section("as a list of depth " + std::to_string(depth), [&] {
                const auto spec = readGraph(R"({"spec":)" + nestedList(depth) + R"(,"steps":[{"count":1}]})");
                ASSERT_FALSE(spec);
                EXPECT_LT(spec.error().size(), 200);
            });
        }
        section("as an object", [] { EXPECT_FALSE(readGraph(R"({"spec":)" + nestedObject(150'000) + "}")); });
        section("without an end", [] { EXPECT_FALSE(readGraph(std::string(1 << 20, '['))); });
    });
}

TEST(CallerBody, IsRefusedWhenAWrongValueHasLongTextBeyondAscii)
{
    story("a caller sends a text of two-byte letters where a list belongs", [] {
        for (std::size_t letters = 25; letters < 35; ++letters) {
            std::string text;
            for (std::size_t letter = 0; letter < letters; ++letter) {
                text += "\xc3\xa4";
            }
            for (const std::string before : {"", "a"}) {
                section("of " + std::to_string(letters) + " letters after '" + before + "'", [&] {
                    const auto spec = readGraph(R"({"steps":")" + before + text + R"("})");
                    ASSERT_FALSE(spec);
                    EXPECT_EQ(badBodyAnswer(spec.error()).status, drivers::httpStatus::badRequest);
                });
            }
        }
    });
}

TEST(CallerBody, IsRefusedWhenAJobCannotBeStored)
{
    const auto isRefusedOrStorable = [](const std::string &body) {
        const auto spec = readGraph(body);
        if (!spec) {
            return true;
        }
        JobRow row;
        row.spec = spec.value();
        return drivers::encodeRow(row).size() <= 65'536;
    };
    story("a caller sends a job", [&] {
        section("whose step lists 100,000 earlier steps", [&] {
            std::string after = "0";
            for (int entry = 1; entry < 100'000; ++entry) {
                after += ",0";
            }
            EXPECT_TRUE(isRefusedOrStorable(R"({"steps":[{"count":1},{"count":1,"after":[)" + after + "]}]}"));
        });
        section("whose label has 200,000 letters", [&] {
            EXPECT_TRUE(
                isRefusedOrStorable(R"({"steps":[{"count":1,"constraints":")" + std::string(200'000, 'x') + R"("}]})"));
        });
        section("of 4,096 tasks, whose progress is a row too", [&] {
            const auto spec = readGraph(R"({"steps":[{"count":4096}]})");
            ProgressRow progress;
            progress.open[0] = {std::vector<TaskProgress>(4'096)};
            EXPECT_TRUE(!spec || drivers::encodeRow(progress).size() <= 65'536);
        });
        section("of 256 steps that each wait for all earlier ones", [&] {
            std::string steps;
            std::string after;
            for (int step = 0; step < 256; ++step) {
                steps += (step > 0 ? "," : "") + (R"({"count":1,"after":[)" + after + "]}");
                after += (step > 0 ? "," : "") + std::to_string(step);
            }
            EXPECT_TRUE(isRefusedOrStorable(R"({"steps":[)" + steps + "]}"));
        });
    });
}

TEST(CallerBody, CannotOpenMoreOccurrencesThanARowHolds)
{
    story("a caller submits a job of which a thousand million occurrences are due at once", [] {
        const auto spec = readGraph(R"({"steps":[{"count":1}],"repeatCount":1000000000,"startAtMs":0,"periodMs":1})");
        ASSERT_TRUE(spec);
        JobRegistry registry;
        JobRow row;
        row.id = JobId("j1");
        row.spec = spec.value();
        const Instant now{TimePoint{}, WallTime(std::chrono::hours(24 * 365 * 50))};
        Job &job = registry.add(row, now.steady);
        registry.openDueOccurrences(job, now);
        section("the open ones fit into the row of its progress", [&] {
            EXPECT_GT(job.open.size(), 100);
            EXPECT_LE(drivers::encodeRow(registry.progressRow(job, TimePoint{})).size(), 65'536);
        });
        section("the next one opens when the first has ended", [&] {
            const std::size_t open = job.open.size();
            cells::Run run;
            run.number = 1;
            run.worker = WorkerId("w1");
            registry.begin(TaskId{row.id, 0, 0, 0}, run);
            registry.end(TaskId{row.id, 0, 0, 0}, 1, RunEnd::Done, 1, now.steady);
            registry.openDueOccurrences(job, now);
            EXPECT_EQ(job.open.begin()->first, 1);
            EXPECT_EQ(job.open.size(), open);
        });
        section("a worker that lists a task of a late occurrence opens no more", [&] {
            const std::size_t open = job.open.size();
            job.inherited = true;
            registry.openInheritedOccurrence(TaskId{row.id, 900'000'000, 0, 0});
            EXPECT_EQ(job.open.size(), open);
        });
    });
}

} // namespace radishvane::tests
