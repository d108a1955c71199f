#include "core/stop/host_stop_controller.h"

#include <algorithm>
#include <utility>

namespace radishvane
{

namespace
{

/// Part of the grace period that is kept for the exit of the process, and its upper limit.
constexpr int exitDivisor = 8;
constexpr Duration maxExitTime{500};
/// Part that is kept for the last answers, and its upper limit.
constexpr int answerDivisor = 8;
constexpr Duration maxAnswerTime{500};

} // namespace

HostStopTimes HostStopTimes::within(Duration grace, Duration balancerDelay, Duration longestCall)
{
    const Duration usable = grace - std::min(maxExitTime, grace / exitDivisor);
    const Duration beforeRelease = usable - std::min(maxAnswerTime, grace / answerDivisor);
    HostStopTimes times;
    times.finish = std::min(longestCall, beforeRelease / 2);
    times.leave = std::min(balancerDelay, beforeRelease - times.finish);
    times.release = usable - times.finish - times.leave;
    return times;
}

HostStopController::HostStopController(HostStopTimes times) : m_times(times)
{
}

HostStopEffects HostStopController::handle(const HostStopEvent &event, TimePoint now)
{
    m_now = now;
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    advance();
    return std::exchange(m_effects, {});
}

void HostStopController::on(const StopSignalled &)
{
    if (m_stage == StopStage::Serving) {
        enter(StopStage::Leaving);
    }
}

void HostStopController::on(const OpenCallsCounted &event)
{
    m_openCalls = event.calls;
    if (m_openCalls > 0) {
        m_lastOpen = m_now;
    }
}

void HostStopController::on(const RightsReleased &)
{
    m_hasReleasedRights = true;
}

void HostStopController::on(const JobsHandedBack &)
{
    m_hasHandedBackJobs = true;
}

void HostStopController::on(const OpenCallsAnswered &)
{
    m_hasAnsweredCalls = true;
}

void HostStopController::on(const HostStopTick &)
{
}

void HostStopController::advance()
{
    switch (m_stage) {
    case StopStage::Serving:
    case StopStage::Stopped:
        return;
    case StopStage::Leaving:
        if (m_now >= m_stageSince + m_times.leave) {
            m_lastOpen = m_now;
            enter(StopStage::Finishing);
        }
        return;
    case StopStage::Finishing: {
        const bool isQuiet = m_openCalls == 0 && m_now >= m_lastOpen + quietTime;
        if (isQuiet || m_now >= m_stageSince + m_times.finish) {
            enter(StopStage::Releasing);
        }
        return;
    }
    case StopStage::Releasing: {
        const bool isDone = m_hasReleasedRights && m_hasHandedBackJobs && m_hasAnsweredCalls;
        if (isDone || m_now >= m_stageSince + m_times.release) {
            enter(StopStage::Stopped);
        }
        return;
    }
    }
}

void HostStopController::enter(StopStage stage)
{
    m_stage = stage;
    m_stageSince = m_now;
    m_effects.push_back(StopStageEntered{stage, m_openCalls, m_hasReleasedRights, m_hasHandedBackJobs});
}

} // namespace radishvane
