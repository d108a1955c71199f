#include "platform/row_parts.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace platform;

namespace
{

constexpr std::size_t maxBytes = 100;

std::string textOf(std::size_t bytes)
{
    std::string text;
    for (std::size_t index = 0; index < bytes; ++index) {
        text.push_back(static_cast<char>('a' + index % 26));
    }
    return text;
}

void addParts(RowJoiner &joiner, const std::string &key, const std::vector<std::string> &parts)
{
    for (std::uint32_t number = 0; number < parts.size(); ++number) {
        EXPECT_TRUE(joiner.add(partKey(key, number), parts[number]));
    }
}

} // namespace

TEST(RowParts, JoinWhatWasSplit)
{
    story("values are split into rows of 100 bytes", [] {
        section("one that fits stays as it is", [] {
            EXPECT_EQ(splitValue(textOf(maxBytes), maxBytes), std::vector<std::string>{textOf(maxBytes)});
            RowJoiner joiner;
            EXPECT_FALSE(joiner.add("progress/j", textOf(maxBytes)));
        });
        section("each larger one is split into as many rows as counted, and joined", [] {
            for (std::size_t bytes = maxBytes + 1; bytes < 5 * maxBytes; ++bytes) {
                const std::vector<std::string> parts = splitValue(textOf(bytes), maxBytes);
                ASSERT_EQ(parts.size(), partCount(bytes, maxBytes)) << bytes;
                RowJoiner joiner;
                addParts(joiner, "progress/j", parts);
                const auto joined = joiner.take();
                ASSERT_EQ(joined.size(), 1);
                EXPECT_EQ(joined.front().key, "progress/j");
                EXPECT_EQ(joined.front().parts, parts.size());
                EXPECT_EQ(joined.front().value, textOf(bytes));
            }
        });
        section("parts that an earlier write has left are ignored", [] {
            RowJoiner joiner;
            addParts(joiner, "progress/j", splitValue(std::string(450, 'x'), maxBytes));
            addParts(joiner, "progress/j", splitValue(textOf(150), maxBytes));
            ASSERT_EQ(joiner.take().front().value, textOf(150));
        });
        section("parts whose row is whole again are ignored", [] {
            RowJoiner joiner;
            EXPECT_TRUE(joiner.add(partKey("progress/j", 1), "x"));
            EXPECT_FALSE(joiner.add("progress/j", "whole"));
            EXPECT_TRUE(joiner.take().empty());
        });
        section("a missing part is reported", [] {
            RowJoiner joiner;
            EXPECT_TRUE(joiner.add("progress/j", splitValue(textOf(250), maxBytes).front()));
            const auto joined = joiner.take();
            ASSERT_EQ(joined.size(), 1);
            EXPECT_FALSE(joined.front().value);
        });
        section("a key that only resembles one of a part is none", [] {
            for (const std::string key : {"part/", "part/1", "part/0/j", "part/x/j", "part/01/j", "partial/1/j"}) {
                EXPECT_FALSE(parsePartKey(key)) << key;
            }
        });
    });
}

} // namespace radishvane::tests
