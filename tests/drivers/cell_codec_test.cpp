#include "drivers/cell_codec.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;
using namespace drivers;

TEST(CellCodec, CarriesTheQuestionsOfEntryHosts)
{
    story("an entry host sends a question to the owner of the cell", [] {
        section("a request for a handover arrives unchanged", [] {
            const auto decoded
                = decodeQuestion(encodeQuestion(RequestHandover{ExchangeId{7}, HostId("entry-a"), 0.75, 12}));
            ASSERT_TRUE(decoded);
            const auto &request = std::get<RequestHandover>(decoded.value());
            EXPECT_EQ(request.exchange, ExchangeId{7});
            EXPECT_EQ(request.host, HostId("entry-a"));
            EXPECT_EQ(request.fitness, 0.75);
            EXPECT_EQ(request.epoch, 12);
        });
        section("each question keeps its position in the encoding", [] {
            // The first byte is the byte order, the next ones are the position.
            const std::vector<LinkQuestion> questions{SubmitJob{}, QueryJob{}, CancelJob{}, QueryPending{},
                                                      RequestHandover{}};
            for (std::size_t position = 0; position < questions.size(); ++position) {
                EXPECT_EQ(static_cast<std::size_t>(encodeQuestion(questions[position]).at(1)), position);
            }
        });
        section("a question of an unknown kind is refused", [] {
            std::string bytes = encodeQuestion(RequestHandover{});
            bytes.at(1) = 99;
            const auto decoded = decodeQuestion(bytes);
            ASSERT_FALSE(decoded);
            EXPECT_EQ(decoded.error().code, CellCodecError::Malformed);
        });
        section("the owner's answer that it keeps the cell arrives unchanged", [] {
            const auto decoded = decodeAnswer(encodeAnswer(AnswerCall{ExchangeId{7}, CallAnswer::Declined, {}, 0, {}}));
            ASSERT_TRUE(decoded);
            EXPECT_EQ(decoded.value().answer, CallAnswer::Declined);
        });
    });
}

