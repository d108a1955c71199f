#include "drivers/log_trace.h"

#include "core/base/enum_names.h"
#include "core/cells/cell_messages.h"
#include "drivers/event_log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace radishvane::drivers
{

namespace
{

using cells::CellDecision;

/// Decisions that concern every job of their time.
constexpr std::array<CellDecision, 5> commonDecisions{CellDecision::OwnershipTaken, CellDecision::OwnershipLost,
                                                      CellDecision::OwnershipReleased, CellDecision::CellRebuilt,
                                                      CellDecision::StoreWriteFailed};
/// Events of hosts that do.
constexpr std::array<HostEvent, 6> commonEvents{HostEvent::Started,        HostEvent::Stopped,
                                                HostEvent::NotReady,       HostEvent::Ready,
                                                HostEvent::DependencyLost, HostEvent::DependencyRegained};
/// Decisions that concern the jobs that met the worker which is their subject.
constexpr std::array<CellDecision, 5> workerDecisions{CellDecision::WorkerAdmitted, CellDecision::WorkerRestarted,
                                                      CellDecision::WorkerLost, CellDecision::WorkerAvoided,
                                                      CellDecision::WorkerAwaited};

template<typename Enum, std::size_t size, typename Names>
bool isOneOf(const std::array<Enum, size> &values, const Names &names, const std::string &event)
{
    return std::any_of(values.begin(), values.end(),
                       [&](Enum value) { return enumName(names, value) == std::string_view(event); });
}

/// Whether a subject is the id, a task of it, or a path that ends with it.
bool isAbout(const std::string &subject, const std::string &id)
{
    const bool isTask
        = subject.size() > id.size() && subject.compare(0, id.size(), id) == 0 && subject[id.size()] == '.';
    const bool isPath = subject.size() > id.size() && subject.ends_with('/' + id);
    return subject == id || isTask || isPath;
}

} // namespace

std::string LogRecord::field(const std::string &key) const
{
    for (const auto &[name, value] : fields) {
        if (name == key) {
            return value;
        }
    }
    return {};
}

std::optional<LogRecord> readLogRecord(const std::string &line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    const auto json = nlohmann::ordered_json::parse(line.substr(begin), nullptr, false);
    if (!json.is_object() || !json.contains("ts") || !json["ts"].is_number_integer() || !json.contains("event")) {
        return std::nullopt;
    }
    LogRecord record;
    record.time = json["ts"].get<std::int64_t>();
    for (const auto &[key, value] : json.items()) {
        if (!value.is_string()) {
            continue;
        }
        const auto text = value.get<std::string>();
        if (key == "host") {
            record.host = text;
        } else if (key == "event") {
            record.event = text;
        } else if (key != "level") {
            record.fields.emplace_back(key, text);
        }
    }
    return record;
}

LogTrace traceOf(const std::string &id, std::vector<LogRecord> records)
{
    std::stable_sort(records.begin(), records.end(),
                     [](const LogRecord &left, const LogRecord &right) { return left.time < right.time; });
    LogTrace trace;
    std::set<std::string> workers;
    std::int64_t first = 0;
    std::int64_t last = 0;
    for (const LogRecord &record : records) {
        if (!isAbout(record.field("subject"), id)) {
            continue;
        }
        first = trace.own == 0 ? record.time : first;
        last = record.time;
        ++trace.own;
        workers.insert(record.field("worker"));
    }
    if (trace.own == 0) {
        return trace;
    }
    for (LogRecord &record : records) {
        const std::string subject = record.field("subject");
        const bool isCommon = isOneOf(commonDecisions, cells::cellDecisionNames, record.event)
            || isOneOf(commonEvents, hostEventNames, record.event);
        const bool isOfWorker
            = isOneOf(workerDecisions, cells::cellDecisionNames, record.event) && workers.count(subject) > 0;
        const bool isBetween = record.time >= first && record.time <= last;
        if (isAbout(subject, id) || (isBetween && (isCommon || isOfWorker))) {
            trace.records.push_back(std::move(record));
        }
    }
    return trace;
}

} // namespace radishvane::drivers
