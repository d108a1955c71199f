#include "core/cells/cell_writer.h"
#include "drivers/cell_codec.h"
#include "tests/support/story.h"
#include "tests/support/test_store_limits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace radishvane::tests
{

namespace
{

using namespace cells;

constexpr std::size_t maxRowsOfAKind = CellWriter::maxRows / 3;

JobId numbered(const std::string &prefix, std::size_t number)
{
    return JobId(prefix + std::to_string(number));
}

bool holds(const std::vector<JobRow> &rows, const JobId &job)
{
    return std::any_of(rows.begin(), rows.end(), [&job](const JobRow &row) { return row.id == job; });
}

std::ptrdiff_t rowsOf(const std::vector<ProgressRow> &rows, const JobId &job)
{
    return std::count_if(rows.begin(), rows.end(), [&job](const ProgressRow &row) { return row.id == job; });
}

/// The writer of an owner, with the jobs that it stores.
class OwnersWriter
{
public:
    OwnersWriter()
    {
        lease.recordWrite(lease.nextRow(), 1, now);
    }

    Job &addJob(const JobId &id, bool isStored, std::string payload = "work")
    {
        JobRow row;
        row.id = id;
        row.spec.payload = std::move(payload);
        row.spec.steps.resize(1);
        row.spec.steps[0].count = 1;
        Job &job = registry.add(std::move(row), now);
        job.stored = isStored;
        return job;
    }

    /// Sends the next transaction.
    const CellTransaction &send()
    {
        now += CellWriter::retryPause;
        lease.recordWrite(lease.nextRow(), 1, now);
        auto transaction = writer.next(CellId("c0"), registry, roster, lease, now);
        writer.sent(CallId{++m_calls}, transaction.value_or(CellTransaction{}), roster, now);
        return writer.pending()->transaction;
    }

    Worker &addWorker(const WorkerId &id, std::int64_t startedAtMs)
    {
        WorkerEntry entry;
        entry.id = id;
        entry.startedAtMs = startedAtMs;
        roster.observe({entry});
        return *roster.find(id);
    }

    CellWriter writer{testStoreLimits()};
    JobRegistry registry;
    WorkerRoster roster;
    CellLease lease{HostId("a"), 1, Endpoint{"a", 1}, HostCapacity{}};
    TimePoint now{std::chrono::hours(1'000)};

private:
    std::uint64_t m_calls = 0;
};

} // namespace

TEST(CellWriter, StoresJobsInTheOrderInWhichTheyCame)
{
    story("more jobs come and change during each transaction than the next one takes", [] {
        OwnersWriter owner;
        const auto addLoad = [&owner](const std::string &prefix) {
            for (std::size_t number = 0; number < 2 * maxRowsOfAKind; ++number) {
                owner.addJob(numbered("new-" + prefix, number), false);
                owner.writer.addJob(numbered("new-" + prefix, number));
                owner.addJob(numbered("old-" + prefix, number), true);
                owner.writer.changeJob(numbered("old-" + prefix, number));
            }
        };
        addLoad("c");
        owner.addJob(JobId("z-new"), false);
        owner.writer.addJob(JobId("z-new"));
        owner.addJob(JobId("z-old"), true);
        owner.writer.changeJob(JobId("z-old"));
        owner.writer.changeJob(JobId("z-old"));
        section("the first two transactions hold those that came before", [&] {
            for (int count = 0; count < 2; ++count) {
                const CellTransaction &transaction = owner.send();
                EXPECT_EQ(transaction.jobs.size(), maxRowsOfAKind);
                EXPECT_EQ(transaction.progress.size(), maxRowsOfAKind);
                EXPECT_FALSE(holds(transaction.jobs, JobId("z-new")));
                EXPECT_EQ(rowsOf(transaction.progress, JobId("z-old")), 0);
                owner.writer.succeed();
                addLoad(count == 0 ? "b" : "a");
            }
        });
        section("the third one holds the jobs with the largest ids, once each", [&] {
            const CellTransaction &transaction = owner.send();
            EXPECT_TRUE(holds(transaction.jobs, JobId("z-new")));
            EXPECT_EQ(rowsOf(transaction.progress, JobId("z-old")), 1);
        });
        section("after a failure its rows are written again before those that came meanwhile", [&] {
            const CellTransaction failed = owner.writer.pending()->transaction;
            owner.writer.changeJob(JobId("z-old"));
            owner.writer.fail(owner.now);
            const CellTransaction &transaction = owner.send();
            const auto isSame = [](const auto &left, const auto &right) {
                return left.id == right.id;
            };
            EXPECT_TRUE(std::equal(transaction.jobs.begin(), transaction.jobs.end(), failed.jobs.begin(),
                                   failed.jobs.end(), isSame));
            EXPECT_TRUE(std::equal(transaction.progress.begin(), transaction.progress.end(), failed.progress.begin(),
                                   failed.progress.end(), isSame));
            owner.writer.succeed();
        });
        section("a change during the failed transaction needs no second row", [&] {
            while (owner.writer.hasWork()) {
                EXPECT_EQ(rowsOf(owner.send().progress, JobId("z-old")), 0);
                owner.writer.succeed();
            }
        });
    });
}

TEST(CellWriter, CountsEndsAsStoredUnderAStandingBacklog)
{
    story("jobs change all the time, so that no transaction holds all changes", [] {
        using Ends = std::map<WorkerId, std::pair<std::int64_t, std::uint64_t>>;
        const WorkerId id("w");
        OwnersWriter owner;
        Worker &worker = owner.addWorker(id, 7);
        const auto change = [&owner](std::size_t first) {
            for (std::size_t number = first; number < first + maxRowsOfAKind; ++number) {
                owner.addJob(numbered("j", number), true);
                owner.writer.changeJob(numbered("j", number));
            }
        };
        change(0);
        change(100);
        worker.processed = 5;
        section("the ends so far are not stored with the first half of the rows", [&] {
            owner.send();
            worker.processed = 8;
            change(200);
            EXPECT_EQ(owner.writer.succeed().ends, Ends{});
        });
        section("they are stored with the second half, although more jobs have changed since", [&] {
            EXPECT_EQ(owner.send().progress.size(), maxRowsOfAKind);
            change(0);
            EXPECT_EQ(owner.writer.succeed().ends, (Ends{{id, {7, 5}}}));
        });
        section("a transaction without a known outcome stores no ends", [&] {
            owner.send();
            worker.processed = 9;
            owner.writer.fail(owner.now);
        });
        section("the ends of the moment at which the failed rows changed are stored when these are written again", [&] {
            owner.send();
            EXPECT_EQ(owner.writer.succeed().ends, (Ends{{id, {7, 8}}}));
        });
        section("the later ones are stored with the last of the rows that had changed then", [&] {
            owner.send();
            change(100);
            EXPECT_EQ(owner.writer.succeed().ends, (Ends{{id, {7, 9}}}));
        });
        section("a job that is gone holds up nothing", [&] {
            worker.processed = 10;
            change(300);
            owner.send();
            owner.registry.erase(numbered("j", 300));
            EXPECT_EQ(owner.writer.succeed().ends, Ends{});
            owner.send();
            EXPECT_EQ(owner.writer.succeed().ends, (Ends{{id, {7, 10}}}));
        });
        section("what was under way when the ownership ended stores nothing", [&] {
            change(0);
            change(100);
            owner.send();
            owner.writer.clear();
            worker = Worker{};
            worker.startedAtMs = 8;
            owner.send();
            EXPECT_EQ(owner.writer.succeed().ends, (Ends{{id, {8, 0}}}));
        });
    });
}

TEST(CellWriter, RemovesThePayloadOfAJobOnlyWithItsEnd)
{
    story("jobs with payloads of 4,000 bytes change and end", [] {
        OwnersWriter owner;
        const std::string payload(4'000, 'p');
        section("a change of a job leaves its row as it is", [&] {
            owner.addJob(JobId("j"), true, payload);
            owner.writer.changeJob(JobId("j"));
            EXPECT_FALSE(holds(owner.send().jobs, JobId("j")));
            owner.writer.succeed();
        });
        const auto expectEndOfJob = [&owner] {
            const CellTransaction &transaction = owner.send();
            ASSERT_EQ(rowsOf(transaction.progress, JobId("j")), 1);
            ASSERT_EQ(transaction.jobs.size(), 1);
            EXPECT_EQ(transaction.jobs[0].id, JobId("j"));
            EXPECT_EQ(transaction.jobs[0].spec.payload, "");
            EXPECT_EQ(transaction.jobs[0].spec.steps.size(), 1);
        };
        section("its end is stored together with its row without the payload", [&] {
            owner.registry.finish(*owner.registry.find(JobId("j")), GraphState::Completed, owner.now);
            owner.writer.changeJob(JobId("j"));
            expectEndOfJob();
        });
        section("after a transaction without a known outcome both rows are written again", [&] {
            owner.writer.fail(owner.now);
            expectEndOfJob();
            owner.writer.succeed();
            EXPECT_FALSE(owner.writer.hasWork());
        });
        section("a job that is cancelled before it is stored keeps its payload, in one row", [&] {
            Job &job = owner.addJob(JobId("k"), false, payload);
            owner.writer.addJob(JobId("k"));
            owner.registry.finish(job, GraphState::Cancelled, owner.now);
            owner.writer.changeJob(JobId("k"));
            const CellTransaction &transaction = owner.send();
            ASSERT_EQ(transaction.jobs.size(), 1);
            EXPECT_EQ(transaction.jobs[0].spec.payload, payload);
            owner.writer.succeed();
        });
        section("a small payload is not worth a row", [&] {
            owner.registry.finish(owner.addJob(JobId("s"), true), GraphState::Completed, owner.now);
            owner.writer.changeJob(JobId("s"));
            EXPECT_TRUE(owner.send().jobs.empty());
            owner.writer.succeed();
        });
    });
}

TEST(CellWriter, KeepsToTheRowLimitOfATransaction)
{
    story("many jobs come, end and are dropped at the same time", [] {
        OwnersWriter owner;
        for (std::size_t number = 0; number < 4 * maxRowsOfAKind; ++number) {
            owner.addJob(numbered("n", number), false);
            owner.writer.addJob(numbered("n", number));
            owner.registry.finish(owner.addJob(numbered("e", number), true, std::string(4'000, 'p')),
                                  GraphState::Completed, owner.now);
            owner.writer.changeJob(numbered("e", number));
            owner.writer.dropJob(DeletedJob{numbered("d", number)});
        }
        std::size_t deleted = 0;
        while (owner.writer.hasWork()) {
            const CellTransaction &transaction = owner.send();
            deleted += transaction.deletedJobs.size();
            EXPECT_LE(transaction.jobs.size() + transaction.progress.size() + 2 * transaction.deletedJobs.size(),
                      CellWriter::maxRows);
            owner.writer.succeed();
        }
        EXPECT_EQ(deleted, 4 * maxRowsOfAKind);
    });
}

TEST(CellWriter, StoresTheHostsWithOrders)
{
    story("an owner has orders for hosts under way", [] {
        OwnersWriter owner;
        const HostOrdersRow one{{HostId("h1")}};
        const HostOrdersRow two{{HostId("h1"), HostId("h2")}};
        section("the end of an order causes no transaction", [&] {
            owner.writer.changeHostOrders(HostOrdersRow{}, CellWriter::Urgency::WithNextWrite);
            EXPECT_FALSE(owner.writer.hasWork());
        });
        section("a new order causes one", [&] {
            owner.writer.changeHostOrders(one, CellWriter::Urgency::Now);
            EXPECT_TRUE(owner.writer.hasWork());
            EXPECT_EQ(owner.send().hostOrders.value().hosts, one.hosts);
            owner.writer.succeed();
            EXPECT_FALSE(owner.writer.hasWork());
        });
        section("after a failure the newest row is written", [&] {
            owner.writer.changeHostOrders(one, CellWriter::Urgency::Now);
            owner.send();
            owner.writer.changeHostOrders(two, CellWriter::Urgency::Now);
            owner.writer.fail(owner.now);
            EXPECT_EQ(owner.send().hostOrders.value().hosts, two.hosts);
            owner.writer.fail(owner.now);
            EXPECT_EQ(owner.send().hostOrders.value().hosts, two.hosts);
            owner.writer.succeed();
        });
        section("the end of an order goes into the next transaction", [&] {
            owner.writer.changeHostOrders(one, CellWriter::Urgency::WithNextWrite);
            owner.writer.changeRoster();
            EXPECT_EQ(owner.send().hostOrders.value().hosts, one.hosts);
            owner.writer.succeed();
        });
    });
}

TEST(CellWriter, StoresTheListOfWorkersInBoundedParts)
{
    story("an owner learns of 3,000 workers with the longest names, and of their changes", [] {
        OwnersWriter owner;
        constexpr std::size_t workers = 3'000;
        std::vector<WorkerEntry> entries(workers);
        for (std::size_t index = 0; index < workers; ++index) {
            const std::string name = std::to_string(index);
            entries[index].id = WorkerId(name + std::string(200 - name.size(), 'w'));
            entries[index].host = HostId(name + std::string(200 - name.size(), 'h'));
            entries[index].pool = PoolId(std::string(200, 'p'));
            entries[index].endpoint = Endpoint{"127.0.0.1", 1};
            entries[index].startedAtMs = 7;
        }
        owner.roster.observe(entries);
        std::map<std::uint32_t, std::vector<KnownWorker>> stored;
        const auto writeAll = [&] {
            std::size_t parts = 0;
            while (owner.writer.hasWork()) {
                const CellTransaction &transaction = owner.send();
                EXPECT_LE(transaction.roster.size(), CellWriter::maxRosterParts);
                for (const RosterRow &row : transaction.roster) {
                    EXPECT_LE(drivers::encodeRow(row).size(),
                              row.part == 0 ? WorkerRoster::maxFirstPartBytes : WorkerRoster::maxPartBytes);
                    stored[row.part] = row.workers;
                    for (const KnownWorker &known : row.workers) {
                        owner.roster.find(known.id)->recorded = true;
                    }
                    ++parts;
                }
                owner.writer.succeed();
            }
            return parts;
        };
        const auto storedWorkers = [&stored] {
            std::set<WorkerId> names;
            for (const auto &[part, row] : stored) {
                for (const KnownWorker &known : row) {
                    EXPECT_TRUE(names.insert(known.id).second);
                }
            }
            return names;
        };
        section("all of them are stored, each in one part", [&] {
            owner.writer.changeRoster();
            writeAll();
            EXPECT_EQ(storedWorkers().size(), workers);
        });
        section("a change of one worker writes one part", [&] {
            Worker &worker = *owner.roster.find(entries[workers / 2].id);
            owner.roster.beginIncarnation(worker, 8);
            worker.recorded = false;
            owner.writer.changeRoster();
            EXPECT_EQ(writeAll(), 1);
        });
        section("a part of a failed transaction is written again", [&] {
            owner.roster.find(entries[0].id)->recorded = false;
            owner.writer.changeRoster();
            ASSERT_EQ(owner.send().roster.size(), 1);
            owner.writer.fail(owner.now);
            EXPECT_EQ(writeAll(), 1);
        });
        section("what has not changed is not written", [&] {
            owner.writer.changeRoster();
            EXPECT_EQ(writeAll(), 0);
        });
        section("a worker that is gone leaves its part, and another one takes its place", [&] {
            const std::uint32_t part = owner.roster.find(entries[0].id)->rosterPart;
            owner.roster.remove(entries[0].id);
            WorkerEntry entry = entries[0];
            entry.id = WorkerId("new");
            entries[0] = entry;
            owner.roster.observe(entries);
            EXPECT_EQ(owner.roster.find(entry.id)->rosterPart, part);
            owner.writer.changeRoster();
            EXPECT_EQ(writeAll(), 1);
            EXPECT_EQ(storedWorkers().count(entry.id), 1);
            EXPECT_EQ(storedWorkers().size(), workers);
        });
        section("the next owner leaves each worker in its part", [&] {
            std::vector<RosterRow> rows;
            for (const auto &[part, row] : stored) {
                rows.push_back(RosterRow{part, row});
            }
            WorkerRoster next;
            next.reset(rows, owner.now, owner.now);
            for (const RosterRow &row : next.rows(owner.now)) {
                EXPECT_EQ(row.workers, stored[row.part]);
            }
        });
    });
}

TEST(CellWriter, KeepsToTheSizeOfACallWhenManyLargeJobsChange)
{
    story("30 jobs of 3,200 tasks change at the same time", [] {
        constexpr std::size_t jobs = 30;
        constexpr std::size_t maxCallBytes = 1'000'000;
        OwnersWriter owner;
        for (std::size_t number = 0; number < jobs; ++number) {
            Job &job = owner.addJob(numbered("j", number), true);
            job.row.spec.steps[0].count = 3'200;
            owner.registry.openDueOccurrences(job, Instant{owner.now, WallTime{}});
            owner.writer.changeJob(numbered("j", number));
        }
        std::size_t written = 0;
        while (owner.writer.hasWork()) {
            const CellTransaction &transaction = owner.send();
            std::size_t bytes = 0;
            for (const ProgressRow &row : transaction.progress) {
                bytes += drivers::encodeRow(row).size() * 4 / 3;
            }
            EXPECT_LE(bytes, maxCallBytes);
            written += transaction.progress.size();
            owner.writer.succeed();
        }
        EXPECT_EQ(written, jobs);
    });
}

TEST(CellWriter, StoresProgressBesideLargeNewJobs)
{
    story("more large jobs come than a transaction takes, while others change", [] {
        OwnersWriter owner;
        for (std::size_t number = 0; number < maxRowsOfAKind; ++number) {
            owner.addJob(numbered("new", number), false, std::string(50'000, 'x'));
            owner.writer.addJob(numbered("new", number));
        }
        owner.addJob(JobId("old"), true);
        owner.writer.changeJob(JobId("old"));
        EXPECT_EQ(rowsOf(owner.send().progress, JobId("old")), 1);
    });
}

TEST(CellWriter, LeavesRoomForTheReleaseWhenManyWavesChange)
{
    story("as many jobs come as a transaction takes, and many waves change", [] {
        OwnersWriter owner;
        for (std::size_t number = 0; number < CellWriter::maxRows; ++number) {
            owner.addJob(numbered("new", number), false);
            owner.writer.addJob(numbered("new", number));
        }
        constexpr std::uint64_t waves = 12;
        for (std::uint64_t number = 1; number <= waves; ++number) {
            owner.writer.changeWave(WaveRow{number, {}, false});
        }
        std::set<std::uint64_t> stored;
        while (owner.writer.hasWork()) {
            const CellTransaction &transaction = owner.send();
            EXPECT_LE(transaction.jobs.size() + transaction.waves.size(), CellWriter::maxRows);
            for (const WaveRow &wave : transaction.waves) {
                stored.insert(wave.number);
            }
            owner.writer.succeed();
        }
        EXPECT_EQ(stored.size(), waves);
    });
}

} // namespace radishvane::tests
