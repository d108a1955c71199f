#pragma once

#include "core/base/clock.h"
#include "core/cells/cell_messages.h"
#include "core/cells/host_capacity.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace radishvane::cells
{

/// Limits the rate of start orders to what the owner's host can send, so that they do not delay the renewals of leases.
///
/// A token bucket in bytes. Its rate is at most a share of the host's link. The rate falls by a factor when the process
/// shows signs of congestion, and rises steadily otherwise.
class StartPacer
{
public:
    /// Part of the link that start orders may use; the rest is for renewals, rows and the calls of other hosts.
    static constexpr double linkShare = 0.5;
    /// Orders within this time may be sent at once.
    static constexpr Duration burst{100};
    /// Size of an order without its payload: headers, fields and acknowledgements.
    static constexpr std::size_t orderOverheadBytes = 600;
    /// Signs of congestion: the longest normal times between two ticks, to the answer to an order, and of a write.
    static constexpr Duration maxTickGap{250};
    static constexpr Duration maxAnswerTime{500};
    static constexpr Duration maxWriteTime{500};
    /// Late answers to the orders of one interval that are a sign of congestion if few others are answered in time.
    /// Fewer come from single workers that do not answer.
    static constexpr std::size_t minLateAnswers = 8;
    /// Part of the answers above which late ones are a sign of congestion. A congested link delays nearly all of them,
    /// while lost orders leave the others in time.
    static constexpr double lateShare = 0.75;
    /// The rate falls at most once in this time.
    static constexpr Duration slowdownInterval{250};
    static constexpr double slowdownFactor = 0.7;
    /// Lower limit of the rate as a part of the highest rate.
    static constexpr double minRateShare = 0.125;
    /// Part of the highest rate at which an owner begins, since it also reads the rows and queries all workers.
    static constexpr double initialRateShare = 0.5;
    /// Time in which the rate rises from zero to the highest rate.
    static constexpr Duration recoveryTime{10'000};

    explicit StartPacer(const HostCapacity &capacity);

    void clear();

    /// Detects that the event loop is late.
    void recordTick(TimePoint now);
    void recordAnswer(TimePoint sentAt, OrderOutcome outcome, TimePoint now);
    /// Records a write of the store that was answered or is still pending at @p now.
    void recordWrite(TimePoint sentAt, TimePoint now);

    /// Whether the next order may be sent.
    bool mayStart(TimePoint now);
    /// Counts a sent order. The bucket may be overdrawn, so that the members of a gang start together.
    void take(std::size_t payloadBytes);
    /// Time from the last mayStart() until the next order may be sent.
    Duration pause() const;
    /// Time to send orders of @p bytes at the present rate.
    Duration timeFor(double bytes) const;
    static double orderBytes(std::size_t payloadBytes);

private:
    /// Answers to the orders of one interval.
    struct Answers
    {
        std::size_t all = 0;
        std::size_t late = 0;
    };

    void refill(TimePoint now);
    void slowDown(TimePoint now);

    /// In bytes per millisecond.
    double m_maxRate;
    double m_rate;
    /// Bytes that may be sent at once; negative when overdrawn.
    double m_available;
    std::optional<TimePoint> m_refilledAt;
    std::optional<TimePoint> m_lastTick;
    std::optional<TimePoint> m_slowedAt;
    /// Answers to the orders that were sent in each of the last intervals, by the number of the interval.
    std::map<std::int64_t, Answers> m_answers;
};

} // namespace radishvane::cells
