#include "drivers/event_log.h"

#include "core/base/enum_names.h"
#include "drivers/json_text.h"

#include <fcntl.h>
#include <limits.h>
#include <unistd.h>

namespace radishvane::drivers
{

EventLog::EventLog(EventLoop &loop, const Clock &clock, std::string host, LogLevel least)
    : m_clock(clock)
    , m_host(std::move(host))
    , m_least(least)
    , m_flags(fcntl(STDOUT_FILENO, F_GETFL))
    , m_timer(loop, flushInterval, [this] { flush(); })
{
    if (m_flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, m_flags | O_NONBLOCK);
    }
}

EventLog::~EventLog()
{
    flush();
    if (m_flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, m_flags);
    }
}

void EventLog::line(LogLevel level, HostEvent event, std::initializer_list<LogField> fields)
{
    line(level, enumName(hostEventNames, event), fields);
}

void EventLog::line(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    line(level, event, std::span(fields.begin(), fields.size()));
}

void EventLog::line(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    if (level < m_least) {
        return;
    }
    if (m_buffer.size() >= mostBuffered) {
        ++m_dropped;
        return;
    }
    m_buffer += "{\"ts\":" + std::to_string(m_clock.wallNow().time_since_epoch().count()) + ",\"level\":\"";
    m_buffer += enumName(logLevelNames, level);
    m_buffer += "\",\"host\":";
    appendJsonText(m_buffer, m_host);
    m_buffer += ",\"event\":\"";
    m_buffer += event;
    m_buffer += '"';
    for (const LogField &field : fields) {
        if (field.value.empty()) {
            continue;
        }
        m_buffer += ",\"";
        m_buffer += field.key;
        m_buffer += "\":";
        appendJsonText(m_buffer, field.value);
    }
    m_buffer += "}\n";
}

std::uint64_t EventLog::dropped() const
{
    return m_dropped;
}

void EventLog::flush()
{
    if (m_dropped > m_reported && m_buffer.size() < mostBuffered) {
        m_reported = m_dropped;
        line(LogLevel::Warning, HostEvent::LogLinesDropped, {{"count", std::to_string(m_dropped)}});
    }
    while (!m_buffer.empty()) {
        // Whole lines, in pieces that a pipe takes at once or not at all.
        const std::size_t end = m_buffer.size() <= PIPE_BUF ? m_buffer.size() : m_buffer.rfind('\n', PIPE_BUF - 1) + 1;
        const ssize_t written = write(STDOUT_FILENO, m_buffer.data(), end == 0 ? m_buffer.size() : end);
        if (written <= 0) {
            return;
        }
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace radishvane::drivers
