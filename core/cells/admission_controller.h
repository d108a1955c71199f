#pragma once

#include "core/cells/cell_outbox.h"
#include "core/cells/start_planner.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace radishvane::cells
{

/// Requests and caches tickets of the site's admission service, which decides which workers may run a step.
///
/// The service serves one call of a host at a time, so that one call is sent at a time, for the step that has been
/// served least. Each call names as few workers as it takes for its tickets to be valid when they come.
class AdmissionController
{
public:
    /// Limit on the workers in one call. Each worker adds to the time that the service needs.
    static constexpr std::size_t maxWorkersPerCall = 24;
    /// Limit on the workers in a call for a gang, whose tickets have to be valid together (published by the platform).
    static constexpr std::size_t maxWorkersPerGangCall = 100;
    /// Pause before a step is queried again after the service admitted no worker or the call failed.
    static constexpr Duration retryPause{500};
    /// A ticket is not used in this last part of its validity, so that the start order arrives in time.
    static constexpr Duration expiryMargin{300};
    /// A ticket is used for this time after it has come, even if its validity may be over. A worker that rejects it has
    /// done nothing.
    static constexpr Duration minUse{500};
    /// Time that a gang needs from its tickets to its starts.
    static constexpr Duration gangStartTime{200};

    /// What a step asks for.
    struct Request
    {
        ReadyStep step;
        AdmissionTimes times;
        /// Workers with capacity for a task of the step, in order of preference, and those without.
        std::vector<const Worker *> withCapacity;
        std::vector<const Worker *> full;
        /// Number of tasks that wait.
        std::size_t tasks = 0;
        /// All tasks start together, so that they need tickets at the same time.
        bool isGang = false;
    };

    explicit AdmissionController(CellOutbox &outbox);

    void clear();
    /// The ticket of a step for a worker; empty when there is no valid one.
    std::string ticket(const ReadyStep &step, const Worker &worker) const;
    /// Asks for tickets in the next call, unless another step goes first or the step was served recently.
    void request(const Request &request);
    /// Sends the call for the step that goes first among those of this planning pass. With equal numbers of calls it is
    /// the one that asked first.
    void sendRequest();
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
        /// Incarnations of the workers that the service admits and of those that it does not. Its decisions about a
        /// step do not change.
        std::map<WorkerId, std::int64_t> admitted;
        std::map<WorkerId, std::int64_t> rejected;
        TimePoint queryNotBefore;
        std::size_t calls = 0;
    };

    struct Call
    {
        CallId id;
        StepKey step;
        TimePoint sent;
        Duration validity{0};
        std::map<WorkerId, std::int64_t> incarnations;
    };

    struct Candidate
    {
        StepKey step;
        AdmissionTimes times;
        std::vector<const Worker *> workers;
        std::size_t calls = 0;
    };

    static StepKey keyOf(const ReadyStep &step);
    /// Margin before the end of the validity, which may itself be short.
    static Duration marginOf(Duration validity);
    static Duration answerTime(const AdmissionTimes &times, std::size_t workers);
    /// Number of workers in one call whose tickets are certainly valid when they come, at least 1.
    static std::size_t maxWorkers(const Request &request);
    static std::vector<const Worker *> selectWorkers(const Request &request, const StepTickets &entry);

    CellOutbox &m_outbox;
    std::map<StepKey, StepTickets> m_steps;
    /// The pending call.
    std::optional<Call> m_call;
    /// The step that goes first among those that asked since the last call.
    std::optional<Candidate> m_next;
};

} // namespace radishvane::cells
