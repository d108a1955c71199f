#include "core/cells/host_order_pacer.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

namespace
{

using namespace cells;

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::hours(1'000)) + Duration(milliseconds);
}

/// Sends as many orders as the pacer allows at each plan, from @p begin to @p end in milliseconds.
std::size_t ordersBetween(HostOrderPacer &pacer, int begin, int end, int planInterval)
{
    std::size_t orders = 0;
    for (int now = begin; now < end; now += planInterval) {
        for (std::size_t left = pacer.available(at(now)); left > 0; --left) {
            pacer.take();
            ++orders;
        }
    }
    return orders;
}

} // namespace

TEST(HostOrderPacer, FollowsTheRateOfTheHostService)
{
    story("a plan every 200 ms wants more moves than the host service accepts", [] {
        for (const double rate : {64.0, 310.0}) {
            section("at " + std::to_string(rate) + " orders a second", [rate] {
                HostOrderPacer pacer(HostServiceLimits{rate});
                const std::size_t first = ordersBetween(pacer, 0, 1'000, 200);
                section("the service refuses none in any second", [&] {
                    EXPECT_LE(static_cast<double>(first), rate);
                    const auto later = static_cast<double>(ordersBetween(pacer, 1'000, 11'000, 200));
                    EXPECT_LE(later, rate * 10);
                    section("and most of the rate is used", [&] { EXPECT_GE(later, rate * 10 * 0.75); });
                });
            });
        }
    });
    story("the service accepts one order in two seconds", [] {
        HostOrderPacer pacer(HostServiceLimits{0.5});
        section("the moves go on", [&] { EXPECT_GE(ordersBetween(pacer, 0, 20'000, 200), 7U); });
    });
}

TEST(HostOrderPacer, CountsOrdersThatItDoesNotDelay)
{
    story("a wave maintains hosts while a peak wants moves", [] {
        HostOrderPacer pacer(HostServiceLimits{100});
        ASSERT_GT(pacer.available(at(0)), 0U);
        for (int order = 0; order < 60; ++order) {
            pacer.take();
        }
        section("moves wait until the rate allows them again", [&] {
            EXPECT_EQ(pacer.available(at(200)), 0U);
            EXPECT_GT(pacer.available(at(800)), 0U);
        });
        section("a new owner starts with the full rate", [&] {
            pacer.clear();
            EXPECT_GT(pacer.available(at(900)), 0U);
        });
    });
}

} // namespace radishvane::tests
