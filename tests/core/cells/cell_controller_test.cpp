#include "drivers/cell_codec.h"
#include "tests/support/cell_stories.h"
#include "tests/support/effects.h"
#include "tests/support/story.h"
#include "tests/support/test_store_limits.h"

#include <gtest/gtest.h>

namespace radishvane::tests
{

using namespace cells;

namespace
{

constexpr HostCapacity littleCapacity{0.05, 1'000};

/// Two entry hosts, of which "a" has little capacity and owns the cell, since "b" was restarting.
void fillWithUnfitOwner(CellSite &site)
{
    site.addQueue("plans", "looms");
    for (const char *id : {"w0", "w1", "w2", "w3"}) {
        site.addWorker(id, "looms", 8'000);
    }
    site.addNode("a", littleCapacity);
    site.addNode("b");
    site.kill("b");
    site.run(Duration(3'000));
    ASSERT_EQ(site.owner(), "a");
    site.restart("b");
}

/// One entry host in virtual time that may take over a cell without an owner.
class Takeover
{
public:
    Takeover()
    {
        send(OwnerObserved{std::nullopt, 1});
    }

    CellEffects send(const CellEvent &event)
    {
        return controller.handle(event, Instant{m_now, WallTime{}});
    }

    /// The first effect of one kind within a few seconds.
    template<typename Effect>
    std::optional<Effect> advanceTo()
    {
        for (const TimePoint end = m_now + Duration{4'000}; m_now < end; m_now += Duration{20}) {
            for (const CellEvent &event : {CellEvent(StoreContact{m_now}), CellEvent(CellTick{})}) {
                if (const auto effect = only<Effect>(send(event))) {
                    return effect;
                }
            }
        }
        return std::nullopt;
    }

    std::optional<WriteCell> takeOver()
    {
        return advanceTo<WriteCell>();
    }

    CellController controller{CellId("c0"),   HostId("a"),      1, Endpoint{"127.0.0.1", 1}, CellTimes{},
                              HostCapacity{}, testStoreLimits()};

private:
    TimePoint m_now = TimePoint(std::chrono::hours(1));
};

/// Epoch of the ownership as the entry host @p name knows it.
Epoch epochAt(CellSite &site, const std::string &name)
{
    return site.node(name).controller->owner()->epoch;
}

} // namespace

TEST(CellJobs, RunThroughAllStepsAndStopWhenCancelled)
{
    story("a site without faults, with two entry hosts and four workers", [] {
        CellSite site;
        fillLooms(site);
        section("one of the entry hosts owns the cell", [&] { ASSERT_FALSE(site.owner().empty()); });
        section("a job with two steps is accepted and runs to completion", [&] {
            site.submit(site.owner(), "j1", "plans", graphOf(2, 6, 1'000, Duration(300)));
            site.run(Duration(100));
            ASSERT_EQ(site.answers("j1"), std::vector{CallAnswer::Accepted});
            site.run(Duration(1'500));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 12);
        });
        section("a repeated submission is answered again and starts no further runs", [&] {
            site.submit(site.owner(), "j1", "plans", graphOf(2, 6, 1'000, Duration(300)));
            site.run(Duration(1'000));
            EXPECT_EQ(site.answers("j1").size(), 2);
            EXPECT_EQ(site.runs("j1"), 12);
        });
        section("an entry host that does not own the cell refuses jobs", [&] {
            site.submit(other(site), "j2", "plans", graphOf(1, 1, 1'000, Duration(300)));
            site.run(Duration(1'000));
            EXPECT_EQ(site.answers("j2"), std::vector{CallAnswer::Unavailable});
            EXPECT_EQ(site.runs("j2"), 0);
        });
        section("a cancelled job is stopped on all workers", [&] {
            site.durations[JobId("j3")] = 60'000;
            site.submit(site.owner(), "j3", "plans", graphOf(1, 8, 1'000, Duration(60'000)));
            site.run(Duration(1'000));
            site.cancel(site.owner(), "j3");
            site.run(Duration(1'000));
            EXPECT_EQ(site.state("j3"), GraphState::Cancelled);
            EXPECT_EQ(site.runningOn("w0") + site.runningOn("w1") + site.runningOn("w2") + site.runningOn("w3"), 0);
        });
        expectNothingBroken(site);
    });
}

TEST(CellJobs, FailAtTheFailureLimitOfTheQueue)
{
    story("a queue with a limit of three failures, and workers on which every run fails", [] {
        CellSite site;
        fillLooms(site);
        for (const char *id : {"w0", "w1", "w2", "w3"}) {
            site.worker(id).fails = true;
        }
        site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
        site.run(Duration(8'000));
        EXPECT_EQ(site.state("j1"), GraphState::Failed);
        EXPECT_EQ(site.runs("j1"), 3);
    });
}

TEST(CellJobs, CountFailuresThatTheFormerOwnerCouldNotStore)
{
    story("a task fails while the owner is cut off from the store; the queue allows two failures", [] {
        CellSite site;
        site.addQueue("plans", "looms", 2);
        for (const char *id : {"w0", "w1"}) {
            site.addWorker(id, "looms", 8'000);
        }
        site.addNode("a");
        site.addNode("b");
        site.run(Duration(2'000));
        const std::string first = site.owner();
        // w0 is unlisted so that the first run starts on w1.
        site.worker("w0").listed = false;
        site.run(Duration(400));
        site.durations[JobId("j1")] = -700;
        site.submit(first, "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
        site.run(Duration(50));
        ASSERT_EQ(site.runningOn("w1"), 1);
        site.worker("w0").listed = true;
        site.run(Duration(400));
        site.node(first).cutFromStore = true;
        section("the run fails, and the owner does not start one that it cannot store", [&] {
            site.run(Duration(1'400));
            EXPECT_EQ(site.runningOn("w0") + site.runningOn("w1"), 0);
            EXPECT_EQ(site.runs("j1"), 1);
        });
        section("the new owner counts the failure, so that the next one is the last", [&] {
            site.run(Duration(6'000));
            EXPECT_EQ(site.state("j1"), GraphState::Failed);
            EXPECT_EQ(site.runs("j1"), 2);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, IsReplacedAfterACrash)
{
    story("the owner crashes while a job runs", [] {
        CellSite site;
        fillLooms(site);
        const std::string first = site.owner();
        const std::string second = other(site);
        site.durations[JobId("j1")] = 3'000;
        site.submit(first, "j1", "plans", graphOf(2, 6, 1'000, Duration(3'000)));
        site.run(Duration(1'000));
        site.kill(first);
        section("the other entry host takes over the cell within 3.5 seconds", [&] {
            site.run(Duration(3'500));
            EXPECT_EQ(site.owner(), second);
        });
        section("the runs continue, none is started twice, and the job completes", [&] {
            site.run(Duration(6'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 12);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, ContinuesAtOnceAfterARestartOfItsProcess)
{
    story("the owner's process is killed and starts again 300 ms later, while a task runs", [] {
        CellSite site;
        fillLooms(site, 1);
        site.durations[JobId("j1")] = 5'000;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 1, 1'000, Duration(5'000)));
        site.run(Duration(500));
        const std::string first = site.owner();
        site.kill(first);
        site.run(Duration(300));
        site.restart(first);
        section("it owns the cell again without waiting for the lease of its former process", [&] {
            site.run(Duration(500));
            EXPECT_EQ(site.owner(), first);
            site.submit(first, "j2", "plans", graphOf(1, 1, 1'000, Duration(300)));
            site.run(Duration(1'000));
            EXPECT_EQ(site.state("j2"), GraphState::Completed);
        });
        section("the task that ran is not started again", [&] {
            site.run(Duration(6'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 1);
        });
        expectNothingBroken(site);
    });
    story("the owner's host is replaced by one of the same name at another address", [] {
        const HostId host("a");
        CellLease lease(host, 2, Endpoint{"10.0.0.2", 1}, HostCapacity{});
        const TimePoint start{std::chrono::hours(1)};
        lease.recordContact(start, start);
        lease.observe(OwnerObserved{OwnerRow{host, 1, Endpoint{"10.0.0.1", 1}, 7}, 3}, start);
        section("the former process may still run, so its lease has to expire",
                [&] { EXPECT_FALSE(lease.mayTakeOver(start + CellLease::maxContactGap)); });
    });
}

TEST(CellOwner, IsTheFittestHostInReachOfTheStore)
{
    // Each name in turn, since hosts also wait for a time that depends on their name.
    for (const std::string fit : {"a", "b", "c"}) {
        story("one entry host with the capacity that an owner needs, among two with little", [&] {
            CellSite site;
            site.addQueue("plans", "looms");
            site.addWorker("w0", "looms", 8'000);
            site.addWorker("w1", "looms", 8'000);
            for (const std::string name : {"a", "b", "c"}) {
                site.addNode(name, name == fit ? HostCapacity{2, 1'000} : HostCapacity{0.05, 1'000});
            }
            section("the fit host owns the cell at the start", [&] {
                site.run(Duration(2'000));
                ASSERT_EQ(site.owner(), fit);
            });
            section("when it restarts after a crash, it owns the cell again", [&] {
                site.kill(fit);
                site.restart(fit);
                site.run(Duration(3'500));
                EXPECT_EQ(site.owner(), fit);
            });
            section("when it stays away, a host with little capacity takes over and serves", [&] {
                site.kill(fit);
                site.run(Duration(5'000));
                ASSERT_FALSE(site.owner().empty());
                site.submit(site.owner(), "j1", "plans", graphOf(2, 6, 1'000, Duration(300)));
                site.run(Duration(3'000));
                EXPECT_EQ(site.answers("j1"), std::vector{CallAnswer::Accepted});
                EXPECT_EQ(site.state("j1"), GraphState::Completed);
            });
            expectNothingBroken(site);
        });
    }
}

TEST(CellOwner, DetectsEndedTasksFromTheListOfHosts)
{
    story("the owner crashes, and a worker with tasks of a job is replaced by one with another id", [] {
        CellSite site;
        fillLooms(site, 3);
        const std::string first = site.owner();
        site.durations[JobId("j1")] = 1'000;
        site.submit(first, "j1", "plans", graphOf(1, 20, 1'000, Duration(1'000)));
        site.run(Duration(300));
        ASSERT_GT(site.runningOn("w0"), 0);
        site.kill(first);
        site.replace("w0", "w9");
        section("the next owner completes the job without waiting for the leases on that worker to expire", [&] {
            site.run(Duration(5'500));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, StartsNoTaskWhoseEndIsBeyondAFullListOfEnds)
{
    story("600 tasks end on a worker, which lists 500 ends at a time, after the owner has crashed", [] {
        CellSite site;
        site.addQueue("plans", "looms");
        site.addWorker("w0", "looms", 600'000);
        site.addNode("a");
        site.addNode("b");
        site.run(Duration(2'000));
        site.durations[JobId("j1")] = 2'000;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 600, 1'000, Duration(2'000)));
        site.run(Duration(500));
        site.addWorker("w1", "looms", 600'000);
        site.run(Duration(1'000));
        ASSERT_EQ(site.runningOn("w0"), 600);
        site.kill(site.owner());
        site.run(Duration(2'000));
        ASSERT_EQ(site.worker("w0").ended.size(), 600);
        section("the next owner starts none of them again, and the job completes", [&] {
            site.run(Duration(5'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 600);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, ReadsNoPayloadsOfEndedJobs)
{
    story("200 jobs with payloads of 4,000 bytes have ended and can still be queried, and 20 are waiting", [] {
        CellSite site;
        fillLooms(site);
        site.setTargetDuration("plans", Duration(60'000));
        const auto submit = [&site](const std::string &job) {
            GraphSpec spec = graphOf(2, 1, 1'000, Duration(300));
            spec.payload = std::string(4'000, job.front());
            site.submit(site.owner(), job, "plans", spec);
        };
        for (int index = 0; index < 200; ++index) {
            submit("e" + std::to_string(index));
        }
        site.run(Duration(8'000));
        for (int index = 0; index < 200; ++index) {
            ASSERT_EQ(site.state("e" + std::to_string(index)), GraphState::Completed) << index;
        }
        for (int index = 0; index < 20; ++index) {
            site.durations[JobId("l" + std::to_string(index))] = 4'000;
            submit("l" + std::to_string(index));
        }
        site.run(Duration(200));
        section("a new owner would read little more than the rows of those that wait", [&] {
            std::size_t bytes = 0;
            for (const JobRow &row : site.stored().jobs) {
                bytes += drivers::encodeRow(row).size();
            }
            for (const ProgressRow &row : site.stored().progress) {
                bytes += drivers::encodeRow(row).size();
            }
            RecordProperty("bytesAtTakeover", std::to_string(bytes));
            EXPECT_LT(bytes, 200'000);
        });
        section("it runs those that wait, with their payloads", [&] {
            site.kill(site.owner());
            site.run(Duration(16'000));
            for (int index = 0; index < 20; ++index) {
                EXPECT_EQ(site.state("l" + std::to_string(index)), GraphState::Completed) << index;
            }
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, HandsOverWithinASecondWhenStopped)
{
    story("the owner has work continuously and is asked to stop", [] {
        CellSite site;
        fillLooms(site);
        site.setTargetDuration("plans", Duration(60'000));
        const std::string first = site.owner();
        for (int index = 0; index < 40; ++index) {
            site.submit(first, "j" + std::to_string(index), "plans", graphOf(2, 6, 1'000, Duration(300)));
        }
        site.run(Duration(500));
        site.stop(first);
        section("another entry host owns the cell within one second", [&] {
            site.run(Duration(1'000));
            EXPECT_FALSE(site.owner().empty());
            EXPECT_NE(site.owner(), first);
        });
        section("every job completes", [&] {
            site.run(Duration(8'000));
            for (int index = 0; index < 40; ++index) {
                EXPECT_EQ(site.state("j" + std::to_string(index)), GraphState::Completed) << index;
            }
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, ReleasesACellWhoseTakeoverWasInFlightWhenItWasStopped)
{
    story("the takeover is stored after the stop", [] {
        Takeover host;
        const auto taking = host.takeOver();
        ASSERT_TRUE(taking.has_value());
        EXPECT_FALSE(only<WriteCell>(host.send(CellStop{})).has_value());
        EXPECT_FALSE(host.controller.hasReleased());
        const auto releasing
            = only<WriteCell>(host.send(CellWritten{taking->call, CellWriteOutcome::Written, 2, std::nullopt}));
        section("the cell is released at once, and not at the first renewal", [&] {
            ASSERT_TRUE(releasing.has_value());
            ASSERT_TRUE(releasing->transaction.owner.has_value());
            EXPECT_TRUE(releasing->transaction.owner->host.empty());
            host.send(CellWritten{releasing->call, CellWriteOutcome::Written, 3, std::nullopt});
            EXPECT_TRUE(host.controller.hasReleased());
        });
    });
    story("the takeover gets no answer, and the store has carried it out", [] {
        Takeover host;
        const auto taking = host.takeOver();
        ASSERT_TRUE(taking.has_value());
        host.send(CellStop{});
        host.send(CellWritten{taking->call, CellWriteOutcome::Unknown, 0, std::nullopt});
        host.send(OwnerObserved{taking->transaction.owner, 2});
        EXPECT_FALSE(host.controller.hasReleased());
        section("the stopping host writes the row until the cell is released", [&] {
            auto write = host.advanceTo<WriteCell>();
            for (std::uint64_t version = 3; write; ++version) {
                write = only<WriteCell>(
                    host.send(CellWritten{write->call, CellWriteOutcome::Written, version, std::nullopt}));
            }
            EXPECT_TRUE(host.controller.hasReleased());
            EXPECT_TRUE(host.controller.owner()->host.empty());
        });
    });
    story("a host that owns no cell is stopped", [] {
        Takeover host;
        host.send(CellStop{});
        EXPECT_TRUE(host.controller.hasReleased());
        section("it does not take one over", [&] { EXPECT_FALSE(host.takeOver().has_value()); });
    });
}

TEST(CellOwner, AnswersCallersWhoseRowsItStoresWithItsRelease)
{
    story("a job waits for the pending write of another one when the owner is asked to stop", [] {
        CellSite site;
        fillLooms(site);
        const std::string first = site.owner();
        site.submit(first, "j1", "plans", graphOf(1, 1, 1'000, Duration(300)));
        site.submit(first, "j2", "plans", graphOf(1, 1, 1'000, Duration(300)));
        site.stop(first);
        site.run(Duration(500));
        EXPECT_EQ(site.answers("j1"), std::vector{CallAnswer::Accepted});
        EXPECT_EQ(site.answers("j2"), std::vector{CallAnswer::Accepted});
        section("the next owner completes both jobs", [&] {
            site.run(Duration(4'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.state("j2"), GraphState::Completed);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, StartsNothingAfterAFreezeBeyondItsLease)
{
    story("the owner freezes for longer than its lease and resumes after another has taken over", [] {
        CellSite site;
        fillLooms(site);
        const std::string first = site.owner();
        site.durations[JobId("j1")] = 2'000;
        site.submit(first, "j1", "plans", graphOf(3, 6, 1'000, Duration(2'000)));
        site.run(Duration(500));
        site.freeze(first);
        site.run(Duration(4'000));
        EXPECT_NE(site.owner(), first);
        site.thaw(first);
        site.run(Duration(10'000));
        EXPECT_EQ(site.state("j1"), GraphState::Completed);
        EXPECT_EQ(site.runs("j1"), 18);
        expectNothingBroken(site);
    });
}

TEST(CellOwner, ContinuesAfterAnOutageOfTheStore)
{
    story("the store is down for less than the lease of the runs", [] {
        CellSite site;
        fillLooms(site);
        const std::string first = site.owner();
        site.durations[JobId("j1")] = 5'000;
        site.submit(first, "j1", "plans", graphOf(1, 8, 1'000, Duration(5'000)));
        site.run(Duration(500));
        site.storeDown = true;
        section("no job is accepted during the outage", [&] {
            site.run(Duration(2'500));
            site.submit(first, "j2", "plans", graphOf(1, 1, 1'000, Duration(300)));
            site.run(Duration(100));
            EXPECT_EQ(site.answers("j2"), std::vector{CallAnswer::Unavailable});
        });
        section("after the outage the job completes without a lost run", [&] {
            site.storeDown = false;
            site.run(Duration(8'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 8);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, AnswersCallersInDoubtWhenTheStoreDoesNotAnswer)
{
    story("the store fails before it has stored a submitted job", [] {
        CellSite site;
        fillLooms(site);
        site.storeDown = true;
        site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(300)));
        section("within two seconds the caller is answered that the acceptance is in doubt", [&] {
            site.run(Duration(2'000));
            EXPECT_EQ(site.answers("j1"), std::vector{CallAnswer::InDoubt});
        });
        section("a repeated submission is accepted after the store has recovered, and the job runs once", [&] {
            site.storeDown = false;
            site.run(Duration(3'000));
            site.submit(site.owner(), "j1", "plans", graphOf(1, 4, 1'000, Duration(300)));
            site.run(Duration(3'000));
            EXPECT_EQ(site.answers("j1").back(), CallAnswer::Accepted);
            EXPECT_EQ(site.runs("j1"), 4);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, RepeatsAWriteWithoutAnAnswer)
{
    story("a write gets no answer, and the store carries it out seconds later", [] {
        CellSite site;
        fillLooms(site);
        const std::string first = site.owner();
        site.submit(first, "j1", "plans", graphOf(3, 4, 1'000, Duration(300)));
        site.loseNextWrite = true;
        section("the job completes", [&] {
            site.run(Duration(2'900));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
        });
        section("the late write has no effect on the state of the next owner", [&] {
            site.run(Duration(2'000));
            site.kill(first);
            site.run(Duration(5'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 12);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, HandsOverToAFitterHost)
{
    story("a host with little capacity owns the cell, and a fit host comes back", [] {
        CellSite site;
        fillWithUnfitOwner(site);
        site.durations[JobId("j1")] = 4'000;
        site.submit("a", "j1", "plans", graphOf(2, 6, 1'000, Duration(4'000)));
        section("the fit host first observes the owner", [&] {
            site.run(Duration(900));
            EXPECT_EQ(site.owner(), "a");
        });
        section("then it owns the cell within a second, by one change of the owner", [&] {
            for (int index = 0; index < 20; ++index) {
                site.submit("a", "k" + std::to_string(index), "plans", graphOf(1, 1, 1'000, Duration(300)));
                site.run(Duration(60));
            }
            EXPECT_EQ(site.owner(), "b");
            EXPECT_EQ(site.handoverRequests, 1);
            EXPECT_EQ(epochAt(site, "b"), 2);
        });
        section("callers of the former owner were answered, none of them in doubt", [&] {
            for (int index = 0; index < 20; ++index) {
                const auto answers = site.answers("k" + std::to_string(index));
                ASSERT_EQ(answers.size(), 1) << index;
                EXPECT_TRUE(answers[0] == CallAnswer::Accepted || answers[0] == CallAnswer::Unavailable) << index;
            }
        });
        section("the runs continue, none is started twice, and the accepted jobs complete", [&] {
            site.run(Duration(12'000));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 12);
            for (int index = 0; index < 20; ++index) {
                const std::string job = "k" + std::to_string(index);
                if (site.answers(job)[0] == CallAnswer::Accepted) {
                    EXPECT_EQ(site.state(job), GraphState::Completed) << job;
                }
            }
        });
        section("the former owner takes over again when the fit host is gone", [&] {
            site.kill("b");
            site.run(Duration(5'000));
            EXPECT_EQ(site.owner(), "a");
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, IsAskedOnceForAHandoverThatItDeclines)
{
    story("two fit hosts and one with little capacity", [] {
        CellSite site;
        fillLooms(site);
        site.addNode("c", littleCapacity);
        const Epoch epoch = epochAt(site, "a");
        site.run(Duration(30'000));
        section("the other fit host has asked the owner once", [&] { EXPECT_EQ(site.handoverRequests, 1); });
        section("the owner is the same", [&] { EXPECT_EQ(epochAt(site, "a"), epoch); });
        section("the next owner is asked once as well", [&] {
            const std::string first = site.owner();
            site.kill(first);
            site.run(Duration(4'000));
            site.restart(first);
            site.run(Duration(30'000));
            EXPECT_EQ(site.handoverRequests, 2);
            EXPECT_EQ(epochAt(site, "a"), epoch + 1);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, ContinuesWhenTheReleaseFails)
{
    story("the write that releases the cell gets no answer, and would be carried out only later", [] {
        CellSite site;
        fillWithUnfitOwner(site);
        site.loseNextRelease = 3'000;
        section("the owner repeats its row and serves on under the same epoch", [&] {
            site.run(Duration(3'000));
            ASSERT_FALSE(site.loseNextRelease);
            EXPECT_EQ(site.owner(), "a");
            site.submit("a", "j1", "plans", graphOf(2, 6, 1'000, Duration(300)));
            site.run(Duration(1'500));
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(epochAt(site, "a"), 1);
        });
        section("it is asked again after a pause and hands over", [&] {
            site.run(Duration(4'000));
            EXPECT_EQ(site.handoverRequests, 2);
            EXPECT_EQ(site.owner(), "b");
            EXPECT_EQ(epochAt(site, "b"), 2);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, StartsNothingWhileItsReleaseIsInDoubt)
{
    story("the write that releases the cell is carried out, but its answer is lost", [] {
        CellSite site;
        fillWithUnfitOwner(site);
        site.loseNextRelease = 6;
        site.durations[JobId("j1")] = 100;
        site.submit("a", "j1", "plans", graphOf(40, 1, 1'000, Duration(100)));
        std::size_t runsBefore = 0;
        section("the owner starts no further task and answers no caller", [&] {
            while (site.loseNextRelease && site.time() < 6'000) {
                site.run(Duration(10));
            }
            ASSERT_FALSE(site.loseNextRelease);
            site.freeze("b");
            site.node("a").cutFromStore = true;
            runsBefore = site.runs("j1");
            site.submit("a", "j2", "plans", graphOf(1, 1, 1'000, Duration(300)));
            site.run(Duration(1'900));
            EXPECT_EQ(site.runs("j1"), runsBefore);
            EXPECT_EQ(site.answers("j2"), std::vector{CallAnswer::Unavailable});
            EXPECT_EQ(site.owner(), "");
        });
        section("the fit host takes over and completes the job", [&] {
            site.node("a").cutFromStore = false;
            site.thaw("b");
            site.run(Duration(20'000));
            EXPECT_EQ(site.owner(), "b");
            EXPECT_EQ(site.state("j1"), GraphState::Completed);
            EXPECT_EQ(site.runs("j1"), 40);
        });
        expectNothingBroken(site);
    });
}

TEST(CellOwner, DoesNotReleaseRepeatedlyForAHostThatDoesNotTakeOver)
{
    story("a fit host asks for the cell and is frozen before it can take over", [] {
        CellSite site;
        fillWithUnfitOwner(site);
        while (site.handoverRequests == 0 && site.time() < 6'000) {
            site.run(Duration(10));
        }
        site.freeze("b");
        section("the owner takes the cell again", [&] {
            site.run(Duration(4'000));
            ASSERT_EQ(site.owner(), "a");
            EXPECT_EQ(epochAt(site, "a"), 2);
        });
        section("it keeps the cell for half a minute after the release, then hands over", [&] {
            site.thaw("b");
            site.run(Duration(20'000));
            EXPECT_EQ(site.owner(), "a");
            EXPECT_EQ(epochAt(site, "a"), 2);
            site.run(Duration(15'000));
            EXPECT_EQ(site.owner(), "b");
            EXPECT_EQ(epochAt(site, "b"), 3);
        });
        expectNothingBroken(site);
    });
}

} // namespace radishvane::tests
