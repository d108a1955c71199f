#pragma once

#include "core/jobs/job_messages.h"

#include <utility>

namespace radishvane
{

/// Collects the effects of one event and numbers the calls to the platform and to workers.
///
/// JobController and JobRequestHandler share one outbox, so that the ids of their calls are unique.
class JobOutbox
{
public:
    OperationId call(PlatformRequest request)
    {
        const OperationId id{++m_lastOperation};
        m_effects.push_back(PlatformCall{id, std::move(request)});
        return id;
    }

    WorkerCallId call(const Endpoint &worker, WorkerRequest request)
    {
        const WorkerCallId id{++m_lastCall};
        m_effects.push_back(WorkerCall{id, worker, std::move(request)});
        return id;
    }

    void push(JobEffect effect)
    {
        m_effects.push_back(std::move(effect));
    }

    void refuse(ExchangeId exchange, RefusalReason reason)
    {
        push(AnswerJob{exchange, JobRefused{reason}});
    }

    void log(JobStep step, const JobRow &row)
    {
        push(JobLogEntry{step, row.id, row.team, row.worker, row.state, row.reason, row.attempts});
    }

    JobEffects take()
    {
        return std::exchange(m_effects, {});
    }

private:
    JobEffects m_effects;
    std::uint64_t m_lastOperation = 0;
    std::uint64_t m_lastCall = 0;
};

} // namespace radishvane
