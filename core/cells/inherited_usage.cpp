#include "core/cells/inherited_usage.h"

#include "core/cells/unknown_runs.h"

#include <algorithm>
#include <optional>

namespace radishvane::cells
{

namespace
{

/// Usage of a team's tasks, split by whether the capacity of a worker limits it.
struct Usage
{
    Resources reserved;
    /// Processor of best-effort tasks, which counts against the ceiling and reserves nothing on the worker.
    std::uint64_t bestEffortCpu = 0;
};

bool hasCeiling(const SiteConfig &config, const TeamId &team)
{
    const auto known = config.teams.find(team);
    return known != config.teams.end() && !(known->second.ceiling == Resources{});
}

/// Whether the worker may execute runs that are not known. All runs of a worker that has answered are known; only ends
/// may be missing.
bool mayRunUnknownTasks(const Worker &worker, TimePoint now)
{
    return !worker.fenced && !worker.isReconciled(now);
}

/// Capacity of the workers that may execute unknown runs; empty if that of one of them is unknown.
std::optional<Resources> unknownRoom(const WorkerRoster &roster, TimePoint now)
{
    if (roster.hasUnknownWorkers(now)) {
        return std::nullopt;
    }
    Resources room;
    for (const auto &[id, worker] : roster.all()) {
        if (!mayRunUnknownTasks(worker, now)) {
            continue;
        }
        if (!worker.entry) {
            return std::nullopt;
        }
        room += worker.room();
    }
    return room;
}

/// Whether an earlier owner may have started the step. The ends of the steps before it may be unknown, unless a run of
/// them is known.
bool mayHaveStarted(const Occurrence &occurrence, const StepSpec &spec)
{
    return std::all_of(spec.after.begin(), spec.after.end(),
                       [&](std::uint32_t earlier) { return occurrence.steps[earlier].onWorker.empty(); });
}

void addUsage(Usage &usage, const StepSpec &spec, std::uint64_t tasks)
{
    const Resources reserved = spec.reserved();
    usage.reserved += Resources{reserved.cpu * tasks, reserved.memoryMb * tasks, reserved.accelerators * tasks};
    usage.bestEffortCpu += spec.bestEffort ? spec.needs.cpu * tasks : 0;
}

void addUnknownRuns(Usage &usage, const Job &job, const UnknownRuns &unknownRuns)
{
    for (const auto &[number, occurrence] : job.open) {
        for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
            const StepSpec &spec = job.row.spec.steps[index];
            if (mayHaveStarted(occurrence, spec)) {
                const Step &step = occurrence.steps[index];
                const auto unknown = std::count_if(step.waiting.begin(), step.waiting.end(), [&](std::uint32_t task) {
                    return unknownRuns.mayExist(job, spec, step.tasks[task]);
                });
                addUsage(usage, spec, static_cast<std::uint64_t>(unknown));
            }
        }
    }
}

/// Adds the usage of an aborted job whose end is stored, so that the progress of its tasks is unknown.
void addAbortedRuns(Usage &usage, const Job &job)
{
    const std::uint64_t occurrences = job.row.spec.occurrences() - job.firstOpen;
    for (const StepSpec &spec : job.row.spec.steps) {
        addUsage(usage, spec, spec.count * occurrences);
    }
}

} // namespace

std::map<TeamId, Resources> inheritedUsage(const JobRegistry &registry, const WorkerRoster &roster,
                                           const SiteConfig &config, TimePoint now)
{
    std::map<TeamId, Resources> result;
    const bool isAnyLimited = std::any_of(config.teams.begin(), config.teams.end(),
                                          [&config](const auto &team) { return hasCeiling(config, team.first); });
    const bool isAnyUnknown = roster.hasUnknownWorkers(now)
        || std::any_of(roster.all().begin(), roster.all().end(),
                       [now](const auto &worker) { return mayRunUnknownTasks(worker.second, now); });
    if (!isAnyLimited || !isAnyUnknown) {
        return result;
    }
    const UnknownRuns unknownRuns(roster, now);
    std::map<TeamId, Usage> usages;
    for (const JobId &id : registry.live()) {
        const Job &job = *registry.find(id);
        if (job.inherited && hasCeiling(config, job.row.team)) {
            addUnknownRuns(usages[job.row.team], job, unknownRuns);
        }
    }
    for (const JobId &id : registry.aborted()) {
        const Job &job = *registry.find(id);
        if (job.inherited && hasCeiling(config, job.row.team) && registry.live().count(id) == 0) {
            addAbortedRuns(usages[job.row.team], job);
        }
    }
    const std::optional<Resources> room = unknownRoom(roster, now);
    for (const auto &[team, usage] : usages) {
        Resources &bound = result[team];
        bound = usage.reserved;
        if (room) {
            bound = Resources{std::min(bound.cpu, room->cpu), std::min(bound.memoryMb, room->memoryMb),
                              std::min(bound.accelerators, room->accelerators)};
        }
        bound.cpu += usage.bestEffortCpu;
    }
    return result;
}

} // namespace radishvane::cells
