#include "core/cells/cell_messages.h"
#include "drivers/event_log.h"
#include "drivers/log_trace.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace radishvane::tests
{

namespace
{

using namespace drivers;

std::vector<LogRecord> recordsOf(const std::vector<std::string> &lines)
{
    std::vector<LogRecord> records;
    for (const std::string &line : lines) {
        if (auto record = readLogRecord(line)) {
            records.push_back(*record);
        }
    }
    return records;
}

} // namespace

TEST(LogTrace, TellsTheStoryOfAJobFromTheLogsOfSeveralHosts)
{
    story("lines of two hosts, out of order, among lines about other jobs", [] {
        const std::vector<LogRecord> records = recordsOf({
            R"({"ts":1300,"level":"info","host":"b","event":"task-ended","subject":"j1.0.0.0","worker":"w1","reason":"done"})",
            R"({"ts":1000,"level":"info","host":"a","event":"call-refused","subject":"/plans/j1","reason":"not-ready"})",
            R"(   0.1 b {"ts":1100,"level":"info","host":"b","event":"job-accepted","subject":"j1","worker":"q"})",
            R"({"ts":1150,"level":"info","host":"b","event":"task-started","subject":"j1.0.0.0","worker":"w1"})",
            R"({"ts":1150,"level":"info","host":"b","event":"task-started","subject":"j11.0.0.0","worker":"w2"})",
            R"({"ts":1200,"level":"info","host":"b","event":"worker-lost","subject":"w1"})",
            R"({"ts":1200,"level":"info","host":"b","event":"worker-lost","subject":"w2"})",
            R"({"ts":1250,"level":"info","host":"a","event":"ownership-taken","subject":"c0"})",
            R"({"ts":9000,"level":"info","host":"a","event":"ownership-taken","subject":"c0"})",
            "no JSON at all",
            R"({"ts":"a text","event":"job-accepted","subject":"j1"})",
        });
        section("the job's own lines, its worker's and the owner's come by time", [&] {
            const LogTrace trace = traceOf("j1", records);
            std::vector<std::string> events;
            for (const LogRecord &record : trace.records) {
                events.push_back(record.event);
            }
            EXPECT_EQ(events,
                      (std::vector<std::string>{"call-refused", "job-accepted", "task-started", "worker-lost",
                                                "ownership-taken", "task-ended"}));
            EXPECT_EQ(trace.own, 4);
        });
        section("an id that no line is about has no trace", [&] { EXPECT_EQ(traceOf("j2", records).own, 0); });
    });
}

TEST(LogEvents, AreAllOnTheirPage)
{
    std::ifstream page(RADISHVANE_DOCS_FOLDER "/LOG-EVENTS.md");
    std::stringstream text;
    text << page.rdbuf();
    const std::string content = text.str();
    for (const std::string_view name : hostEventNames) {
        EXPECT_NE(content.find("| `" + std::string(name) + "` |"), std::string::npos) << name;
    }
    for (const std::string_view name : cells::cellDecisionNames) {
        EXPECT_NE(content.find("| `" + std::string(name) + "` |"), std::string::npos) << name;
    }
}

} // namespace radishvane::tests
