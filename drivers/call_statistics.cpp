#include "drivers/call_statistics.h"

#include <algorithm>

namespace radishvane::drivers
{

void PeerCalls::add(const PeerCalls &later)
{
    calls += later.calls;
    bytesWritten += later.bytesWritten;
    bytesRead += later.bytesRead;
    for (std::size_t index = 0; index < ends.size(); ++index) {
        ends[index] += later.ends[index];
    }
    wait.add(later.wait);
    answer.add(later.answer);
    waiting = later.waiting;
}

bool PeerCalls::isIdle() const
{
    const bool hasEnded = std::any_of(ends.begin(), ends.end(), [](std::uint64_t count) { return count > 0; });
    return calls == 0 && bytesWritten == 0 && waiting == 0 && wait.count() == 0 && !hasEnded;
}

CallStatistics::CallStatistics(const Clock &clock) : m_clock(clock)
{
}

CallStatistics::Call CallStatistics::start(PeerKind peer, bool isDelayed)
{
    const Call call{peer, isDelayed, true, m_clock.now()};
    ++of(call).calls;
    ++of(call).waiting;
    return call;
}

void CallStatistics::write(Call &call, std::size_t bytes, bool isLast)
{
    of(call).bytesWritten += bytes;
    if (isLast) {
        endWait(call);
    }
}

void CallStatistics::end(Call &call, CallEnd end, std::size_t answerBytes)
{
    endWait(call);
    PeerCalls &peer = of(call);
    ++peer.ends[static_cast<std::size_t>(end)];
    peer.bytesRead += answerBytes;
    if (end == CallEnd::Answered && !call.isDelayed) {
        peer.answer.add(toMilliseconds(m_clock.now() - call.start));
    }
}

CallTotals CallStatistics::take()
{
    const CallTotals totals = m_totals;
    m_totals = CallTotals{};
    for (std::size_t index = 0; index < totals.size(); ++index) {
        m_totals[index].waiting = totals[index].waiting;
    }
    return totals;
}

PeerCalls &CallStatistics::of(const Call &call)
{
    return m_totals[static_cast<std::size_t>(call.peer)];
}

void CallStatistics::endWait(Call &call)
{
    if (!call.isWaiting) {
        return;
    }
    call.isWaiting = false;
    PeerCalls &peer = of(call);
    --peer.waiting;
    peer.wait.add(toMilliseconds(m_clock.now() - call.start));
}

} // namespace radishvane::drivers
