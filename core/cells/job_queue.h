#pragma once

#include "core/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace radishvane::cells
{

/// Queue of jobs without duplicates, first come, first served.
class JobQueue
{
public:
    /// Adds a job at the end. A job that is queued keeps its place.
    void push(const JobId &job);
    /// Adds a job at the front, or moves it there.
    void pushFront(const JobId &job);
    /// The first job. The queue must not be empty.
    const JobId &front() const;
    void remove(const JobId &job);

    bool empty() const;
    std::size_t size() const;
    /// Place of the first job; nextPlace() if there is none.
    std::int64_t firstPlace() const;
    /// Place of the next job that is added at the end. All queued jobs have lower places.
    std::int64_t nextPlace() const;

private:
    std::map<std::int64_t, JobId> m_jobs;
    std::unordered_map<JobId, std::int64_t> m_places;
    std::int64_t m_lowestPlace = 0;
    std::int64_t m_nextPlace = 0;
};

} // namespace radishvane::cells
