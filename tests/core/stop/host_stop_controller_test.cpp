#include "core/stop/host_stop_controller.h"

#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

namespace
{

constexpr TimePoint begin{};
constexpr HostStopTimes times{Duration{2'500}, Duration{2'200}, Duration{800}};

/// A controller with a clock of its own.
class Stop
{
public:
    explicit Stop(HostStopTimes stages = times) : m_controller(stages)
    {
    }

    void at(Duration time)
    {
        m_now = begin + time;
        handle(HostStopTick{});
    }

    void handle(const HostStopEvent &event)
    {
        for (const StopStageEntered &entered : m_controller.handle(event, m_now)) {
            m_stage = entered.stage;
        }
    }

    void releaseAll()
    {
        handle(RightsReleased{});
        handle(JobsHandedBack{});
    }

    StopStage stage() const
    {
        return m_stage;
    }

private:
    HostStopController m_controller;
    TimePoint m_now = begin;
    StopStage m_stage = StopStage::Serving;
};

} // namespace

TEST(HostStopTimes, FitIntoTheGracePeriod)
{
    constexpr Duration balancerDelay{2'500};
    constexpr Duration longestCall{2'200};
    section("a usual period holds the balancer's delay, the longest call and a release", [&] {
        const HostStopTimes stages = HostStopTimes::within(Duration{6'000}, balancerDelay, longestCall);
        EXPECT_EQ(stages.leave, balancerDelay);
        EXPECT_EQ(stages.finish, longestCall);
        EXPECT_GT(stages.release, Duration{0});
    });
    for (const Duration grace : {Duration{100}, Duration{1'000}, Duration{3'000}, Duration{6'000}, Duration{60'000}}) {
        section("all stages of a stop within " + std::to_string(grace.count()) + " ms end before its end", [&] {
            const HostStopTimes stages = HostStopTimes::within(grace, balancerDelay, longestCall);
            EXPECT_LT(stages.leave + stages.finish + stages.release, grace);
            EXPECT_GT(stages.leave, Duration{0});
            EXPECT_GT(stages.finish, Duration{0});
            EXPECT_GT(stages.release, Duration{0});
        });
    }
}

TEST(HostStopController, FinishesCallsThatTheStoppingHostHasTaken)
{
    story("a host that serves gets the signal", [] {
        Stop stop;
        stop.handle(StopSignalled{});
        section("it leaves until the balancer has noticed", [&] {
            EXPECT_EQ(stop.stage(), StopStage::Leaving);
            stop.at(Duration{2'499});
            EXPECT_EQ(stop.stage(), StopStage::Leaving);
            stop.at(Duration{2'500});
            EXPECT_EQ(stop.stage(), StopStage::Finishing);
        });
        section("the longest call that it took at last may still finish", [&] {
            stop.handle(OpenCallsCounted{1});
            stop.at(Duration{4'699});
            EXPECT_EQ(stop.stage(), StopStage::Finishing);
            stop.at(Duration{4'700});
            EXPECT_EQ(stop.stage(), StopStage::Releasing);
        });
        section("all is released, but the process does not end before the open calls are answered", [&] {
            stop.releaseAll();
            EXPECT_EQ(stop.stage(), StopStage::Releasing);
            stop.handle(OpenCallsAnswered{});
            EXPECT_EQ(stop.stage(), StopStage::Stopped);
        });
    });
}

TEST(HostStopController, GoesOnEarlyWhenNoCallIsOpen)
{
    story("a host without calls gets the signal", [] {
        Stop stop;
        stop.handle(StopSignalled{});
        stop.at(Duration{2'500});
        section("it waits for one count of open calls, and not for the bound", [&] {
            stop.at(Duration{3'099});
            EXPECT_EQ(stop.stage(), StopStage::Finishing);
            stop.at(Duration{3'100});
            EXPECT_EQ(stop.stage(), StopStage::Releasing);
        });
    });
}

TEST(HostStopController, LeavesTimeForTheLastAnswersOfAShortStop)
{
    story("a stop that is too short for the balancer's delay and the longest call", [] {
        const HostStopTimes stages = HostStopTimes::within(Duration{3'000}, Duration{2'500}, Duration{2'200});
        Stop stop(stages);
        stop.handle(StopSignalled{});
        stop.at(stages.leave);
        stop.handle(OpenCallsCounted{3});
        stop.at(stages.leave + stages.finish);
        ASSERT_EQ(stop.stage(), StopStage::Releasing);
        section("the next event does not end the process while the answers are being written", [&] {
            stop.handle(OpenCallsCounted{3});
            EXPECT_EQ(stop.stage(), StopStage::Releasing);
        });
    });
}

TEST(HostStopController, EndsInTimeWhenNothingIsReleased)
{
    story("neither the platform nor a caller takes anything", [] {
        Stop stop;
        stop.handle(StopSignalled{});
        stop.at(Duration{2'500});
        stop.handle(OpenCallsCounted{3});
        stop.at(Duration{4'700});
        stop.at(Duration{5'499});
        EXPECT_EQ(stop.stage(), StopStage::Releasing);
        section("the process ends by the sum of the bounds", [&] {
            stop.at(Duration{5'500});
            EXPECT_EQ(stop.stage(), StopStage::Stopped);
        });
    });
}

TEST(HostStopController, IgnoresARepeatedSignal)
{
    Stop stop;
    stop.handle(StopSignalled{});
    stop.at(Duration{2'500});
    stop.handle(StopSignalled{});
    EXPECT_EQ(stop.stage(), StopStage::Finishing);
}

} // namespace radishvane::tests
