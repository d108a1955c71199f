#include "drivers/system_clock.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

TEST(SystemClock, CountsTheTimeOfASuspension)
{
    story("a process reads the monotonic clock", [] {
        const auto sinceBoot = [] {
            timespec time{};
            clock_gettime(CLOCK_BOOTTIME, &time);
            return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
        };
        const drivers::SystemClock clock;
        section("it is the one that goes on while the machine is suspended", [&] {
            const TimePoint before = sinceBoot();
            const TimePoint now = clock.now();
            EXPECT_GE(now, before);
            EXPECT_LE(now, sinceBoot());
        });
    });
}

} // namespace radishvane::tests
