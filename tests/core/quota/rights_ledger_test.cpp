#include "core/quota/rights_ledger.h"

#include "tests/support/effects.h"
#include "tests/support/story.h"

namespace radishvane::tests
{

namespace
{

const TeamId office("office");
const HostId self("entry-a");
const HolderId holder{self, Incarnation{1}};
constexpr std::uint64_t epoch = 1;
constexpr std::uint32_t ceiling = 4;

std::shared_ptr<const Config> config(std::uint32_t standingPercent)
{
    auto result = std::make_shared<Config>();
    Team team;
    team.id = office;
    team.ceiling = ceiling;
    team.standingPercent = standingPercent;
    result->teams.emplace(office, team);
    return result;
}

/// A row that grants the whole ceiling to the entry host.
StoredRow heldRow()
{
    RightsRow row{office, ceiling, {}, {{holder, RightsUse::Requests, epoch, 0, ceiling}}};
    return StoredRow{rowKey::rightsOf(office), 1, RowValue(row), "writer"};
}

/// The ledger of one entry host with a clock and its latest effects.
class Ledger
{
public:
    explicit Ledger(std::uint32_t standingPercent = 0)
    {
        handle(LedgerConfig{config(standingPercent)});
        handle(LedgerPeers{{{self, ZoneId("a")}}});
        handle(SessionHeld{holder, epoch});
    }

    void handle(const LedgerEvent &event)
    {
        effects = m_ledger.handle(event, m_now);
        for (const PlatformCall &call : all<PlatformCall>(effects)) {
            if (const auto *request = std::get_if<WriteRows>(&call.request)) {
                granted = std::get<RightsRow>(*request->writes.front().value).granted();
            }
        }
        for (const AllowanceSet &set : all<AllowanceSet>(effects)) {
            m_generation = set.generation;
            allowed = set.use == RightsUse::Requests ? set.standing + set.leased : allowed;
        }
    }

    void advance(Duration time)
    {
        m_now += time;
        handle(LedgerTick{});
    }

    void setWaiting(std::uint32_t slots)
    {
        reportDemand(0, slots);
    }

    /// Reports that work runs in @p slots slots and that none waits.
    void setRunning(std::uint32_t slots)
    {
        reportDemand(slots, 0);
    }

    /// Answers the only pending call.
    void answer(const PlatformAnswer &answer)
    {
        const auto call = only<PlatformCall>(effects);
        ASSERT_TRUE(call);
        handle(PlatformAnswered{call->id, answer});
    }

    bool writes() const
    {
        const auto call = only<PlatformCall>(effects);
        return call && std::holds_alternative<WriteRows>(call->request);
    }

    LedgerEffects effects;
    std::uint32_t allowed = 0;
    /// Rights of this host in the latest write.
    std::uint32_t granted = 0;

private:
    void reportDemand(std::uint32_t running, std::uint32_t waiting)
    {
        const std::uint64_t generation = m_generation;
        handle(LedgerDemand{office, RightsUse::Jobs, 0, 0, generation});
        const LedgerEffects before = effects;
        handle(LedgerDemand{office, RightsUse::Requests, running, waiting, generation});
        effects.insert(effects.begin(), before.begin(), before.end());
    }

    RightsLedger m_ledger{self};
    TimePoint m_now{std::chrono::hours(1)};
    std::uint64_t m_generation = 0;
};

} // namespace

TEST(RightsLedger, DoesNotUseRightsThatAnUnconfirmedWriteMayHaveReleased)
{
    story("an entry host that holds the whole ceiling and no longer needs it", [] {
        Ledger ledger;
        ledger.setWaiting(ceiling);
        ledger.answer(RowAbsent{rowKey::rightsOf(office)});
        ASSERT_TRUE(ledger.writes());
        ledger.answer(RowsWritten{{1}});
        ASSERT_EQ(ledger.allowed, ceiling);
        ledger.setWaiting(0);
        ledger.advance(RightsLedger::surplusGracePeriod);
        ledger.setWaiting(0);
        section("releases the rights by a write whose answer is lost", [&] {
            ASSERT_TRUE(ledger.writes());
            ledger.answer(PlatformFailed{PlatformError::AnswerLost, "timed out"});
        });
        section("uses none of the rights that the row still shows, because the write may still take effect", [&] {
            ledger.setWaiting(ceiling);
            ledger.advance(RightsLedger::starvedRetryInterval);
            ledger.answer(RowFound{heldRow()});
            EXPECT_EQ(ledger.allowed, 0U) << "another host may take them as soon as the write takes effect";
        });
        section("uses them again after a later write has resolved the outcome", [&] {
            ASSERT_TRUE(ledger.writes());
            ledger.answer(RowsWritten{{2}});
            EXPECT_EQ(ledger.allowed, ceiling);
        });
    });
}

TEST(RightsLedger, KeepsRightsOfRunningWorkWhileStopping)
{
    story("an entry host whose rights are half standing, with work running under all of them", [] {
        Ledger ledger(50);
        ledger.setWaiting(ceiling);
        ledger.answer(RowAbsent{rowKey::rightsOf(office)});
        ASSERT_TRUE(ledger.writes());
        ledger.answer(RowsWritten{{1}});
        ASSERT_EQ(ledger.allowed, ceiling);
        ledger.setRunning(ceiling);
        section("releases none of them when it stops", [&] {
            ledger.handle(LedgerStop{});
            ledger.advance(RightsLedger::surplusGracePeriod);
            ledger.setRunning(ceiling);
            EXPECT_EQ(ledger.granted, ceiling);
            ledger.answer(RowsWritten{{2}});
        });
        section("releases half of them when half of the work has ended", [&] {
            ledger.setRunning(ceiling / 2);
            ledger.advance(RightsLedger::surplusGracePeriod);
            ledger.setRunning(ceiling / 2);
            EXPECT_EQ(ledger.granted, ceiling / 2);
        });
    });
}

} // namespace radishvane::tests
