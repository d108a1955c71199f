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

/// Fault injected into a call to a worker.
enum class CallFault {
    None,
    /// The call does not reach the worker, and the caller knows that.
    NotSent,
    /// The call does not reach the worker, and the caller gets no answer.
    Swallowed,
    /// The worker carries out the call, but its answer is lost.
    AnswerLost,
};

/// Simulates the platform's workers, which run tasks under leases.
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
    /// Number of starts that resumed from a checkpoint.
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

/// Simulates three entry hosts that share one table; the seed determines the injected faults.
class JobSimulation
{
public:
    explicit JobSimulation(std::uint32_t seed) : m_random(seed)
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

    /// Marks the hosts as leaving: they get no new tasks, and jobs that can be relocated are.
    void setLeavingHosts(const std::set<HostId> &hosts)
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
                // The wall clock steps by up to one hour in either direction.
                constexpr std::uint32_t hour = 3'600'000;
                m_now.wall += Duration(pick(2 * hour)) - Duration(hour);
            }
            if (faults && pick(60) == 0) {
                const std::uint32_t host = pick(hostCount);
                m_unreachableUntil[host] = m_now.steady + Duration(pick(40'000));
                if (pick(2) == 0) {
                    startHost(host);
                }
            }
            for (std::uint32_t host = 0; host < hostCount; ++host) {
                tick(host);
            }
        }
    }

    /// Advances both clocks without processing any event.
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
        const bool failedWithReason = row.state == JobState::Failed && row.reason != JobReason::None;
        return row.state == JobState::Done || row.state == JobState::Cancelled || failedWithReason;
    }

    FakePlatform platform;
    FakeWorkers workers;
    std::vector<JobRefused> refused;

    static constexpr std::uint32_t hostCount = 3;