TEST(CellCodec, CarriesTheStartsWithoutAnAnswer)
{
    story("an owner stores the progress of a job with starts that have no answer", [] {
        ProgressRow row;
        row.id = JobId("j");
        row.open[0] = {{TaskProgress{}}};
        const std::string without = encodeRow(row);
        row.lateStarts.push_back(LateStart{0, 1, 2, 10'001, WorkerId("w"), Duration(7'000)});
        const std::string with = encodeRow(row);
        section("they arrive unchanged", [&] {
            const auto decoded = decodeProgressRow(with);
            ASSERT_TRUE(decoded);
            ASSERT_EQ(decoded.value().lateStarts.size(), 1);
            const LateStart &start = decoded.value().lateStarts.front();
            EXPECT_EQ(start.step, 1);
            EXPECT_EQ(start.index, 2);
            EXPECT_EQ(start.run, 10'001);
            EXPECT_EQ(start.worker, WorkerId("w"));
            EXPECT_EQ(start.left, Duration(7'000));
        });
        section("they follow the fields that earlier versions read", [&] {
            EXPECT_EQ(with.substr(0, without.size()), without);
            EXPECT_EQ(encodedSize(row), with.size());
        });
        section("a row of an earlier version names none", [&] {
            const auto decoded = decodeProgressRow(without);
            ASSERT_TRUE(decoded);
            EXPECT_TRUE(decoded.value().lateStarts.empty());
        });
        section("a row that ends within them is refused",
                [&] { EXPECT_FALSE(decodeProgressRow(std::string_view(with).substr(0, with.size() - 1))); });
    });
}

TEST(CellCodec, CarriesTheRecordedStarts)
{
    story("an owner stores the progress of a job with three starts on two workers", [] {
        ProgressRow row;
        row.id = JobId("j");
        row.open[0] = {{TaskProgress{}, TaskProgress{}, TaskProgress{}}};
        const std::string without = encodeRow(row);
        row.starts = {RecordedStart{0, 0, 0, 1, WorkerId("w1"), true}, RecordedStart{0, 0, 1, 2, WorkerId("w2"), false},
                      RecordedStart{0, 0, 2, 10'001, WorkerId("w1"), false}};
        const std::string with = encodeRow(row);
        section("they arrive unchanged, with and without late starts", [&] {
            const auto decoded = decodeProgressRow(with);
            ASSERT_TRUE(decoded);
            EXPECT_EQ(decoded.value().starts, row.starts);
            EXPECT_TRUE(decoded.value().lateStarts.empty());
            ProgressRow late = row;
            late.lateStarts.push_back(LateStart{0, 0, 2, 10'001, WorkerId("w1"), Duration(7'000)});
            const auto both = decodeProgressRow(encodeRow(late));
            ASSERT_TRUE(both);
            EXPECT_EQ(both.value().starts, row.starts);
            EXPECT_EQ(both.value().lateStarts.size(), 1);
        });
        section("they follow the fields that earlier versions read", [&] {
            EXPECT_EQ(with.substr(0, without.size()), without);
            EXPECT_EQ(encodedSize(row), with.size());
        });
        section("a row that ends within them is refused",
                [&] { EXPECT_FALSE(decodeProgressRow(std::string_view(with).substr(0, with.size() - 1))); });
    });
    story("an owner stores since when starts are recorded", [] {
        OwnerRow row{HostId("a"), 1, Endpoint{"127.0.0.1", 1}, 7};
        const std::string without = encodeRow(row);
        row.startsRecordedSince = 5;
        const std::string with = encodeRow(row);
        section("it arrives, behind the fields that earlier versions read", [&] {
            const auto decoded = decodeOwnerRow(with);
            ASSERT_TRUE(decoded);
            EXPECT_EQ(decoded.value(), row);
            EXPECT_EQ(with.substr(0, without.size()), without);
        });
        section("a row of an earlier version says that none are", [&] {
            const auto decoded = decodeOwnerRow(without);
            ASSERT_TRUE(decoded);
            EXPECT_EQ(decoded.value().startsRecordedSince, 0);
        });
    });
}

TEST(CellCodec, CarriesTheWorkersThatMayHoldTheLongestLease)
{
    story("an owner stores a list of workers of which one has restarted", [] {
        RosterRow row;
        row.workers = {KnownWorker{WorkerId("w1"), HostId("h1"), PoolId("looms"), Endpoint{"127.0.0.1", 1}, 7, false},
                       KnownWorker{WorkerId("w2"), HostId("h2"), PoolId("looms"), Endpoint{"127.0.0.1", 2}, 8, false}};
        const std::string without = encodeRow(row);
        row.workers[1].mayHoldLongestLease = true;
        const std::string with = encodeRow(row);
        section("the list arrives unchanged", [&] {
            const auto decoded = decodeRosterRow(with);
            ASSERT_TRUE(decoded);
            EXPECT_EQ(decoded.value().workers, row.workers);
        });
        section("earlier versions read the list without it", [&] {
            EXPECT_EQ(with.substr(0, without.size()), without);
            EXPECT_FALSE(decodeRosterRow(without).value().workers[1].mayHoldLongestLease);
        });
        section("a position beyond the list is refused", [&] {
            row.workers[0].mayHoldLongestLease = true;
            std::string bytes = encodeRow(row);
            bytes.back() = '\x7f';
            bytes[bytes.size() - 4] = '\x7f';
            EXPECT_FALSE(decodeRosterRow(bytes));
        });
    });
}

TEST(CellCodec, CarriesTheHostsWithOrders)
{
    story("an owner stores the hosts for which it sends orders", [] {
        section("the row arrives unchanged", [] {
            const auto decoded = decodeHostOrdersRow(encodeRow(HostOrdersRow{{HostId("h-1"), HostId("h-2")}}));
            ASSERT_TRUE(decoded);
            EXPECT_EQ(decoded.value().hosts, (std::vector<HostId>{HostId("h-1"), HostId("h-2")}));
        });
        section("a row without hosts arrives unchanged", [] {
            const auto decoded = decodeHostOrdersRow(encodeRow(HostOrdersRow{}));
            ASSERT_TRUE(decoded);
            EXPECT_TRUE(decoded.value().hosts.empty());
        });
        section("a truncated row is refused", [] {
            const std::string bytes = encodeRow(HostOrdersRow{{HostId("h-1")}});
            EXPECT_FALSE(decodeHostOrdersRow(std::string_view(bytes).substr(0, bytes.size() - 2)));
        });
    });
}

TEST(CellCodec, CarriesWhatAnOwnerKnowsAtItsRelease)
{
    story("an owner releases the cell while one service task waits and another one runs", [] {
        ReleaseRow row;
        row.epoch = 7;
        row.workers = {ReleasedWorker{WorkerId("w-1"), Duration{4'321}}};
        row.steps = {ReleasedStep{JobId("j1"), 0, 1, {ReleasedTask{0}, ReleasedTask{2, 0}}}};
        const std::string bytes = encodeRow(row);
        section("the row arrives unchanged", [&] {
            const auto decoded = decodeReleaseRow(bytes);
            ASSERT_TRUE(decoded);
            EXPECT_EQ(decoded.value().epoch, 7);
            ASSERT_EQ(decoded.value().workers.size(), 1);
            EXPECT_EQ(decoded.value().workers[0].id, WorkerId("w-1"));
            EXPECT_EQ(decoded.value().workers[0].leaseLeft, Duration{4'321});
            ASSERT_EQ(decoded.value().steps.size(), 1);
            const ReleasedStep &step = decoded.value().steps[0];
            EXPECT_EQ(step.job, JobId("j1"));
            EXPECT_EQ(step.step, 1);
            ASSERT_EQ(step.tasks.size(), 2);
            EXPECT_EQ(step.tasks[0].worker, ReleasedTask::nowhere);
            EXPECT_EQ(step.tasks[1].index, 2);
            EXPECT_EQ(step.tasks[1].worker, 0);
        });
        section("a truncated row is refused",
                [&] { EXPECT_FALSE(decodeReleaseRow(std::string_view(bytes).substr(0, bytes.size() - 2))); });
    });
}

TEST(CellCodec, CarriesTheFailedRunsOfATask)
{
    story("an owner stores the progress of a task that has failed twice", [] {
        ProgressRow row;
        row.id = JobId("j1");
        TaskProgress task;
        task.failedRuns = {1, 10'001};
        task.endedRun = 10'001;
        task.checkpoint = "c";
        row.open[0] = {{task}};
        section("the next owner reads the numbers of both runs", [&] {
            const auto decoded = decodeProgressRow(encodeRow(row));
            ASSERT_TRUE(decoded);
            EXPECT_EQ(decoded.value().open, row.open);
        });
    });
}

TEST(CellCodec, RefusesBytesThatAreNoFlagOrEnumerator)
{
    const auto withByte = [](std::string bytes, std::size_t position, char value) {
        bytes.at(position) = value;
        return bytes;
    };
    // The first byte of a message is the byte order. A number of 32 bits precedes each text.
    story("a row or a message arrives with one damaged byte", [&] {
        section("a progress row with a state that has no name", [&] {
            ProgressRow row;
            row.state = GraphState::Cancelled;
            const std::string bytes = encodeRow(row);
            const std::size_t state = bytes.find(static_cast<char>(GraphState::Cancelled));
            EXPECT_TRUE(decodeProgressRow(bytes));
            EXPECT_FALSE(decodeProgressRow(withByte(bytes, state, 5)));
            EXPECT_FALSE(decodeProgressRow(withByte(bytes, state + 3, '\x80')));
            section("or a flag that is neither 0 nor 1",
                    [&] { EXPECT_FALSE(decodeProgressRow(withByte(bytes, state + 4, 2))); });
        });
        section("a wave row with such a flag", [&] {
            WaveRow row;
            row.completed = true;
            const std::string bytes = encodeRow(row);
            const std::size_t flag = 1 + sizeof(row.number);
            EXPECT_TRUE(decodeWaveRow(bytes));
            EXPECT_FALSE(decodeWaveRow(withByte(bytes, flag, 7)));
        });
        section("an answer with a result or a state that has no name", [&] {
            const std::string bytes = encodeAnswer(AnswerCall{});
            const std::size_t result = 1 + sizeof(ExchangeId::value);
            EXPECT_TRUE(decodeAnswer(bytes));
            EXPECT_FALSE(decodeAnswer(withByte(bytes, result, 99)));
            EXPECT_FALSE(decodeAnswer(withByte(bytes, result + 4, 99)));
        });
        section("a job with a flag of a step that is neither 0 nor 1", [&] {
            SubmitJob question;
            question.spec.steps.resize(1);
            question.spec.steps[0].gang = true;
            const std::string bytes = encodeQuestion(question);
            const std::size_t flag = bytes.rfind('\x01');
            EXPECT_TRUE(decodeQuestion(bytes));
            EXPECT_FALSE(decodeQuestion(withByte(bytes, flag, 3)));
        });
        section("a job that was accepted outside the range of times", [&] {
            cells::JobRow row;
            row.accepted = WallTime(Duration::max());
            EXPECT_FALSE(decodeJobRow(encodeRow(row)));
        });
    });
}

} // namespace radishvane::tests
