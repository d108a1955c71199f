#pragma once

#include "core/cells/cell_messages.h"

#include <optional>

namespace radishvane::cells
{

/// The lease of a cell, as one entry host sees and uses it.
///
/// The owner's row carries no time. Its owner writes it anew at intervals; whoever sees it unchanged for longer than
/// the lease, while the store answers, may take it by a conditional write with a higher epoch.
class CellLease
{
public:
    /// An owner starts nothing that long after it sent its last successful write of the row.
    static constexpr Duration length{2'000};
    static constexpr Duration renewInterval{600};
    /// Difference between two hosts' clocks over a lease, and the delay of an answer.
    static constexpr Duration clockMargin{300};
    /// A watcher that has not heard of the store for so long watches anew.
    static constexpr Duration contactGap{1'600};
    /// Hosts take a free cell one after the other within this time.
    static constexpr Duration spread{250};

    CellLease(HostId host, std::uint64_t incarnation, Endpoint link);

    /// The row as the store showed it to a question sent at @p asked.
    void see(const OwnerObserved &seen, TimePoint now);
    /// The store has answered a question sent at @p asked.
    void contact(TimePoint asked, TimePoint now);
    /// A write of @p row that was sent at @p sent has succeeded.
    void wrote(const OwnerRow &row, std::uint64_t version, TimePoint sent);

    /// Whether the row may be taken now.
    bool mayTake(TimePoint now) const;
    /// Whether this process owns the row, as far as it knows.
    bool owns() const;
    /// Whether this process owns the row for certain, so that it may order starts.
    bool valid(TimePoint now) const;
    bool renewalDue(TimePoint now) const;
    /// Row that takes the cell, or that renews it.
    OwnerRow nextRow() const;
    OwnerRow releasedRow() const;

    std::uint64_t version() const;
    Epoch epoch() const;
    /// The owner's row that was seen last; none before the first look or without an owner.
    const std::optional<OwnerRow> &owner() const;
    bool isKnown() const;

private:
    bool isOwn(const OwnerRow &row) const;

    HostId m_host;
    std::uint64_t m_incarnation;
    Endpoint m_link;
    Duration m_delay;
    bool m_known = false;
    std::optional<OwnerRow> m_owner;
    std::uint64_t m_version = 0;
    TimePoint m_unchangedSince;
    TimePoint m_lastContact;
    TimePoint m_renewedAt;
};

} // namespace radishvane::cells