private:
    struct EntryHost
    {
        HolderId holder;
        std::unique_ptr<JobController> controller;
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
        host.controller = std::make_unique<JobController>(host.holder.host, m_starts);
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
        if (m_now.steady < m_unreachableUntil[index]) {
            return;
        }
        // An unreachable host gets no lease extension, so its lease ends before the other hosts see its session as
        // ended.
        perform(index, JobLease{m_now.steady + Duration(10'000)});
        perform(index, sessions());
        const auto effects = m_hosts[index].resolver->timePassed(m_now.steady);
        resolve(index, effects);
        perform(index, JobTick{});
    }

    SessionsObserved sessions() const
    {
        SessionsObserved seen;
        for (std::uint32_t index = 0; index < hostCount; ++index) {
            SessionRow row;
            row.holder = m_hosts[index].holder;
            constexpr Duration sessionTimeout{20'000};
            row.ended = m_unreachableUntil[index] > m_now.steady + sessionTimeout;
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
        for (const JobEffect &effect : host.controller->handle(event, m_now)) {
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
    std::array<TimePoint, hostCount> m_unreachableUntil{};
};

} // namespace

// Guards against jobs that never end and against second runs of jobs that are not idempotent, under random host
// outages, restarts, clock steps, lost calls to workers and lost answers of the table.
RC_GTEST_PROP(JobController, EveryJobEndsAndNonIdempotentJobsRunAtMostOnce, (std::uint32_t seed))
{
    JobSimulation simulation(seed);
    constexpr int count = 12;
    for (int job = 0; job < count; ++job) {
        simulation.submit(job, job % 2 == 0);
        simulation.run(std::chrono::seconds(2), true);
    }
    simulation.run(std::chrono::minutes(2), true);
    simulation.run(std::chrono::minutes(4), false);
    for (const JobRow &row : simulation.rows()) {
        RC_ASSERT(JobSimulation::ended(row));
        RC_ASSERT(row.idempotent || simulation.workers.executions[row.id] <= 1);
    }
    RC_ASSERT(!simulation.rows().empty());
}

TEST(JobController, JobsThatCannotRunFailWithAReason)
{
    story("a job larger than any worker is refused at submission", [] {
        JobSimulation simulation(1);
        simulation.submit(1, true, 1'000);
        ASSERT_EQ(simulation.refused.size(), 1U);
        EXPECT_EQ(simulation.refused.front().reason, RefusalReason::LargerThanAnyWorker);
    });
    story("jobs on workers that fail every task", [] {
        JobSimulation simulation(1);
        simulation.workers.failsAll = true;
        simulation.submit(1, true);
        simulation.submit(2, false);
        simulation.run(std::chrono::minutes(3), false);
        section("the idempotent job fails after the maximum attempts, the other one after its first run", [&] {
            const auto rows = simulation.rows();
            ASSERT_EQ(rows.size(), 2U);
            EXPECT_EQ(rows[0].reason, JobReason::AttemptsUsedUp);
            EXPECT_EQ(simulation.workers.executions[rows[0].id], static_cast<int>(JobController::maxJobAttempts));
            EXPECT_EQ(rows[1].reason, JobReason::WorkFailed);
            EXPECT_EQ(simulation.workers.executions[rows[1].id], 1);
        });
    });
}

TEST(JobController, EndedJobsAreRemovedAfterTheRetentionTime)
{
    story("a hundred jobs have ended", [] {
        JobSimulation simulation(1);
        constexpr int count = 100;
        for (int job = 0; job < count; ++job) {
            simulation.submit(job, true);
        }
        simulation.run(std::chrono::minutes(2), false);
        const auto rows = simulation.rows();
        ASSERT_TRUE(std::all_of(rows.begin(), rows.end(), JobSimulation::ended));
        section("all can still be queried within the retention time", [&] {
            simulation.skip(JobController::endedJobRetention / 2);
            simulation.run(std::chrono::minutes(3), false);
            EXPECT_EQ(simulation.rows().size(), static_cast<std::size_t>(count));
        });
        section("all are removed after the retention time, while a new job stays", [&] {
            simulation.workers.failsAll = true;
            simulation.skip(3 * JobController::endedJobRetention);
            simulation.submit(count, true);
            simulation.run(std::chrono::minutes(3), false);
            EXPECT_EQ(simulation.rows().size(), 1U);
        });
    });
}

TEST(JobController, JobsResumeFromACheckpointWhenTheirHostLeaves)
{
    const auto drain = [](JobSimulation &simulation) {
        simulation.submit(1, false);
        simulation.run(std::chrono::seconds(1), false);
        const auto rows = simulation.rows();
        ASSERT_EQ(rows.size(), 1U);
        ASSERT_FALSE(rows[0].worker.empty());
        simulation.setLeavingHosts({rows[0].worker});
    };
    story("a non-idempotent job on a worker that writes checkpoints resumes once on another host", [&] {
        JobSimulation simulation(1);
        simulation.workers.canCheckpoint = true;
        drain(simulation);
        simulation.run(std::chrono::minutes(1), false);
        EXPECT_EQ(simulation.rows()[0].state, JobState::Done);
        EXPECT_EQ(simulation.workers.resumed, 1);
        EXPECT_EQ(simulation.workers.executions[simulation.rows()[0].id], 1);
    });
    story("the job resumes once although every entry host restarts between the checkpoint and the next start", [&] {
        JobSimulation simulation(1);
        simulation.workers.canCheckpoint = true;
        drain(simulation);
        simulation.setLeavingHosts({HostId("host-0"), HostId("host-1"), HostId("host-2"), HostId("host-3")});
        simulation.run(std::chrono::seconds(8), false);
        EXPECT_EQ(simulation.workers.resumed, 0);
        simulation.restartAll();
        simulation.setLeavingHosts({});
        simulation.run(std::chrono::minutes(3), false);
        EXPECT_EQ(simulation.rows()[0].state, JobState::Done);
        EXPECT_EQ(simulation.workers.resumed, 1);
        EXPECT_EQ(simulation.workers.executions[simulation.rows()[0].id], 1);
    });
    story("a non-idempotent job on a worker without checkpoints finishes on the leaving host", [&] {
        JobSimulation simulation(1);
        drain(simulation);
        simulation.run(std::chrono::minutes(1), false);
        EXPECT_EQ(simulation.rows()[0].state, JobState::Done);
        EXPECT_EQ(simulation.workers.resumed, 0);
    });
}

TEST(JobController, ManySimultaneousCancellationsTakeEffect)
{
    story("of a hundred jobs cancelled at one time, all end and most are cancelled", [] {
        JobSimulation simulation(1);
        constexpr int count = 100;
        for (int job = 0; job < count; ++job) {
            simulation.submit(job, true);
        }
        simulation.run(std::chrono::seconds(1), false);
        for (int job = 0; job < count; ++job) {
            simulation.cancel(job);
        }
        simulation.run(std::chrono::seconds(30), false);
        const auto rows = simulation.rows();
        EXPECT_EQ(rows.size(), static_cast<std::size_t>(count));
        EXPECT_TRUE(std::all_of(rows.begin(), rows.end(), JobSimulation::ended));
        const auto cancelled = std::count_if(rows.begin(), rows.end(),
                                             [](const JobRow &row) { return row.state == JobState::Cancelled; });
        EXPECT_GT(cancelled, count / 2);
    });
}

} // namespace radishvane::tests
