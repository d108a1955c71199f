#include "core/cells/start_pacer.h"

#include <algorithm>
#include <cmath>

namespace radishvane::cells
{

namespace
{

/// Bytes per millisecond in one megabit per second.
constexpr double bytesPerMegabit = 125;
/// Time for which the answers to the orders of an interval are counted.
constexpr Duration answerRetention{5'000};

std::int64_t intervalOf(TimePoint time)
{
    return time.time_since_epoch() / StartPacer::slowdownInterval;
}

} // namespace

StartPacer::StartPacer(const HostCapacity &capacity) : m_maxRate(capacity.linkMbps * bytesPerMegabit * linkShare)
{
    clear();
}

void StartPacer::clear()
{
    m_rate = m_maxRate * initialRateShare;
    m_available = m_rate * toMilliseconds(burst);
    m_refilledAt.reset();
    m_lastTick.reset();
    m_slowedAt.reset();
    m_answers.clear();
}

void StartPacer::recordTick(TimePoint now)
{
    if (m_lastTick && now - *m_lastTick > maxTickGap) {
        slowDown(now);
    }
    m_lastTick = now;
}

void StartPacer::recordAnswer(TimePoint sentAt, OrderOutcome outcome, TimePoint now)
{
    // An order that is lost is noticed long after the answers to the others, so orders are compared by when they were
    // sent.
    const std::int64_t interval = intervalOf(sentAt);
    m_answers.erase(m_answers.begin(), m_answers.lower_bound(std::min(interval, intervalOf(now - answerRetention))));
    Answers &answers = m_answers[interval];
    ++answers.all;
    answers.late += outcome == OrderOutcome::Unknown || now - sentAt > maxAnswerTime ? 1 : 0;
    if (answers.late >= minLateAnswers
        && static_cast<double>(answers.late) > lateShare * static_cast<double>(answers.all)) {
        slowDown(now);
    }
}

void StartPacer::recordWrite(TimePoint sentAt, TimePoint now)
{
    if (now - sentAt > maxWriteTime) {
        slowDown(now);
    }
}

bool StartPacer::mayStart(TimePoint now)
{
    refill(now);
    return m_available > 0;
}

void StartPacer::take(std::size_t payloadBytes)
{
    m_available -= orderBytes(payloadBytes);
}

Duration StartPacer::pause() const
{
    return m_available > 0 ? Duration{0} : timeFor(1 - m_available);
}

Duration StartPacer::timeFor(double bytes) const
{
    return Duration(static_cast<Duration::rep>(std::ceil(bytes / m_rate)));
}

double StartPacer::orderBytes(std::size_t payloadBytes)
{
    return static_cast<double>(payloadBytes + orderOverheadBytes);
}

void StartPacer::refill(TimePoint now)
{
    if (m_refilledAt) {
        const double elapsed = std::max(0.0, toMilliseconds(now - *m_refilledAt));
        m_rate = std::min(m_maxRate, m_rate + m_maxRate * elapsed / toMilliseconds(recoveryTime));
        m_available = std::min(m_rate * toMilliseconds(burst), m_available + m_rate * elapsed);
    }
    m_refilledAt = now;
}

void StartPacer::slowDown(TimePoint now)
{
    refill(now);
    if (m_slowedAt && now - *m_slowedAt < slowdownInterval) {
        return;
    }
    m_slowedAt = now;
    m_rate = std::max(m_maxRate * minRateShare, m_rate * slowdownFactor);
    m_available = std::min(m_available, m_rate * toMilliseconds(burst));
}

} // namespace radishvane::cells
