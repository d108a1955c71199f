#include "drivers/json_text.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace radishvane::tests
{

namespace
{

std::string jsonText(std::string_view text)
{
    std::string json;
    drivers::appendJsonText(json, text);
    return json;
}

} // namespace

TEST(JsonText, IsReadAsTheSameTextAgain)
{
    for (const std::string text : {"", "plain text", "\"", "\\", "{\"a\":\"b\\\\c\"}", "ends with \\",
                                   "two\nlines\t\x01", "\x7f", "Käse und 🧀"}) {
        EXPECT_EQ(nlohmann::json::parse(jsonText(text)).get<std::string>(), text);
    }
    std::string bytes;
    for (int byte = 0; byte < 128; ++byte) {
        bytes += static_cast<char>(byte);
        EXPECT_EQ(nlohmann::json::parse(jsonText(bytes)).get<std::string>(), bytes);
    }
}

TEST(JsonText, IsAppended)
{
    std::string json = "[";
    drivers::appendJsonText(json, "a\"b");
    EXPECT_EQ(json, "[\"a\\\"b\"");
}

TEST(JsonText, ReplacesBytesThatAreNotValidText)
{
    EXPECT_EQ(nlohmann::json::parse(jsonText("a\xff"
                                             "b"))
                  .get<std::string>(),
              "a\xef\xbf\xbd"
              "b");
}

} // namespace radishvane::tests
