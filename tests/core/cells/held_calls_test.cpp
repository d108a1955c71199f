#include "core/cells/cell_controller.h"
#include "tests/support/cell_stories.h"
#include "tests/support/effects.h"
#include "tests/support/story.h"
#include "tests/support/test_store_limits.h"

#include <gtest/gtest.h>

#include <string>

namespace radishvane::tests
{

using namespace cells;

namespace
{

constexpr ExchangeId firstExchange{1};
constexpr ExchangeId secondExchange{2};

/// An entry host that has taken a cell and has not read its rows.
class RebuildingOwner
{
public:
    RebuildingOwner()
        : m_controller(CellId("c"), HostId("a"), 1, Endpoint{}, CellTimes{}, HostCapacity{}, testStoreLimits())
    {
        handle(OwnerObserved{}, Duration{0});
        std::optional<WriteCell> takeover;
        constexpr int mostTicks = 100;
        for (int tick = 0; tick < mostTicks && !takeover; ++tick) {
            handle(StoreContact{m_now.steady}, Duration{0});
            takeover = only<WriteCell>(handle(CellTick{}, Duration(50)));
        }
        const auto read = takeover ? only<ReadCell>(written(takeover->call)) : std::nullopt;
        EXPECT_TRUE(read);
        m_read = read ? read->call : CallId{};
    }

    CellEffects handle(const CellEvent &event, Duration later)
    {
        m_now.steady += later;
        return m_controller.handle(event, m_now);
    }

    CellEffects written(CallId call)
    {
        return handle(CellWritten{call, CellWriteOutcome::Written, ++m_version, std::nullopt}, Duration(10));
    }

    CellEffects submit(ExchangeId exchange, const std::string &job)
    {
        return handle(SubmitJob{exchange, JobId(job), QueueId("plans"), {}, graphOf(1, 1, 1'000, Duration(300))},
                      Duration(10));
    }

    CellEffects finishRead(Duration later)
    {
        return handle(CellReadDone{m_read, CellContents{}, 0}, later);
    }

private:
    CellController m_controller;
    Instant m_now{TimePoint(std::chrono::hours(1'000)), WallTime{}};
    CallId m_read;
    std::uint64_t m_version = 0;
};

} // namespace

TEST(CellOwner, AnswersCallersThatArriveWhileItRebuildsItsState)
{
    story("callers reach a new owner that reads the rows of its cell", [] {
        RebuildingOwner owner;
        section("they are not refused", [&] {
            EXPECT_TRUE(all<AnswerCall>(owner.submit(firstExchange, "j1")).empty());
            EXPECT_TRUE(
                all<AnswerCall>(owner.handle(QueryJob{secondExchange, JobId("unknown")}, Duration(10))).empty());
        });
        const CellEffects rebuilt = owner.finishRead(Duration(300));
        section("a query is answered as soon as the rows are read", [&] {
            const auto answer = only<AnswerCall>(rebuilt);
            ASSERT_TRUE(answer);
            EXPECT_EQ(answer->exchange, secondExchange);
            EXPECT_EQ(answer->answer, CallAnswer::NoSuchJob);
        });
        section("a job is accepted as soon as it is stored", [&] {
            const auto write = only<WriteCell>(rebuilt);
            ASSERT_TRUE(write);
            const auto answer = only<AnswerCall>(owner.written(write->call));
            ASSERT_TRUE(answer);
            EXPECT_EQ(answer->exchange, firstExchange);
            EXPECT_EQ(answer->answer, CallAnswer::Accepted);
        });
    });
}

TEST(CellOwner, HoldsNoCallerThroughALongRebuild)
{
    story("the rows of a cell arrive late", [] {
        RebuildingOwner owner;
        owner.submit(firstExchange, "j1");
        section("a caller that waits is refused", [&] {
            const auto answer = only<AnswerCall>(owner.handle(CellTick{}, HeldCalls::patience));
            ASSERT_TRUE(answer);
            EXPECT_EQ(answer->exchange, firstExchange);
            EXPECT_EQ(answer->answer, CallAnswer::Unavailable);
        });
        section("later ones are refused at once", [&] {
            const auto answer = only<AnswerCall>(owner.submit(secondExchange, "j2"));
            ASSERT_TRUE(answer);
            EXPECT_EQ(answer->answer, CallAnswer::Unavailable);
        });
        section("no refused job is accepted afterwards", [&] {
            const CellEffects rebuilt = owner.finishRead(Duration(300));
            EXPECT_TRUE(only<CellRebuilt>(rebuilt));
            EXPECT_TRUE(all<AnswerCall>(rebuilt).empty());
        });
    });
}

TEST(CellOwner, RefusesWaitingCallersWhenItIsStoppedDuringARebuild)
{
    story("an owner that reads the rows of its cell is asked to stop", [] {
        RebuildingOwner owner;
        owner.submit(firstExchange, "j1");
        const CellEffects stopping = owner.handle(CellStop{}, Duration(10));
        section("a caller that waits is refused at once", [&] {
            const auto answer = only<AnswerCall>(stopping);
            ASSERT_TRUE(answer);
            EXPECT_EQ(answer->exchange, firstExchange);
            EXPECT_EQ(answer->answer, CallAnswer::Unavailable);
        });
        section("it releases the cell and rebuilds nothing", [&] {
            const auto release = only<WriteCell>(stopping);
            ASSERT_TRUE(release);
            EXPECT_TRUE(release->transaction.owner && release->transaction.owner->host.empty());
            owner.written(release->call);
            EXPECT_FALSE(only<CellRebuilt>(owner.finishRead(Duration(50))));
        });
    });
}

TEST(HeldCalls, AreLimitedInNumberAndInSize)
{
    story("a new owner is sent more calls than it holds", [] {
        HeldCalls calls;
        section("a job whose payload is too long is not held", [&] {
            SubmitJob job;
            job.spec.payload.assign(HeldCalls::maxPayloadBytes + 1, 'x');
            EXPECT_FALSE(calls.mayAdd(job));
        });
        section("the number is limited", [&] {
            std::size_t held = 0;
            for (; calls.mayAdd(QueryJob{}) && held <= HeldCalls::maxCalls; ++held) {
                calls.add(QueryJob{});
            }
            EXPECT_EQ(held, HeldCalls::maxCalls);
        });
        section("there is room again after they were taken", [&] {
            EXPECT_EQ(calls.take().size(), HeldCalls::maxCalls);
            EXPECT_TRUE(calls.mayAdd(QueryJob{}));
        });
    });
}

} // namespace radishvane::tests
