#include "core/cells/start_pacer.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

namespace
{

using namespace cells;

constexpr std::size_t payloadBytes = 3'000;
constexpr HostCapacity smallHost{0.12, 10};

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1'000)) + Duration(milliseconds);
}

/// Sends as many orders as the pacer allows, at most @p limit every 20 ms.
std::size_t ordersBetween(StartPacer &pacer, int begin, int end, std::size_t limit = 1'000'000)
{
    std::size_t orders = 0;
    for (int now = begin; now < end; now += 20) {
        for (std::size_t sent = 0; sent < limit && pacer.mayStart(at(now)); ++sent) {
            pacer.take(payloadBytes);
            ++orders;
        }
    }
    return orders;
}

/// Orders that @p part of the link of @p host carries in one second.
std::size_t ordersPerSecond(const HostCapacity &host, double part)
{
    return static_cast<std::size_t>(host.linkMbps * 125'000 * part / StartPacer::orderBytes(payloadBytes));
}

} // namespace

TEST(StartPacer, LimitsStartsToAShareOfTheLink)
{
    story("an owner on a host with a link of 10 Mbit/s and more tasks than it can start", [] {
        StartPacer pacer(smallHost);
        const std::size_t most = ordersPerSecond(smallHost, StartPacer::linkShare);
        section("it begins below its share of the link, and a burst is a small part of a second",
                [&] { EXPECT_LE(ordersBetween(pacer, 0, 20), most / 10); });
        section("it reaches its share within the recovery time, and does not exceed it", [&] {
            ordersBetween(pacer, 20, 11'000);
            const std::size_t sent = ordersBetween(pacer, 11'000, 12'000);
            EXPECT_LE(sent, most + 1);
            EXPECT_GE(sent, most * 9 / 10);
        });
        section("an idle time allows no more than one burst",
                [&] { EXPECT_LE(ordersBetween(pacer, 60'000, 60'020), most / 10 + 1); });
        section("a large order is sent, and the next ones wait until the link has carried it", [&] {
            ASSERT_TRUE(pacer.mayStart(at(70'000)));
            pacer.take(1'000'000);
            EXPECT_FALSE(pacer.mayStart(at(70'000)));
            EXPECT_FALSE(pacer.mayStart(at(70'000) + pacer.pause() - Duration(1)));
            EXPECT_TRUE(pacer.mayStart(at(70'000) + Duration(1'600)));
        });
    });
}

TEST(StartPacer, SlowsDownOnSignsOfCongestionAndRecovers)
{
    story("an owner at the highest rate of a small host", [] {
        const std::size_t most = ordersPerSecond(smallHost, StartPacer::linkShare);
        StartPacer pacer(smallHost);
        ordersBetween(pacer, 0, 12'000);
        section("a late tick lowers the rate by the factor", [&] {
            pacer.recordTick(at(12'000));
            pacer.recordTick(at(12'300));
            const Duration slowed = pacer.timeFor(1'000'000);
            EXPECT_NEAR(toMilliseconds(slowed), 1'600 / StartPacer::slowdownFactor, 100);
        });
        section("further signs within the interval have no effect", [&] {
            const Duration before = pacer.timeFor(1'000'000);
            pacer.recordWrite(at(11'000), at(12'320));
            pacer.recordTick(at(12'325));
            EXPECT_LE(pacer.timeFor(1'000'000), before);
        });
        section("a pending write that is late lowers the rate again", [&] {
            const Duration before = pacer.timeFor(1'000'000);
            pacer.recordWrite(at(12'000), at(12'600));
            EXPECT_GT(pacer.timeFor(1'000'000), before);
        });
        section("while most answers are late, the rate falls to its lower limit and not to zero", [&] {
            for (int now = 13'000; now < 18'000; now += 10) {
                pacer.recordAnswer(at(now - 1'200), OrderOutcome::Unknown, at(now));
            }
            const std::size_t sent = ordersBetween(pacer, 18'000, 19'000);
            EXPECT_LE(sent, most / 3);
            EXPECT_GE(sent, most / 8);
        });
        section("without signs of congestion it rises to the share of the link again", [&] {
            ordersBetween(pacer, 19'000, 29'000);
            EXPECT_GE(ordersBetween(pacer, 29'000, 30'000), most * 9 / 10);
        });
    });
}

TEST(StartPacer, IgnoresASingleWorkerThatDoesNotAnswer)
{
    story("an owner whose orders are answered in time, except those to one worker", [] {
        StartPacer pacer(smallHost);
        ordersBetween(pacer, 0, 12'000);
        const Duration before = pacer.timeFor(1'000'000);
        for (int now = 12'000; now < 16'000; now += 10) {
            const bool isLate = now % 40 == 0;
            pacer.recordAnswer(at(now - (isLate ? 1'200 : 5)), isLate ? OrderOutcome::Unknown : OrderOutcome::Accepted,
                               at(now));
        }
        EXPECT_EQ(pacer.timeFor(1'000'000), before);
    });
}

TEST(StartPacer, IgnoresOrdersThatAreLostWhileTheOthersAreAnsweredInTime)
{
    story("an owner that sends its orders in bursts, and gets no answer to half of them", [] {
        constexpr int burstInterval = 600;
        constexpr int timeLimit = 1'200;
        StartPacer pacer(smallHost);
        ordersBetween(pacer, 0, 12'000);
        const Duration before = pacer.timeFor(1'000'000);
        for (int sent = 12'000; sent < 20'000; sent += burstInterval) {
            for (int index = 0; index < 20 && sent - timeLimit >= 12'000; ++index) {
                pacer.recordAnswer(at(sent - timeLimit), OrderOutcome::Unknown, at(sent));
            }
            for (int index = 0; index < 20; ++index) {
                pacer.recordAnswer(at(sent), OrderOutcome::Accepted, at(sent + 5));
            }
        }
        section("the link carries the other half in time, so the rate stays",
                [&] { EXPECT_EQ(pacer.timeFor(1'000'000), before); });
    });
}

TEST(StartPacer, DoesNotLimitAHostWithAFastLink)
{
    story("an owner on a host with a link of 1,000 Mbit/s that starts 1,200 tasks a second", [] {
        StartPacer pacer(HostCapacity{});
        section("it starts all of them from the beginning",
                [&] { EXPECT_EQ(ordersBetween(pacer, 0, 1'000, 24), 1'200); });
        section("also while workers do not answer and ticks are late", [&] {
            std::size_t sent = 0;
            for (int now = 1'000; now < 5'000; now += 400) {
                pacer.recordTick(at(now));
                for (int index = 0; index < 20; ++index) {
                    pacer.recordAnswer(at(now - 1'200), OrderOutcome::Unknown, at(now));
                }
                sent += ordersBetween(pacer, now, now + 400, 24);
            }
            EXPECT_EQ(sent, 4'800);
        });
    });
}

} // namespace radishvane::tests
