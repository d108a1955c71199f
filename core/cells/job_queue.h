#pragma once

#include "core/base/ids.h"

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
    /// Removes the first job and returns it. The queue must not be empty.
    JobId pop();

    bool empty() const;
    /// The jobs by their places.
    const std::map<std::int64_t, JobId> &jobs() const;

private:
    std::map<std::int64_t, JobId> m_jobs;
    std::unordered_map<JobId, std::int64_t> m_places;
    std::int64_t m_first = 0;
    std::int64_t m_end = 0;
};

} // namespace radishvane::cells
