#include "drivers/cell_codec.h"
#include "drivers/config_files.h"
#include "drivers/peer_codec.h"
#include "tests/support/odd_json.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;

TEST(PeerQuestion, IsRefusedWhenItsStepsAreOutOfRange)
{
    story("another entry host sends a job", [] {
        const auto isRead = [](const GraphSpec &spec) {
            SubmitJob question;
            question.spec = spec;
            return bool(drivers::decodeQuestion(drivers::encodeQuestion(question)));
        };
        GraphSpec spec;
        spec.steps.resize(2);
        spec.steps[1].after = {0};
        section("with sound steps", [&] { EXPECT_TRUE(isRead(spec)); });
        section("with a step after one that does not exist", [&] {
            spec.steps[1].after = {7};
            EXPECT_FALSE(isRead(spec));
        });
        section("with four thousand million tasks", [&] {
            spec.steps[1].after.clear();
            spec.steps[0].count = std::numeric_limits<std::uint32_t>::max();
            EXPECT_FALSE(isRead(spec));
        });
    });
}

TEST(ConfigFiles, AreRefusedWhenAFileHasNoName)
{
    story("a peer sends a set of files", [] {
        for (const std::string &packed : std::vector<std::string>{
                 R"([{"name":5,"text":""}])", R"([{"name":"a","text":[1]}])", nestedList(100'000)}) {
            section("of " + std::to_string(packed.size()) + " bytes",
                    [&] { EXPECT_FALSE(drivers::readPacked(packed)); });
        }
    });
}

TEST(Heartbeat, IsRefusedWhenItsFlagIsNeitherTrueNorFalse)
{
    story("a heartbeat of a leaving peer arrives", [] {
        Heartbeat heartbeat;
        heartbeat.leaving = true;
        std::string bytes = drivers::encodeHeartbeat(heartbeat);
        section("unchanged", [&] { EXPECT_TRUE(drivers::decodeHeartbeat(bytes)); });
        section("with the byte of its flag changed to 2", [&] {
            const std::size_t flag = bytes.rfind('\x01');
            bytes.at(flag) = 2;
            EXPECT_FALSE(drivers::decodeHeartbeat(bytes));
        });
    });
}

} // namespace radishvane::tests
