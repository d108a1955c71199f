#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace radishvane::drivers
{

/// One line of an entry host's log.
struct LogRecord
{
    /// Milliseconds since 1970 by the clock of the host that wrote it.
    std::int64_t time = 0;
    std::string host;
    std::string event;
    /// The other fields, in the order of the line.
    std::vector<std::pair<std::string, std::string>> fields;

    /// Value of a field; empty when it is not there.
    std::string field(const std::string &key) const;
};

/// The record of a line; text before the JSON object is passed over. Nothing when the line holds no record.
std::optional<LogRecord> readLogRecord(const std::string &line);

/// What the logs tell of one job or call.
struct LogTrace
{
    /// By time: the lines about the id, and those about the owner, the dependencies and the workers that it met.
    std::vector<LogRecord> records;
    /// Lines about the id itself; 0 when the logs do not know it.
    std::size_t own = 0;
};

/// Collects the lines about @p id from lines of several hosts, in any order.
LogTrace traceOf(const std::string &id, std::vector<LogRecord> records);

} // namespace radishvane::drivers
