#pragma once

#include "core/cells/cell_outbox.h"
#include "core/cells/start_planner.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace radishvane::cells
{

/// Requests and caches tickets of the site's admission service, which decides which workers may run a step.
class AdmissionController
{
public:
    /// Limit on concurrent calls. The service decides them one after the other.
    static constexpr std::size_t maxCalls = 3;
    /// Limit on the workers in one call. Each worker adds to the time that the service needs.
    static constexpr std::size_t maxWorkersPerCall = 24;
    /// Pause before a step is queried again after the service admitted no worker or the call failed.
    static constexpr Duration retryPause{500};
    /// A ticket is not used in this last part of its validity, so that the start order arrives in time.
    static constexpr Duration expiryMargin{300};

    explicit AdmissionController(CellOutbox &outbox);

    void clear();
    /// The ticket of a step for a worker; empty when there is no valid one.
    std::string ticket(const ReadyStep &step, const Worker &worker) const;
    /// Queries the service about a step unless a query is pending or was made recently. @p workers come in order of
    /// preference; those that the service did not admit before are skipped.
    void requestTickets(const ReadyStep &step, const AdmissionTimes &times, const std::vector<Worker *> &workers);
    /// Removes the ticket of a step after a worker rejected it.
    void refused(const TaskId &task, const WorkerId &worker);
    /// @return whether the answer belongs to a call of this controller.
    bool answered(const AdmissionAnswered &event);

private:
    using StepKey = std::tuple<JobId, std::uint32_t, std::uint32_t>;

    struct Ticket
    {
        std::string text;
        /// Incarnation of the worker for which the ticket is valid.
        std::int64_t startedAtMs = 0;
        TimePoint validUntil;
    };

    struct StepTickets
    {
        std::map<WorkerId, Ticket> tickets;
        /// Incarnations of the workers that the service does not admit. Its decisions about a step do not change.
        std::map<WorkerId, std::int64_t> rejected;
        TimePoint queryNotBefore;
        bool isQueried = false;
    };

    struct Call
    {
        StepKey step;
        TimePoint sent;
        Duration validity{0};
        std::map<WorkerId, std::int64_t> incarnations;
    };

    CellOutbox &m_outbox;
    std::map<StepKey, StepTickets> m_steps;
    std::map<CallId, Call> m_calls;
};

} // namespace radishvane::cells
