#include "core/jobs/job_controller.h"

#include "core/base/overloaded.h"
#include "core/platform/write_resolver.h"
#include "tests/support/example_config.h"
#include "tests/support/fake_platform.h"
#include "tests/support/story.h"

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <random>

namespace radishvane::tests
{

namespace
{

constexpr Duration step{250};
constexpr Duration runTime{3'000};

/// How a call to a worker is treated.
enum class CallFault {
    None,
    /// The worker never gets it, and the caller knows it.
    NotSent,
    /// The worker never gets it, and the caller gets no answer.
    Swallowed,
    /// The worker acts on it, and the caller gets no answer.
    AnswerLost,
};

/// Workers that run tasks under leases, as the platform's do.
class FakeWorkers
{
public:
    WorkerAnswered call(const WorkerCall &call, TimePoint now, CallFault fault)
    {
        if (fault == CallFault::NotSent) {
            return {call.id, WorkerFailure::NotSent};
        }
        if (fault == CallFault::Swallowed) {
            return {call.id, WorkerFailure::AnswerLost};
        }
        const TaskReport report
            = std::visit([&](const auto &request) { return act(call.worker, request, now); }, call.request);
        if (fault == CallFault::AnswerLost) {
            return {call.id, WorkerFailure::AnswerLost};
        }
        return {call.id, report};
    }

    std::map<JobId, int> executions;
    bool failsAll = false;
    bool canCheckpoint = false;
    /// Starts that went on from a checkpoint.
    int resumed = 0;

private:
    struct Task
    {
        std::uint64_t epoch = 0;
        TaskState state = TaskState::Unknown;
        TimePoint endsAt;
        TimePoint leasedUntil;
    };

    Task &find(const Endpoint &worker, const JobId &job, TimePoint now)
    {
        Task &task = m_tasks[{worker, job}];
        if (task.state == TaskState::Running && task.leasedUntil < std::min(now, task.endsAt)) {
            task.state = TaskState::Stopped;
        } else if (task.state == TaskState::Running && task.endsAt <= now) {
            task.state = failsAll ? TaskState::Failed : TaskState::Done;
        }
        return task;
    }

    TaskReport act(const Endpoint &worker, const StartTask &start, TimePoint now)
    {
        Task &task = find(worker, start.job, now);
        if (task.epoch == start.epoch && task.state != TaskState::Unknown) {
            return {task.state, "", runTime, 1};
        }
        if (task.epoch > start.epoch) {
            return {TaskState::Refused, "", {}, 0};
        }
        task = Task{start.epoch, TaskState::Running, now + runTime, now + start.lease};
        executions[start.job] += start.checkpoint.empty() ? 1 : 0;
        resumed += start.checkpoint.empty() ? 0 : 1;
        return {TaskState::Running, "", {}, 0, canCheckpoint};
    }

    TaskReport act(const Endpoint &worker, const RenewTask &renew, TimePoint now)
    {
        Task &task = find(worker, renew.job, now);
        if (task.epoch != renew.epoch) {
            return {};
        }
        if (task.state == TaskState::Running && renew.lease > Duration(0)) {
            task.leasedUntil = now + renew.lease;
        }
        return {task.state, "", runTime, 1, canCheckpoint, checkpointOf(task, renew.job)};
    }

    TaskReport act(const Endpoint &worker, const FenceTask &fence, TimePoint now)
    {
        Task &task = find(worker, fence.job, now);
        if (task.epoch == fence.epoch) {
            return {task.state, "", runTime, 1};
        }
        if (task.epoch < fence.epoch) {
            task = Task{fence.epoch, TaskState::NeverStarted, {}, {}};
        }
        return {TaskState::NeverStarted, "", {}, 0};
    }

    static std::string checkpointOf(const Task &task, const JobId &job)
    {
        return task.state == TaskState::Checkpointed ? "checkpoint-of-" + job.name() : "";
    }

    TaskReport act(const Endpoint &worker, const CheckpointTask &checkpoint, TimePoint now)
    {
        Task &task = find(worker, checkpoint.job, now);
        if (canCheckpoint && task.epoch == checkpoint.epoch && task.state == TaskState::Running) {
            task.state = TaskState::Checkpointed;
        }
        return {task.state, "", runTime, 1, canCheckpoint, checkpointOf(task, checkpoint.job)};
    }

    TaskReport act(const Endpoint &worker, const StopTaskRun &stop, TimePoint now)
    {
        Task &task = find(worker, stop.job, now);
        if (task.epoch == stop.epoch && task.state == TaskState::Running) {
            task.state = TaskState::Stopped;
        }
        return {task.state, "", runTime, 1};
    }

    std::map<std::pair<Endpoint, JobId>, Task> m_tasks;
};

/// Three entry hosts with jobs over one table, and faults that a seed chooses.
class JobWorld
{
public:
    explicit JobWorld(std::uint32_t seed) : m_random(seed)
    {
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            startHost(index);
        }
    }

    void submit(int number, bool idempotent, std::uint32_t cores = 1)
    {
        JobSpec spec;
        spec.kind = "dye";
        spec.idempotent = idempotent;
        spec.needs.cores = cores;
        const JobSubmitted submitted{ExchangeId{static_cast<std::uint64_t>(number)}, "office-key",
                                     "job-" + std::to_string(number), spec};
        perform(pick(hostCount), submitted);
    }

    /// The hosts get no new work, and jobs that can be moved away from them are.
    void leave(const std::set<HostId> &hosts)
    {
        for (std::uint32_t host = 0; host < hostCount; ++host) {
            perform(host, JobLeavingHosts{hosts});
        }
    }

    void restartAll()
    {
        for (std::size_t host = 0; host < hostCount; ++host) {
            startHost(host);
        }
    }

    void cancel(int number)
    {
        perform(pick(hostCount),
                JobCancelRequested{ExchangeId{static_cast<std::uint64_t>(number)}, "office-key",
                                   JobId("office.job-" + std::to_string(number))});
    }

    void run(Duration length, bool faults)
    {
        for (Duration passed{}; passed < length; passed += step) {
            m_now.steady += step;
            m_now.wall += step;
            m_faults = faults;
            if (faults && pick(600) == 0) {
                // Somebody sets the wall clock, by up to an hour either way.
                constexpr std::uint32_t hour = 3'600'000;
                m_now.wall += Duration(pick(2 * hour)) - Duration(hour);
            }
            if (faults && pick(60) == 0) {
                const std::uint32_t host = pick(hostCount);
                m_silentUntil[host] = m_now.steady + Duration(pick(40'000));
                if (pick(2) == 0) {
                    startHost(host);
                }
            }
            for (std::uint32_t host = 0; host < hostCount; ++host) {
                tick(host);
            }
        }
    }

    /// Lets time pass without anything happening in between.
    void skip(Duration time)
    {
        m_now.steady += time;
        m_now.wall += time;
    }

    std::vector<JobRow> rows() const
    {
        std::vector<JobRow> found;
        for (const auto &[key, row] : platform.rows()) {
            if (const auto *job = std::get_if<JobRow>(&row.value)) {
                found.push_back(*job);
            }
        }
        return found;
    }

    static bool ended(const JobRow &row)
    {
        const bool failedPlainly = row.state == JobState::Failed && row.reason != JobReason::None;
        return row.state == JobState::Done || row.state == JobState::Cancelled || failedPlainly;
    }

    FakePlatform platform;
    FakeWorkers workers;
    std::vector<JobRefused> refused;

    static constexpr std::uint32_t hostCount = 3;

private:
    struct EntryHost
    {
        HolderId holder;
        std::unique_ptr<JobController> keeper;
        std::unique_ptr<WriteResolver> resolver;
        TimePoint startedAt;
    };

    std::uint32_t pick(std::uint32_t below)
    {
        return static_cast<std::uint32_t>(m_random() % below);
    }

    void startHost(std::size_t index)
    {
        EntryHost &host = m_hosts[index];
        host.holder = HolderId{HostId(std::string(1, static_cast<char>('a' + index))), Incarnation{++m_starts}};
        host.keeper = std::make_unique<JobController>(host.holder.host, m_starts);
        host.resolver = std::make_unique<WriteResolver>("writer-" + std::to_string(m_starts));
        host.startedAt = m_now.steady;
        const auto number = static_cast<std::uint32_t>(index);
        perform(number, JobConfig{ExampleConfig{.ceiling = 100, .backends = 4}.make()});
        perform(number, JobHolder{host.holder});
        perform(number, JobAllowance{TeamId("office"), 0, 100, m_starts});
        perform(number, JobPeers{{HostId("a"), HostId("b"), HostId("c")}});
    }

    void tick(std::uint32_t index)
    {
        if (m_now.steady < m_silentUntil[index]) {
            return;
        }
        // A host that was silent for long has lost its session; its lease ends before others may think so.
        perform(index, JobLease{m_now.steady + Duration(10'000)});
        perform(index, sessions());
        const auto effects = m_hosts[index].resolver->timePassed(m_now.steady);
        resolve(index, effects);
        perform(index, JobTick{});
    }

    SessionsSeen sessions() const
    {
        SessionsSeen seen;
        for (std::uint32_t index = 0; index < hostCount; ++index) {
            SessionRow row;
            row.holder = m_hosts[index].holder;
            constexpr Duration endAfter{20'000};
            row.ended = m_silentUntil[index] > m_now.steady + endAfter;
            seen.sessions.push_back({row, Duration(0)});
        }
        return seen;
    }

    PlatformFault platformFault()
    {
        constexpr std::array<PlatformFault, 3> faults{PlatformFault::Down, PlatformFault::Swallowed,
                                                      PlatformFault::AnswerLost};
        return m_faults && pick(8) == 0 ? faults[pick(faults.size())] : PlatformFault::None;
    }

    CallFault callFault()
    {
        constexpr std::array<CallFault, 3> faults{CallFault::NotSent, CallFault::Swallowed, CallFault::AnswerLost};
        return m_faults && pick(4) == 0 ? faults[pick(faults.size())] : CallFault::None;
    }

    void perform(std::uint32_t index, const JobEvent &event)
    {
        EntryHost &host = m_hosts[index];
        for (const JobEffect &effect : host.keeper->handle(event, m_now)) {
            std::visit(
                Overloaded{
                    [&](const PlatformCall &call) { resolve(index, host.resolver->submit(call, m_now.steady)); },
                    [&](const WorkerCall &call) { perform(index, workers.call(call, m_now.steady, callFault())); },
                    [&](const AnswerJob &answer) {
                        if (const auto *refusal = std::get_if<JobRefused>(&answer.answer)) {
                            refused.push_back(*refusal);
                        }
                    },
                    [](const JobDemand &) {},
                    [](const JobLogEntry &) {},
                    [](const AllJobsHandedBack &) {},
                },
                effect);
        }
    }

    void resolve(std::uint32_t index, const ResolverEffects &effects)
    {
        for (const ResolverEffect &effect : effects) {
            std::visit(
                Overloaded{
                    [&](const SendToPlatform &send) {
                        const PlatformAnswered answered{send.call.id, platform.answer(send.call, platformFault())};
                        resolve(index, m_hosts[index].resolver->answered(answered, m_now.steady));
                    },
                    [&](const DeliverAnswer &deliver) { perform(index, deliver.answered); },
                },
                effect);
        }
    }

    std::minstd_rand m_random;
    bool m_faults = false;
    Instant m_now{TimePoint(std::chrono::hours(1)), WallTime(std::chrono::hours(24 * 20'000))};
    std::uint64_t m_starts = 0;
    std::array<EntryHost, hostCount> m_hosts;
    std::array<TimePoint, hostCount> m_silentUntil{};
};

} // namespace

// Random silences, restarts, lost calls to workers and lost answers of the table.
RC_GTEST_PROP(Jobs, AllEndAndRunAtMostOnceWhenTheyMust, (std::uint32_t seed))
{
    JobWorld world(seed);
    constexpr int count = 12;
    for (int job = 0; job < count; ++job) {
        world.submit(job, job % 2 == 0);
        world.run(std::chrono::seconds(2), true);
    }
    world.run(std::chrono::minutes(2), true);
    world.run(std::chrono::minutes(4), false);
    for (const JobRow &row : world.rows()) {
        RC_ASSERT(JobWorld::ended(row));
        RC_ASSERT(row.idempotent || world.workers.executions[row.id] <= 1);
    }
    RC_ASSERT(!world.rows().empty());
}

TEST(Jobs, ThatCanNeverRunEndPlainly)
{
    story("a job that is larger than any worker", [] {
        JobWorld world(1);
        world.submit(1, true, 1'000);
        ASSERT_EQ(world.refused.size(), 1U);
        EXPECT_EQ(world.refused.front().reason, RefusalReason::LargerThanAnyWorker);
    });
    story("jobs on workers that fail everything", [] {
        JobWorld world(1);
        world.workers.failsAll = true;
        world.submit(1, true);
        world.submit(2, false);
        world.run(std::chrono::minutes(3), false);
        section("end after their attempts, with the reason", [&] {
            const auto rows = world.rows();
            ASSERT_EQ(rows.size(), 2U);
            EXPECT_EQ(rows[0].reason, JobReason::AttemptsUsedUp);
            EXPECT_EQ(world.workers.executions[rows[0].id], static_cast<int>(JobController::maxAttempts));
            EXPECT_EQ(rows[1].reason, JobReason::WorkFailed);
            EXPECT_EQ(world.workers.executions[rows[1].id], 1);
        });
    });
}

TEST(Jobs, AreClearedADayAfterTheyHadToEnd)
{
    story("a hundred jobs that are done", [] {
        JobWorld world(1);
        constexpr int count = 100;
        for (int job = 0; job < count; ++job) {
            world.submit(job, true);
        }
        world.run(std::chrono::minutes(2), false);
        const auto rows = world.rows();
        ASSERT_TRUE(std::all_of(rows.begin(), rows.end(), JobWorld::ended));
        section("stay for callers that ask", [&] {
            world.skip(JobController::keepEnded / 2);
            world.run(std::chrono::minutes(3), false);
            EXPECT_EQ(world.rows().size(), static_cast<std::size_t>(count));
        });
        section("and are gone after that, while a new one stays", [&] {
            world.workers.failsAll = true;
            world.skip(3 * JobController::keepEnded);
            world.submit(count, true);
            world.run(std::chrono::minutes(3), false);
            EXPECT_EQ(world.rows().size(), 1U);
        });
    });
}

TEST(Jobs, GoOnFromACheckpointWhenTheirHostLeaves)
{
    const auto drain = [](JobWorld &world) {
        world.submit(1, false);
        world.run(std::chrono::seconds(1), false);
        const auto rows = world.rows();
        ASSERT_EQ(rows.size(), 1U);
        ASSERT_FALSE(rows[0].worker.empty());
        world.leave({rows[0].worker});
    };
    story("a job that must not run twice, on a worker that writes checkpoints", [&] {
        JobWorld world(1);
        world.workers.canCheckpoint = true;
        drain(world);
        world.run(std::chrono::minutes(1), false);
        EXPECT_EQ(world.rows()[0].state, JobState::Done);
        EXPECT_EQ(world.workers.resumed, 1);
        EXPECT_EQ(world.workers.executions[world.rows()[0].id], 1);
    });
    story("every entry host is replaced after the checkpoint and before the next start", [&] {
        JobWorld world(1);
        world.workers.canCheckpoint = true;
        drain(world);
        world.leave({HostId("host-0"), HostId("host-1"), HostId("host-2"), HostId("host-3")});
        world.run(std::chrono::seconds(8), false);
        EXPECT_EQ(world.workers.resumed, 0);
        world.restartAll();
        world.leave({});
        world.run(std::chrono::minutes(3), false);
        EXPECT_EQ(world.rows()[0].state, JobState::Done);
        EXPECT_EQ(world.workers.resumed, 1);
        EXPECT_EQ(world.workers.executions[world.rows()[0].id], 1);
    });
    story("on a worker that writes none, it ends where it is", [&] {
        JobWorld world(1);
        drain(world);
        world.run(std::chrono::minutes(1), false);
        EXPECT_EQ(world.rows()[0].state, JobState::Done);
        EXPECT_EQ(world.workers.resumed, 0);
    });
}

TEST(Jobs, AreCancelledInWaves)
{
    story("a hundred jobs that are cancelled at one time", [] {
        JobWorld world(1);
        constexpr int count = 100;
        for (int job = 0; job < count; ++job) {
            world.submit(job, true);
        }
        world.run(std::chrono::seconds(1), false);
        for (int job = 0; job < count; ++job) {
            world.cancel(job);
        }
        world.run(std::chrono::seconds(30), false);
        const auto rows = world.rows();
        EXPECT_EQ(rows.size(), static_cast<std::size_t>(count));
        EXPECT_TRUE(std::all_of(rows.begin(), rows.end(), JobWorld::ended));
        const auto cancelled = std::count_if(rows.begin(), rows.end(),
                                             [](const JobRow &row) { return row.state == JobState::Cancelled; });
        EXPECT_GT(cancelled, count / 2);
    });
}

} // namespace radishvane::tests
