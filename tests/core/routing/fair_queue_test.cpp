#include "core/routing/fair_queue.h"

#include "core/routing/backend_set.h"
#include "tests/support/story.h"

#include <map>

namespace radishvane::tests
{

namespace
{

const TeamId office("office");
const TeamId workshop("workshop");
constexpr double runMilliseconds = 10;

bool everyTeam(const TeamId &)
{
    return true;
}

/// A queue in which both teams always have work of the given urgency waiting.
class BusyQueue
{
public:
    BusyQueue(Urgency officeUrgency, Urgency workshopUrgency)
    {
        queue.setShare(office, 1);
        queue.setShare(workshop, 3);
        for (int request = 0; request < 2'000; ++request) {
            push(office, officeUrgency);
            push(workshop, workshopUrgency);
        }
    }

    /// Starts requests one after the other. @return how many of each team.
    std::map<TeamId, int> start(int count)
    {
        std::map<TeamId, int> started;
        for (int request = 0; request < count; ++request) {
            const auto next = queue.next(everyTeam);
            ++started[next->team];
            queue.charge(next->team, runMilliseconds);
        }
        return started;
    }

    FairQueue queue;

private:
    void push(const TeamId &team, Urgency urgency)
    {
        queue.push(WaitingRequest{ExchangeId{++m_last}, team, urgency, TimePoint()});
    }

    std::uint64_t m_last = 0;
};

} // namespace

TEST(FairQueue, StartsTeamsByTheirShares)
{
    section("a share of three gets three starts for one", [] {
        BusyQueue busy(Urgency::Normal, Urgency::Normal);
        auto started = busy.start(1'000);
        EXPECT_NEAR(started[workshop], 750, 2);
    });
    section("a team that was idle gets nothing for the time before", [] {
        FairQueue queue;
        queue.setShare(office, 1);
        queue.setShare(workshop, 1);
        queue.push({ExchangeId{1}, office, Urgency::Normal, TimePoint()});
        queue.charge(office, 1'000);
        queue.push({ExchangeId{2}, workshop, Urgency::Normal, TimePoint()});
        queue.push({ExchangeId{3}, workshop, Urgency::Normal, TimePoint()});
        EXPECT_EQ(queue.next(everyTeam)->team, office);
    });
    section("what other entry hosts spent counts", [] {
        BusyQueue busy(Urgency::Normal, Urgency::Normal);
        busy.queue.charge(workshop, 3'000);
        EXPECT_EQ(busy.start(50)[office], 50);
    });
}

TEST(FairQueue, StartsUrgentWorkFirstWithinACredit)
{
    story("a team marks all its work urgent", [] {
        BusyQueue busy(Urgency::Urgent, Urgency::Normal);
        section("it goes first for a while", [&] {
            constexpr int withinCredit = static_cast<int>(FairQueue::urgentCredit / runMilliseconds);
            EXPECT_EQ(busy.start(withinCredit)[office], withinCredit);
        });
        section("and then gets its share and no more", [&] { EXPECT_NEAR(busy.start(1'000)[office], 250, 10); });
    });
}

TEST(FairQueue, MakesRoomAtTheCostOfTheTeamMostOverItsPart)
{
    BusyQueue busy(Urgency::Normal, Urgency::Normal);
    const auto displaced = busy.queue.makeRoomFor(workshop);
    ASSERT_TRUE(displaced);
    EXPECT_EQ(displaced->team, office) << "as many wait for a third of the share";
    EXPECT_FALSE(busy.queue.makeRoomFor(office));
}

TEST(BackendSet, SplitsTheSlotsOfEachServerWithoutRest)
{
    for (std::uint32_t hosts = 1; hosts <= 9; ++hosts) {
        section("between " + std::to_string(hosts) + " entry hosts", [&] {
            std::uint32_t total = 0;
            for (std::uint32_t index = 0; index < hosts; ++index) {
                Service service;
                for (int server = 0; server < 5; ++server) {
                    service.backends.push_back(
                        {BackendId("b" + std::to_string(server)), HostId("h"), Endpoint{}, 8, 64});
                }
                BackendSet set(1);
                set.setServers(service);
                set.setPlace({index, hosts});
                total += set.slots();
            }
            EXPECT_EQ(total, 40U);
        });
    }
}

} // namespace radishvane::tests
