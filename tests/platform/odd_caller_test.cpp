#include "drivers/cell_codec.h"
#include "platform/caller_wire.h"
#include "tests/support/odd_json.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;
using namespace platform;

TEST(CallerBody, DoesNotEndTheHostWhenItIsNestedDeeply)
{
    story("a caller nests the payload of a job", [] {
        for (const std::size_t depth : {60'000, 500'000}) {
            section("as a list of depth " + std::to_string(depth), [&] {
                const auto spec = readGraph(R"({"spec":)" + nestedList(depth) + R"(,"steps":[{"count":1}]})");
                ASSERT_FALSE(spec);
                EXPECT_LT(spec.error().size(), 200);
            });
        }
        section("as an object", [] { EXPECT_FALSE(readGraph(R"({"spec":)" + nestedObject(150'000) + "}")); });
        section("without an end", [] { EXPECT_FALSE(readGraph(std::string(1 << 20, '['))); });
    });
}

TEST(CallerBody, IsRefusedWhenAWrongValueHasLongTextBeyondAscii)
{
    story("a caller sends a text of two-byte letters where a list belongs", [] {
        for (std::size_t letters = 25; letters < 35; ++letters) {
            std::string text;
            for (std::size_t letter = 0; letter < letters; ++letter) {
                text += "\xc3\xa4";
            }
            for (const std::string before : {"", "a"}) {
                section("of " + std::to_string(letters) + " letters after '" + before + "'", [&] {
                    const auto spec = readGraph(R"({"steps":")" + before + text + R"("})");
                    ASSERT_FALSE(spec);
                    EXPECT_EQ(badBodyAnswer(spec.error()).status, drivers::httpStatus::badRequest);
                });
            }
        }
    });
}

} // namespace radishvane::tests
