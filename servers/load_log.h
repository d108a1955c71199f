#pragma once

#include "drivers/event_log.h"
#include "servers/site_messages.h"

namespace radishvane::servers
{

/// Writes the load of the process to the log, as one line for each interval.
class LoadLog
{
public:
    /// Interval of the lines of the cell's owner.
    static constexpr Duration ownerInterval{2'000};
    /// Interval of the lines of other entry hosts.
    static constexpr Duration otherInterval{10'000};

    LoadLog(const Clock &clock, drivers::EventLog &log);

    void setOwner(bool isOwner);
    void add(const cells::CellLeaseRenewed &renewal);
    void add(const cells::CellRebuilt &rebuild);
    /// Adds the report of a task, and writes the line if it is due.
    void add(const TaskLoad &load);

private:
    /// Longest time of an interval, and where it was measured.
    struct Longest
    {
        double milliseconds = 0;
        std::string_view place;

        void observe(double time, std::string_view where);
        /// For the log: empty if the time is shown as 0.
        std::string shownPlace() const;
    };

    struct Interval
    {
        std::array<drivers::TaskTotals, siteTaskNames.size()> tasks;
        drivers::TimeHistogram leaseAge;
        std::optional<cells::CellRebuilt> rebuild;
    };

    void write(TimePoint now);

    const Clock &m_clock;
    drivers::EventLog &m_log;
    bool m_isOwner = false;
    TimePoint m_start;
    Interval m_interval;
};

} // namespace radishvane::servers
