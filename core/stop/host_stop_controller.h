#pragma once

#include "core/base/clock.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace radishvane
{

/// Stages of an entry host's graceful stop.
enum class StopStage {
    Serving,
    /// Not ready any more; calls are served until the balancer has noticed.
    Leaving,
    /// New calls are refused, and open calls may finish.
    Finishing,
    /// Calls that are still open are answered at once. What the platform holds for this host is released.
    Releasing,
    Stopped,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 5> stopStageNames{"serving", "leaving", "finishing", "releasing",
                                                                "stopped"};

/// Longest duration of each stage.
struct HostStopTimes
{
    Duration leave{0};
    Duration finish{0};
    Duration release{0};

    /// Times of a stop that ends within @p grace. @p balancerDelay is the time in which the balancer notices that a
    /// host is not ready, @p longestCall the longest time that a call stays open. Where @p grace is too short for both,
    /// each gets a part of it.
    static HostStopTimes within(Duration grace, Duration balancerDelay, Duration longestCall);
};

// Events: the inputs of HostStopController.

struct StopSignalled
{
};

/// Number of calls that have been read and not answered.
struct OpenCallsCounted
{
    std::uint64_t calls = 0;
};

/// No right of this host is recorded on the platform any more.
struct RightsReleased
{
};

/// This host owns no jobs any more.
struct JobsHandedBack
{
};

/// Every call has been answered, the answers are written, and no further call is read.
struct OpenCallsAnswered
{
};

struct HostStopTick
{
};

using HostStopEvent
    = std::variant<StopSignalled, OpenCallsCounted, RightsReleased, JobsHandedBack, OpenCallsAnswered, HostStopTick>;

/// Effect: a stage begins.
struct StopStageEntered
{
    StopStage stage = StopStage::Serving;
    std::uint64_t openCalls = 0;
    bool hasReleasedRights = false;
    bool hasHandedBackJobs = false;
};

using HostStopEffects = std::vector<StopStageEntered>;

/// Decides the stages of an entry host's stop and when each of them ends. Every stage has a bound, so that the process
/// ends by itself before the platform kills it.
class HostStopController
{
public:
    /// Time without an open call after which none is expected; covers the interval between two counts.
    static constexpr Duration quietTime{600};

    explicit HostStopController(HostStopTimes times);

    HostStopEffects handle(const HostStopEvent &event, TimePoint now);

private:
    void on(const StopSignalled &event);
    void on(const OpenCallsCounted &event);
    void on(const RightsReleased &event);
    void on(const JobsHandedBack &event);
    void on(const OpenCallsAnswered &event);
    void on(const HostStopTick &event);
    void advance();
    void enter(StopStage stage);

    HostStopTimes m_times;
    TimePoint m_now;
    StopStage m_stage = StopStage::Serving;
    TimePoint m_stageSince;
    std::uint64_t m_openCalls = 0;
    TimePoint m_lastOpen;
    bool m_hasReleasedRights = false;
    bool m_hasHandedBackJobs = false;
    bool m_hasAnsweredCalls = false;
    HostStopEffects m_effects;
};

} // namespace radishvane
