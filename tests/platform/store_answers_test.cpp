#include "platform/store_client.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace platform;

// Guards against a call that the store never accepts being taken for one that may succeed later.
TEST(StoreAnswers, TellCallsThatNeverSucceedFromThoseThatMay)
{
    story("the store answers with a status other than 200", [] {
        section("it never accepts the call", [] {
            for (const int status : {400, 401, 403, 404, 405, 413, 422}) {
                EXPECT_EQ(failureOfStatus(status), StoreFailure::Rejected) << status;
            }
        });
        section("it may accept the call later", [] {
            for (const int status : {408, 425, 429, 500, 502, 503, 507}) {
                EXPECT_EQ(failureOfStatus(status), StoreFailure::Refused) << status;
            }
        });
        section("the history is gone", [] { EXPECT_EQ(failureOfStatus(410), StoreFailure::HistoryGone); });
    });
}

} // namespace radishvane::tests
