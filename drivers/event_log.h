#pragma once

#include "core/base/clock.h"
#include "drivers/event_loop.h"
#include "drivers/log.h"
#include "drivers/timer.h"

#include <array>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace radishvane::drivers
{

/// What an entry host logs beside the decisions of its cell.
enum class HostEvent {
    Started,
    Stopped,
    Reload,
    Ready,
    NotReady,
    ConfigChanged,
    DependencyLost,
    DependencyRegained,
    RowUnreadable,
    LinkMessageUnreadable,
    CallRefused,
    CallAnswered,
    LogLinesDropped,
    Load,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 14> hostEventNames{
    "started",
    "stopped",
    "reload",
    "ready",
    "not-ready",
    "config-changed",
    "dependency-lost",
    "dependency-regained",
    "row-unreadable",
    "link-message-unreadable",
    "call-refused",
    "call-answered",
    "log-lines-dropped",
    "load",
};

/// Structured log: one JSON object a line on standard output, written without blocking.
///
/// Lines wait in a bounded buffer; a reader that does not read costs lines, which are counted, and nothing else.
class EventLog
{
public:
    /// Bytes that may wait for the reader.
    static constexpr std::size_t mostBuffered = 512 << 10;
    static constexpr Duration flushInterval{100};

    EventLog(EventLoop &loop, const Clock &clock, std::string host, LogLevel least);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    void line(LogLevel level, HostEvent event, std::initializer_list<LogField> fields);
    void line(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);
    void line(LogLevel level, std::string_view event, std::span<const LogField> fields);
    /// Lines that found no room.
    std::uint64_t dropped() const;
    /// Writes what can be written at once.
    void flush();

private:
    const Clock &m_clock;
    std::string m_host;
    LogLevel m_least;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0;
    int m_flags = 0;
    Timer m_timer;
};

} // namespace radishvane::drivers
