#include "core/cells/job_queue.h"

namespace radishvane::cells
{

void JobQueue::push(const JobId &job)
{
    if (m_places.try_emplace(job, m_nextPlace).second) {
        m_jobs.emplace(m_nextPlace, job);
        ++m_nextPlace;
    }
}

void JobQueue::pushFront(const JobId &job)
{
    const auto [place, isNew] = m_places.try_emplace(job, 0);
    if (!isNew) {
        m_jobs.erase(place->second);
    }
    --m_lowestPlace;
    place->second = m_lowestPlace;
    m_jobs.emplace(m_lowestPlace, job);
}

const JobId &JobQueue::front() const
{
    return m_jobs.begin()->second;
}

void JobQueue::remove(const JobId &job)
{
    const auto place = m_places.find(job);
    if (place != m_places.end()) {
        m_jobs.erase(place->second);
        m_places.erase(place);
    }
}

bool JobQueue::empty() const
{
    return m_jobs.empty();
}

std::size_t JobQueue::size() const
{
    return m_jobs.size();
}

std::int64_t JobQueue::firstPlace() const
{
    return m_jobs.empty() ? m_nextPlace : m_jobs.begin()->first;
}

std::int64_t JobQueue::nextPlace() const
{
    return m_nextPlace;
}

} // namespace radishvane::cells
