#pragma once

#include <array>
#include <initializer_list>
#include <string>
#include <string_view>

namespace radishvane::drivers
{

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Settings names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 4> logLevelNames{"debug", "info", "warning", "error"};

struct LogField
{
    std::string_view key;
    std::string value;
};

/// Sends lines of @p least and above to standard error. Call once, before the first line.
void startLog(LogLevel least);

/// Writes one line: the event and key=value fields; values with spaces are quoted.
void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

} // namespace radishvane::drivers
