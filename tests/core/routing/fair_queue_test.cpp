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

/// A queue that holds requests of both teams with the given urgencies.
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

    /// Starts requests one after the other. @return the number of started requests per team.
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

TEST(FairQueue, ServesTeamsInProportionToTheirShares)
{
    section("a team with three times the share gets three times the starts", [] {
        BusyQueue busy(Urgency::Normal, Urgency::Normal);
        auto started = busy.start(1'000);
        EXPECT_NEAR(started[workshop], 750, 2);
    });
    section("a team that was idle gets no credit for that time", [] {
        FairQueue queue;
        queue.setShare(office, 1);
        queue.setShare(workshop, 1);
        queue.push({ExchangeId{1}, office, Urgency::Normal, TimePoint()});
        queue.charge(office, 1'000);
        queue.push({ExchangeId{2}, workshop, Urgency::Normal, TimePoint()});
        queue.push({ExchangeId{3}, workshop, Urgency::Normal, TimePoint()});
        EXPECT_EQ(queue.next(everyTeam)->team, office);
    });
    section("slot time spent by other entry hosts is charged", [] {
        BusyQueue busy(Urgency::Normal, Urgency::Normal);
        busy.queue.charge(workshop, 3'000);
        EXPECT_EQ(busy.start(50)[office], 50);
    });
}

TEST(FairQueue, ServesUrgentRequestsFirstUpToTheCredit)
{
    story("a team marks all of its requests as urgent", [] {
        BusyQueue busy(Urgency::Urgent, Urgency::Normal);
        section("it is served first up to the credit", [&] {
            constexpr int withinCredit = static_cast<int>(FairQueue::urgentCredit / runMilliseconds);
            EXPECT_EQ(busy.start(withinCredit)[office], withinCredit);
        });
        section("after that it gets its share", [&] { EXPECT_NEAR(busy.start(1'000)[office], 250, 10); });
    });
}

TEST(FairQueue, EvictsFromTheTeamWithTheMostRequestsPerShare)
{
    BusyQueue busy(Urgency::Normal, Urgency::Normal);
    const auto evicted = busy.queue.evictFor(workshop);
    ASSERT_TRUE(evicted);
    EXPECT_EQ(evicted->team, office) << "office has as many queued requests for a third of the share";
    EXPECT_FALSE(busy.queue.evictFor(office));
}

TEST(BackendSet, AssignsAllSlotsOfEachServerToTheEntryHosts)
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
                set.setPosition({index, hosts});
                total += set.slots();
            }
            EXPECT_EQ(total, 40U);
        });
    }
}

} // namespace radishvane::tests
