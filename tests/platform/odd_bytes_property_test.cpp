#include "drivers/cell_codec.h"
#include "drivers/job_http.h"
#include "platform/caller_wire.h"
#include "platform/operator_wire.h"
#include "platform/worker_wire.h"
#include "tests/support/odd_json.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <random>

namespace radishvane::tests
{

namespace
{

using namespace cells;

constexpr std::array<std::string_view, 7> validTexts{
    R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,"affinity":"r1"},{"count":2,"after":[0]}]})",
    R"({"service":"looms","address":"10.0.0.1:80","zone":"a","slots":8,"state":"ready","machine":"m","born":5,"seqNo":1,
        "capacity":{"cpu":8000,"memMb":1000,"gpus":0},"labels":["a","r1"]})",
    R"({"version":3,"routes":[{"name":"q","host":"h","prefix":"/p/","service":"looms","maxAttempts":3,"stretch":1.5,
        "advice":{"decisionMs":5,"intervalMs":1,"validityMs":100}}],"services":[{"name":"looms","standby":false}],
        "tenants":[{"name":"t","weight":1,"apiKeys":["k"],"cap":{"cpu":10,"memMb":10,"gpus":0}}]})",
    R"({"wave":1,"machines":["m"],"durationS":2.5,"cap":1})",
    R"({"clockMs":9,"born":4,"running":[["a.0.1.2",7,"c",41,3]],"endedRuns":[[58,"a.0.0.9",1,"done",""]]})",
    R"({"good":[["w","ticket"]],"reason":"room","clockMs":5})",
    R"({"state":"done","ran_ms":5,"outcome":"done"})",
};

/// Replaces a part of a valid text by something that does not belong there, or cuts the text.
std::string oddText(std::mt19937 &random)
{
    const auto draw = [&random](std::size_t last) {
        return std::uniform_int_distribution<std::size_t>(0, last)(random);
    };
    static const std::array<std::string, 16> oddValues{
        "18446744073709551615",
        "-9223372036854775808",
        "9007199254740993",
        "1e308",
        "1e999",
        "-1",
        "0.5",
        "null",
        "true",
        "{}",
        "\"\"",
        "\"\xff\xfe\"",
        '"' + std::string(100'000, 'x') + '"',
        nestedList(20),
        nestedList(100'000),
        nestedObject(30),
    };
    std::string text(validTexts[draw(validTexts.size() - 1)]);
    for (std::size_t changes = draw(3) + 1; changes > 0; --changes) {
        const std::size_t colon = text.find_first_of(":[,", draw(text.size() - 1));
        if (colon == std::string::npos) {
            continue;
        }
        const std::size_t end = text.find_first_of(",]}", colon + 1);
        text.replace(colon + 1, end == std::string::npos ? 0 : end - colon - 1, oddValues[draw(oddValues.size() - 1)]);
    }
    if (draw(3) == 0) {
        text.resize(draw(text.size()));
    }
    return text;
}

std::string oddBytes(std::string bytes, std::mt19937 &random)
{
    const auto draw = [&random](std::size_t last) {
        return std::uniform_int_distribution<std::size_t>(0, last)(random);
    };
    for (std::size_t changes = draw(4); changes > 0 && !bytes.empty(); --changes) {
        bytes[draw(bytes.size() - 1)] = static_cast<char>(draw(255));
    }
    if (draw(2) == 0) {
        bytes.resize(draw(bytes.size()));
    }
    return bytes;
}

/// Decodes with each decoder of rows and messages between entry hosts.
void decodeAll(const std::string &bytes)
{
    (void)drivers::decodeOwnerRow(bytes);
    (void)drivers::decodeJobRow(bytes);
    (void)drivers::decodeProgressRow(bytes);
    (void)drivers::decodeRosterRow(bytes);
    (void)drivers::decodeWaveRow(bytes);
    (void)drivers::decodeHostOrdersRow(bytes);
    (void)drivers::decodeReleaseRow(bytes);
    (void)drivers::decodeQuestion(bytes);
    (void)drivers::decodeAnswer(bytes);
}

} // namespace

RC_GTEST_PROP(OddBytes, EndNoReaderOfJson, (std::uint32_t seed))
{
    std::mt19937 random(seed);
    const std::string text = oddText(random);
    const CallId call{1};
    for (const int status : {200, 409}) {
        const drivers::HttpOutcome answer = drivers::HttpAnswer{status, {}, text};
        (void)platform::readOrderAnswer(call, answer);
        (void)platform::readLeaseRenewalAnswer(call, answer);
        (void)platform::readAdmission(call, answer);
        (void)drivers::readWorkerOutcome(WorkerCallId{1}, answer);
    }
    (void)platform::readSiteConfig(text);
    (void)platform::readWave(text);
    (void)platform::readWorkerEntry("w", text);
    const auto graph = platform::readGraph(text);
    if (graph) {
        cells::JobRow row;
        row.spec = graph.value();
        RC_ASSERT(drivers::encodeRow(row).size() <= 65'536U);
    } else {
        RC_ASSERT(platform::badBodyAnswer(graph.error()).status == drivers::httpStatus::badRequest);
    }
}

RC_GTEST_PROP(OddBytes, EndNoReaderOfRowsAndPeerMessages, (std::uint32_t seed))
{
    std::mt19937 random(seed);
    cells::JobRow job;
    job.id = JobId("j1");
    job.spec.payload = "x";
    job.spec.steps.resize(3);
    ProgressRow progress;
    progress.id = job.id;
    progress.open[0] = {std::vector<TaskProgress>(4)};
    ReleaseRow release;
    release.workers.push_back(ReleasedWorker{WorkerId("w"), Duration(5)});
    release.steps.push_back(ReleasedStep{job.id, 0, 0, {ReleasedTask{0, 0}}});
    for (const std::string &valid : {drivers::encodeRow(job), drivers::encodeRow(progress), drivers::encodeRow(release),
                                     drivers::encodeAnswer(AnswerCall{})}) {
        decodeAll(oddBytes(valid, random));
    }
}

} // namespace radishvane::tests
