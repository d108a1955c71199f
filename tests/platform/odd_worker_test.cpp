#include "platform/operator_wire.h"
#include "tests/support/odd_json.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;
using namespace platform;

TEST(WorkerEntry, DoesNotEndTheHostWhenItIsNestedDeeply)
{
    story("another writer nests the pool of a worker's entry", [] {
        for (const std::size_t depth : {30'000, 100'000, 500'000}) {
            section("as a list of depth " + std::to_string(depth), [&] {
                const auto entry = readWorkerEntry("i-1", R"({"service":)" + nestedList(depth) + "}");
                ASSERT_FALSE(entry);
                EXPECT_LT(entry.error().detail.size(), 200);
            });
        }
    });
}

} // namespace radishvane::tests
