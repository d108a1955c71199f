#pragma once

#include "core/cells/cell_outbox.h"
#include "core/cells/start_planner.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace radishvane::cells
{

/// Tickets of the site's admission service, which alone knows which workers may run a step.
class AdmissionController
{
public:
    /// Calls under way at one time; the service decides one after the other.
    static constexpr std::size_t mostCalls = 3;
    /// Workers asked about in one call, each of which takes time.
    static constexpr std::size_t mostWorkers = 24;
    /// A step for which no worker was good, or whose call failed, is asked about again after this.
    static constexpr Duration retryPause{500};
    /// A ticket is not used in the last part of its time, so that the order arrives within it.
    static constexpr Duration margin{300};

    explicit AdmissionController(CellOutbox &outbox);

    void clear();
    /// The ticket for a step on a worker; empty when there is none that is good now.
    std::string ticket(const ReadyStep &step, const Worker &worker) const;
    /// Asks about a step unless it is known or asked about; @p workers come in the order of preference.
    void want(const ReadyStep &step, const AdmissionTimes &times, const std::vector<Worker *> &workers);
    /// A worker did not take the step's ticket.
    void refused(const TaskId &task, const WorkerId &worker);
    /// @return whether the answer was to a call of this desk.
    bool answered(const AdmissionAnswered &event);

private:
    using StepKey = std::tuple<JobId, std::uint32_t, std::uint32_t>;

    struct Ticket
    {
        std::string text;
        /// Life of the worker for which it is good.
        std::int64_t born = 0;
    };

    struct Knowledge
    {
        std::map<WorkerId, Ticket> tickets;
        TimePoint goodUntil;
        TimePoint askNotBefore;
        bool asked = false;
    };

    struct Call
    {
        StepKey step;
        TimePoint sent;
        Duration validity{0};
        std::map<WorkerId, std::int64_t> lives;
    };

    CellOutbox &m_outbox;
    std::map<StepKey, Knowledge> m_known;
    std::map<CallId, Call> m_calls;
};

} // namespace radishvane::cells
