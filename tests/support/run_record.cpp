#include "tests/support/run_record.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <map>

namespace radishvane::tests
{

namespace
{

/// Of one task; places are lines of the record.
struct Task
{
    std::map<std::string, std::size_t> runEnds;
    std::set<std::string> running;
    std::size_t lastStart = 0;
    /// Ends of which the owner has taken note, by how the run ended.
    std::map<std::string, std::vector<std::size_t>> noted;
};

/// Whether the task was started after so many ends of a kind, if they were taken note of then or later.
bool startedAfter(Task &task, const std::string &how, std::size_t count)
{
    std::vector<std::size_t> &ends = task.noted[how];
    std::sort(ends.begin(), ends.end());
    return ends.size() >= count && ends[count - 1] < task.lastStart;
}

} // namespace

std::vector<std::string> brokenRunRules(const std::string &logFile, const RunRules &rules)
{
    std::vector<std::string> broken;
    std::map<std::string, Task> tasks;
    std::map<std::string, std::set<std::string>> firstStepDone;
    std::ifstream stream(logFile);
    std::size_t place = 0;
    for (std::string line; std::getline(stream, line); ++place) {
        const nlohmann::json entry = nlohmann::json::parse(line, nullptr, false);
        if (!entry.is_object() || !entry.contains("run-event")) {
            continue;
        }
        const std::string event = entry.at("run-event");
        const std::string how = entry.at("how");
        // A task is named JOB.OCCURRENCE.STEP.INDEX, and jobs of the soak have no occurrences.
        const std::string name = entry.at("task");
        const std::string job = name.substr(0, name.find('.'));
        const std::string run = entry.at("worker").get<std::string>() + '/' + entry.at("run").dump();
        Task &task = tasks[name];
        if (event == "noted") {
            task.noted[how].push_back(task.runEnds[run]);
        } else if (event == "start") {
            if (!task.running.empty()) {
                broken.push_back("TWICE: " + name + " started as " + run + " beside " + *task.running.begin());
            }
            if (name.starts_with(job + ".0.1.") && firstStepDone[job].size() < rules.firstStepSize) {
                broken.push_back("ORDER: " + name + " started before the step that it comes after was done");
            }
            if (rules.refusedJobs.contains(job)) {
                broken.push_back("REFUSED: " + name + " started");
            }
            task.running.insert(run);
            task.lastStart = place;
        } else {
            task.running.erase(run);
            task.runEnds[run] = place;
            if (how == "done" && name.starts_with(job + ".0.0.")) {
                firstStepDone[job].insert(name);
            }
        }
    }
    for (auto &[name, task] : tasks) {
        if (startedAfter(task, "done", 1)) {
            broken.push_back("TWICE: " + name + " started after an end that was noted");
        }
        if (startedAfter(task, "failed", rules.failureLimit)) {
            broken.push_back("BUDGET: " + name + " started after its last failure");
        }
    }
    return broken;
}

} // namespace radishvane::tests
