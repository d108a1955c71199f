#include "servers/load_log.h"

#include "core/base/enum_names.h"

#include <cmath>

namespace radishvane::servers
{

namespace
{

/// For the log: a number, or nothing for 0, so that the key is left out.
std::string positive(double value)
{
    const auto whole = static_cast<std::uint64_t>(std::llround(value));
    return whole == 0 ? std::string() : std::to_string(whole);
}

std::string positive(std::uint64_t value)
{
    return value == 0 ? std::string() : std::to_string(value);
}

} // namespace

LoadLog::LoadLog(const Clock &clock, drivers::EventLog &log) : m_clock(clock), m_log(log), m_start(clock.now())
{
}

void LoadLog::Longest::observe(double time, std::string_view where)
{
    if (time > milliseconds) {
        milliseconds = time;
        place = where;
    }
}

std::string LoadLog::Longest::shownPlace() const
{
    return positive(milliseconds).empty() ? std::string() : std::string(place);
}

void LoadLog::setOwner(bool isOwner)
{
    m_isOwner = isOwner;
}

void LoadLog::add(const cells::CellLeaseRenewed &renewal)
{
    m_interval.leaseAge.add(toMilliseconds(renewal.age));
}

void LoadLog::add(const cells::CellRebuilt &rebuild)
{
    m_interval.rebuild = rebuild;
}

void LoadLog::add(const TaskLoad &load)
{
    m_interval.tasks[static_cast<std::size_t>(load.task)].add(load.totals);
    const TimePoint now = m_clock.now();
    if (now - m_start >= (m_isOwner ? ownerInterval : otherInterval)) {
        write(now);
        m_start = now;
        m_interval = Interval{};
    }
}

void LoadLog::write(TimePoint now)
{
    std::array<drivers::PeerCalls, drivers::peerKindNames.size()> peers;
    std::uint64_t waiting = 0;
    std::uint64_t unanswered = 0;
    Longest wait;
    Longest answer;
    Longest tick;
    Longest handling;
    for (std::size_t task = 0; task < m_interval.tasks.size(); ++task) {
        const drivers::TaskTotals &totals = m_interval.tasks[task];
        tick.observe(totals.tickDelay.longest(), siteTaskNames[task]);
        handling.observe(totals.handling.longest(), siteTaskNames[task]);
        for (std::size_t kind = 0; kind < peers.size(); ++kind) {
            const drivers::PeerCalls &calls = totals.calls[kind];
            peers[kind].add(calls);
            waiting += calls.waiting;
            for (std::size_t end = 1; end < calls.ends.size(); ++end) {
                unanswered += calls.ends[end];
            }
            wait.observe(calls.wait.longest(), drivers::peerKindNames[kind]);
            answer.observe(calls.answer.longest(), drivers::peerKindNames[kind]);
        }
    }
    const auto of = [&peers](drivers::PeerKind kind) -> const drivers::PeerCalls & {
        return peers[static_cast<std::size_t>(kind)];
    };
    using drivers::PeerKind;
    const auto &rebuild = m_interval.rebuild;
    m_log.line(drivers::LogLevel::Info, drivers::HostEvent::Load,
               {{"interval_ms", positive(toMilliseconds(now - m_start))},
                {"lease_age_ms", positive(m_interval.leaseAge.longest())},
                {"lease_renewals", positive(m_interval.leaseAge.count())},
                {"tick_delay_ms", positive(tick.milliseconds)},
                {"tick_delay_task", tick.shownPlace()},
                {"handling_ms", positive(handling.milliseconds)},
                {"handling_task", handling.shownPlace()},
                {"wait_ms", positive(wait.milliseconds)},
                {"wait_peer", wait.shownPlace()},
                {"answer_ms", positive(answer.milliseconds)},
                {"answer_peer", answer.shownPlace()},
                {"waiting", positive(waiting)},
                {"unanswered", positive(unanswered)},
                {"worker_calls", positive(of(PeerKind::Worker).calls)},
                {"worker_bytes", positive(of(PeerKind::Worker).bytesWritten)},
                {"store_calls", positive(of(PeerKind::Store).calls)},
                {"store_bytes", positive(of(PeerKind::Store).bytesWritten)},
                {"store_bytes_read", positive(of(PeerKind::Store).bytesRead)},
                {"host_service_calls", positive(of(PeerKind::HostService).calls)},
                {"host_service_bytes", positive(of(PeerKind::HostService).bytesWritten)},
                {"admission_calls", positive(of(PeerKind::AdmissionService).calls)},
                {"admission_bytes", positive(of(PeerKind::AdmissionService).bytesWritten)},
                {"entry_host_calls", positive(of(PeerKind::EntryHost).calls)},
                {"entry_host_bytes", positive(of(PeerKind::EntryHost).bytesWritten)},
                {"rebuild_ms", rebuild ? positive(toMilliseconds(rebuild->time)) : std::string()},
                {"rebuild_jobs", rebuild ? positive(rebuild->jobs) : std::string()},
                {"rebuild_bytes", rebuild ? positive(rebuild->bytes) : std::string()}});
}

} // namespace radishvane::servers
