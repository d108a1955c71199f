#include "core/cells/job_queue.h"

namespace radishvane::cells
{

void JobQueue::push(const JobId &job)
{
    if (m_places.try_emplace(job, m_end).second) {
        m_jobs.emplace(m_end, job);
        ++m_end;
    }
}

void JobQueue::pushFront(const JobId &job)
{
    const auto [place, isNew] = m_places.try_emplace(job, 0);
    if (!isNew) {
        m_jobs.erase(place->second);
    }
    --m_first;
    place->second = m_first;
    m_jobs.emplace(m_first, job);
}

JobId JobQueue::pop()
{
    JobId job = std::move(m_jobs.begin()->second);
    m_jobs.erase(m_jobs.begin());
    m_places.erase(job);
    return job;
}

bool JobQueue::empty() const
{
    return m_jobs.empty();
}

const std::map<std::int64_t, JobId> &JobQueue::jobs() const
{
    return m_jobs;
}

} // namespace radishvane::cells
