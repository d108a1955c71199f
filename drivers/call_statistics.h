#pragma once

#include "core/base/clock.h"
#include "drivers/time_histogram.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace radishvane::drivers
{

/// Kind of the other side of a call.
enum class PeerKind {
    Worker,
    Store,
    HostService,
    AdmissionService,
    EntryHost,
    Other,
};

/// Names in metrics, in the order of the enumerators.
inline constexpr std::array<std::string_view, 6> peerKindNames{
    "worker", "store", "host-service", "admission-service", "entry-host", "other",
};

/// How a call ended, whatever the status of its answer.
enum class CallEnd {
    Answered,
    NotSent,
    ConnectionLost,
    TimedOut,
    AnswerIncomplete,
};

/// Names in metrics, in the order of the enumerators.
inline constexpr std::array<std::string_view, 5> callEndNames{
    "answered", "not-sent", "connection-lost", "timed-out", "answer-incomplete",
};

/// Calls to one kind of peer in an interval.
struct PeerCalls
{
    std::uint64_t calls = 0;
    /// Bytes of requests that were written to connections.
    std::uint64_t bytesWritten = 0;
    /// Bytes of the bodies of answers.
    std::uint64_t bytesRead = 0;
    std::array<std::uint64_t, callEndNames.size()> ends{};
    /// Time from the start of a call until its last byte was written, or until its end if that came first.
    TimeHistogram wait;
    /// Time from the start of a call until its answer; without calls whose answer the peer was asked to delay.
    TimeHistogram answer;
    /// Calls that wait to be written at the end of the interval.
    std::uint64_t waiting = 0;

    void add(const PeerCalls &later);
    /// Whether nothing happened and nothing waits.
    bool isIdle() const;
};

using CallTotals = std::array<PeerCalls, peerKindNames.size()>;

/// Counts the calls of one task by kind of peer.
class CallStatistics
{
public:
    /// A call that is counted, from its start to its end.
    struct Call
    {
        PeerKind peer = PeerKind::Other;
        /// The peer was asked to delay its answer.
        bool isDelayed = false;
        bool isWaiting = false;
        TimePoint start;
    };

    explicit CallStatistics(const Clock &clock);

    Call start(PeerKind peer, bool isDelayed);
    /// Bytes of the call have been written; @p isLast if none remain.
    void write(Call &call, std::size_t bytes, bool isLast);
    void end(Call &call, CallEnd end, std::size_t answerBytes);

    /// Returns the totals since the last call of this function.
    CallTotals take();

private:
    PeerCalls &of(const Call &call);
    void endWait(Call &call);

    const Clock &m_clock;
    CallTotals m_totals;
};

} // namespace radishvane::drivers
