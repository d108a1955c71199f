#include "core/cells/cell_controller.h"
#include "tests/support/cell_stories.h"
#include "tests/support/effects.h"
#include "tests/support/story.h"
#include "tests/support/test_store_limits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace radishvane::tests
{

using namespace cells;

namespace
{

/// An entry host that owns a cell, and a store whose writes the test answers.
class WritingOwner
{
public:
    WritingOwner()
        : m_controller(CellId("c"), HostId("a"), 1, Endpoint{}, CellTimes{}, HostCapacity{}, testStoreLimits())
    {
        handle(OwnerObserved{}, Duration{0});
        constexpr int mostTicks = 100;
        for (int tick = 0; tick < mostTicks && !m_write; ++tick) {
            handle(StoreContact{m_now.steady}, Duration{0});
            handle(CellTick{}, Duration(50));
        }
        const auto read = only<ReadCell>(written());
        EXPECT_TRUE(read);
        handle(CellReadDone{read ? read->call : CallId{}, CellContents{}, 0}, Duration(10));
        while (m_write) {
            written();
        }
    }

    CellEffects handle(const CellEvent &event, Duration later)
    {
        m_now.steady += later;
        CellEffects effects = m_controller.handle(event, m_now);
        if (const auto write = only<WriteCell>(effects)) {
            m_write = write;
        }
        return effects;
    }

    /// The store answers the pending write.
    CellEffects written()
    {
        const CallId call = m_write->call;
        m_write.reset();
        return handle(CellWritten{call, CellWriteOutcome::Written, ++m_version, std::nullopt}, Duration(1));
    }

    CellEffects submit(std::uint64_t number)
    {
        return handle(SubmitJob{ExchangeId{number},
                                JobId("j" + std::to_string(number)),
                                QueueId("plans"),
                                {},
                                graphOf(1, 1, 1'000, Duration(300))},
                      Duration{0});
    }

    CellEffects pass(Duration time)
    {
        return handle(CellTick{}, time);
    }

    std::size_t jobsInWrite() const
    {
        return m_write ? m_write->transaction.jobs.size() : 0;
    }

    bool knows(std::uint64_t number) const
    {
        return m_controller.registry().find(JobId("j" + std::to_string(number))) != nullptr;
    }

private:
    CellController m_controller;
    Instant m_now{TimePoint(std::chrono::hours(1'000)), WallTime{}};
    std::optional<WriteCell> m_write;
    std::uint64_t m_version = 0;
};

std::size_t count(const CellEffects &effects, CallAnswer answer)
{
    const auto answers = all<AnswerCall>(effects);
    return static_cast<std::size_t>(
        std::count_if(answers.begin(), answers.end(), [answer](const auto &given) { return given.answer == answer; }));
}

constexpr std::uint64_t burst = 200;

} // namespace

TEST(CellOwner, FillsATransactionWithNewJobsWhenNothingElseHasChanged)
{
    story("a burst of jobs arrives while a write is pending", [] {
        WritingOwner owner;
        owner.submit(1);
        for (std::uint64_t number = 2; number <= burst; ++number) {
            owner.submit(number);
        }
        owner.written();
        EXPECT_EQ(owner.jobsInWrite(), CellWriter::maxRows);
    });
}

TEST(CellOwner, RefusesJobsAtOnceThatItCannotStoreInTime)
{
    story("the writes of an owner take half a second each", [] {
        WritingOwner owner;
        owner.submit(1);
        owner.pass(Duration(500));
        owner.written();
        owner.submit(2);
        std::size_t refused = 0;
        section("of a burst it refuses those that would have to wait for several writes", [&] {
            for (std::uint64_t number = 3; number <= burst; ++number) {
                const CellEffects effects = owner.submit(number);
                refused += count(effects, CallAnswer::Overloaded);
            }
            EXPECT_GT(refused, burst / 2);
            EXPECT_FALSE(owner.knows(burst));
        });
        section("those that the next write takes are accepted", [&] {
            owner.pass(Duration(500));
            std::size_t accepted = count(owner.written(), CallAnswer::Accepted);
            owner.pass(Duration(500));
            accepted += count(owner.written(), CallAnswer::Accepted);
            EXPECT_EQ(accepted + refused, burst - 1);
        });
    });
}

TEST(CellOwner, RefusesAJobForCertainThatItHasNotSentToTheStore)
{
    story("a write of an owner stays without an answer, and another job waits for the next one", [] {
        WritingOwner owner;
        owner.submit(1);
        owner.submit(2);
        const CellEffects late = owner.pass(CellController::storeTimeout + Duration(50));
        section("the job of the pending write is in doubt, the other one is refused", [&] {
            const auto answers = all<AnswerCall>(late);
            ASSERT_EQ(answers.size(), 2U);
            EXPECT_EQ(count(late, CallAnswer::InDoubt), 1U);
            EXPECT_EQ(count(late, CallAnswer::Overloaded), 1U);
        });
        section("the refused job is not accepted afterwards", [&] {
            EXPECT_FALSE(owner.knows(2));
            owner.written();
            EXPECT_EQ(owner.jobsInWrite(), 0U);
        });
    });
}

TEST(CellOwner, KeepsAJobThatMayHaveBeenStored)
{
    story("a write has no answer, and its job is queued again", [] {
        WritingOwner owner;
        const auto write = only<WriteCell>(owner.submit(1));
        ASSERT_TRUE(write);
        owner.handle(CellWritten{write->call, CellWriteOutcome::Unknown, 0, std::nullopt}, Duration(500));
        const CellEffects late = owner.pass(CellController::storeTimeout);
        section("its caller is told that it is in doubt, and it is written again", [&] {
            EXPECT_EQ(count(late, CallAnswer::InDoubt), 1U);
            EXPECT_TRUE(owner.knows(1));
            EXPECT_EQ(owner.jobsInWrite(), 1U);
        });
    });
}

} // namespace radishvane::tests
