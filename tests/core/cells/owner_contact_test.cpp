#include "core/cells/owner_contact.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;

namespace
{

constexpr Duration tickInterval{100};

/// Time and ticks of an entry host, and its contact with the owner.
class AskingHost
{
public:
    void pass(Duration time)
    {
        for (Duration passed{0}; passed < time; passed += tickInterval) {
            m_now += tickInterval;
            contact.tick(m_now);
            if (contact.isProbeDue(m_now)) {
                ++probes;
                probe = contact.probeSent(m_now);
            }
        }
    }

    /// Time in which the host does nothing.
    void sleep(Duration time)
    {
        m_now += time;
        contact.tick(m_now);
    }

    OwnerContact::OwnerNumber ask()
    {
        return contact.questionSent(m_now);
    }

    bool isSilent() const
    {
        return contact.isSilent(m_now);
    }

    Duration retryAfter() const
    {
        return contact.retryAfter(m_now);
    }

    OwnerContact contact;
    OwnerContact::OwnerNumber probe = 0;
    std::size_t probes = 0;

private:
    TimePoint m_now{std::chrono::hours(1'000)};
};

constexpr Duration untilSilent = OwnerContact::probeDelay + OwnerContact::probePatience;

} // namespace

TEST(OwnerContact, RefusesQuestionsToAnOwnerThatAnswersNothing)
{
    story("an owner falls silent while it has a question", [] {
        AskingHost host;
        const auto question = host.ask();
        section("the question may wait for the store, so a probe follows", [&] {
            host.pass(OwnerContact::probeDelay);
            EXPECT_EQ(host.probes, 1U);
            EXPECT_FALSE(host.isSilent());
        });
        section("the probe has no answer either, and further questions are not sent", [&] {
            host.pass(OwnerContact::probePatience);
            EXPECT_TRUE(host.isSilent());
            EXPECT_LT(host.retryAfter(), Duration(2'250));
            EXPECT_GE(host.retryAfter(), OwnerContact::minRetryAfter);
        });
        section("one probe at a time goes on", [&] {
            host.pass(Duration(1'000));
            EXPECT_EQ(host.probes, 1U);
            host.contact.probeFailed(host.probe);
            host.pass(tickInterval);
            EXPECT_EQ(host.probes, 2U);
            EXPECT_TRUE(host.isSilent());
        });
        section("its first answer ends the silence", [&] {
            host.contact.answered(host.probe);
            EXPECT_FALSE(host.isSilent());
            host.pass(Duration(2'000));
            EXPECT_EQ(host.probes, 2U);
            EXPECT_EQ(question, host.probe);
        });
    });
}

TEST(OwnerContact, WaitsForAnOwnerWhoseStoreIsSlow)
{
    story("an owner answers probes, and its store does not answer", [] {
        AskingHost host;
        for (int round = 0; round < 10; ++round) {
            host.ask();
            host.pass(OwnerContact::probeDelay + tickInterval);
            host.contact.answered(host.probe);
            EXPECT_FALSE(host.isSilent());
        }
        EXPECT_EQ(host.probes, 10U);
    });
}

TEST(OwnerContact, BeginsAnewWithAnotherOwner)
{
    story("an owner is silent, and another host takes the cell", [] {
        AskingHost host;
        host.ask();
        host.pass(untilSilent);
        const auto formerProbe = host.probe;
        ASSERT_TRUE(host.isSilent());
        host.contact.changeOwner();
        EXPECT_FALSE(host.isSilent());
        section("a late answer of the former owner says nothing about the new one", [&] {
            host.ask();
            host.pass(untilSilent);
            host.contact.answered(formerProbe);
            EXPECT_TRUE(host.isSilent());
        });
    });
}

TEST(OwnerContact, TakesNoPauseOfItsOwnHostForSilence)
{
    story("a host stands still while it has a question, and reads no answers", [] {
        AskingHost host;
        host.ask();
        host.pass(OwnerContact::probeDelay);
        host.sleep(Duration(5'000));
        EXPECT_FALSE(host.isSilent());
        host.pass(OwnerContact::probePatience);
        EXPECT_TRUE(host.isSilent());
    });
}

} // namespace radishvane::tests
