#include "core/cells/job_graph.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace radishvane::cells
{

namespace
{

std::optional<std::uint32_t> parseNumber(std::string_view text)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::uint64_t saturatedSum(std::uint64_t left, std::uint64_t right)
{
    return left + std::min(right, std::numeric_limits<std::uint64_t>::max() - left);
}

} // namespace

Resources &Resources::operator+=(const Resources &other)
{
    cpu = saturatedSum(cpu, other.cpu);
    memoryMb = saturatedSum(memoryMb, other.memoryMb);
    accelerators = saturatedSum(accelerators, other.accelerators);
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    cpu -= std::min(cpu, other.cpu);
    memoryMb -= std::min(memoryMb, other.memoryMb);
    accelerators -= std::min(accelerators, other.accelerators);
    return *this;
}

bool Resources::fitsIn(const Resources &room) const
{
    return cpu <= room.cpu && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
}

Resources operator+(Resources left, const Resources &right)
{
    left += right;
    return left;
}

Resources operator-(Resources left, const Resources &right)
{
    left -= right;
    return left;
}

Resources StepSpec::reserved() const
{
    Resources result = needs;
    if (bestEffort) {
        result.cpu = 0;
    }
    return result;
}

std::uint32_t GraphSpec::occurrences() const
{
    return std::max<std::uint32_t>(repeats, 1);
}

std::size_t GraphSpec::progressBytes() const
{
    constexpr std::size_t bytesPerOccurrence = 8;
    constexpr std::size_t bytesPerStep = 4;
    constexpr std::size_t bytesPerTask = 17;
    std::size_t bytes = bytesPerOccurrence + bytesPerStep * steps.size();
    for (const StepSpec &step : steps) {
        bytes += bytesPerTask * step.count;
    }
    return bytes;
}

std::size_t GraphSpec::maxOpenOccurrences() const
{
    return std::max<std::size_t>(maxProgressBytes / progressBytes(), 1);
}

std::size_t GraphSpec::maxCheckpointBytesPerTask() const
{
    std::size_t tasks = 0;
    for (const StepSpec &step : steps) {
        tasks += step.count;
    }
    const std::size_t openTasks = tasks * std::min<std::size_t>(occurrences(), maxOpenOccurrences());
    return maxCheckpointBytes / std::max<std::size_t>(openTasks, 1);
}

WallTime GraphSpec::dueAt(std::uint32_t occurrence) const
{
    return firstDue + occurrence * period;
}

double GraphSpec::work(const std::vector<Duration> &runTimes) const
{
    double work = 0;
    for (std::size_t index = 0; index < steps.size(); ++index) {
        work += static_cast<double>(steps[index].count) * static_cast<double>(steps[index].needs.cpu)
            * toMilliseconds(runTimes[index]);
    }
    return work;
}

std::string taskName(const TaskId &task)
{
    return stepName(task.job, task.occurrence, task.step) + '.' + std::to_string(task.index);
}

std::string stepName(const JobId &job, std::uint32_t occurrence, std::uint32_t step)
{
    return job.name() + '.' + std::to_string(occurrence) + '.' + std::to_string(step);
}

std::optional<TaskId> parseTaskName(std::string_view name)
{
    std::array<std::uint32_t, 3> numbers{};
    for (std::size_t place = numbers.size(); place > 0; --place) {
        const auto dot = name.rfind('.');
        if (dot == std::string_view::npos) {
            return std::nullopt;
        }
        const auto number = parseNumber(name.substr(dot + 1));
        if (!number) {
            return std::nullopt;
        }
        numbers[place - 1] = *number;
        name = name.substr(0, dot);
    }
    if (name.empty()) {
        return std::nullopt;
    }
    return TaskId{JobId(std::string(name)), numbers[0], numbers[1], numbers[2]};
}

bool isFinal(GraphState state)
{
    switch (state) {
    case GraphState::Queued:
    case GraphState::Running:
        return false;
    case GraphState::Completed:
    case GraphState::Failed:
    case GraphState::Cancelled:
        return true;
    }
    return true;
}

} // namespace radishvane::cells

std::size_t std::hash<radishvane::cells::TaskId>::operator()(const radishvane::cells::TaskId &task) const noexcept
{
    const std::size_t place = (std::size_t{task.occurrence} << 40) ^ (std::size_t{task.step} << 20) ^ task.index;
    return std::hash<radishvane::JobId>{}(task.job) ^ std::hash<std::size_t>{}(place);
}
