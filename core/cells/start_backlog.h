#pragma once

#include "core/cells/job_registry.h"
#include "core/cells/site.h"
#include "core/cells/start_pacer.h"

#include <map>
#include <utility>

namespace radishvane::cells
{

/// Start orders that the accepted jobs still need. Estimates whether the owner can start one more job in time.
class StartBacklog
{
public:
    /// Interval between two counts. Jobs that are accepted in between are added.
    static constexpr Duration countInterval{100};
    /// The pacer is no bottleneck for jobs that wait less than this.
    static constexpr Duration minWait{250};

    void clear();

    /// Counts the orders anew if the last count is too old.
    void update(JobRegistry &registry, const SiteConfig &config, Instant now);
    /// Counts the orders of a job that was accepted after the last update.
    void add(const Queue &queue, const GraphSpec &spec, bool withinShare);
    /// Returns how long after its objective a job would end that is accepted now, because its orders wait for those of
    /// the jobs that rank before it. Zero if it would end in time, and for service tasks and jobs with due times.
    ///
    /// Further jobs would not raise the rate of starts, but make the accepted ones end late as well.
    Duration lateness(const Queue &queue, const GraphSpec &spec, const RunTimes &runTimes, bool withinShare,
                      const StartPacer &pacer) const;

private:
    /// Priority of the queue, and whether the job is beyond its team's share.
    using Rank = std::pair<std::uint32_t, bool>;

    std::map<Rank, double> m_bytes;
    TimePoint m_nextUpdate;
};

} // namespace radishvane::cells
