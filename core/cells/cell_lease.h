#pragma once

#include "core/cells/cell_messages.h"
#include "core/cells/host_capacity.h"

#include <optional>

namespace radishvane::cells
{

/// The lease of a cell from the view of one entry host.
///
/// The owner's row contains no time. The owner rewrites the row at intervals. An entry host that observes an unchanged
/// row for longer than the lease, while the store answers, may take over the cell by a conditional write with a higher
/// epoch.
class CellLease
{
public:
    /// Validity of the lease, counted from the sending of the last successful write of the row; then the owner starts
    /// nothing.
    static constexpr Duration duration{2'000};
    static constexpr Duration renewInterval{600};
    /// Allowance for the drift between two hosts' clocks during a lease and for the delay of an answer.
    static constexpr Duration clockMargin{300};
    /// After a longer gap without an answer of the store an observer restarts its measurement.
    static constexpr Duration maxContactGap{1'600};
    /// Hosts stagger their attempts to take over a cell within this time.
    static constexpr Duration takeoverSpread{250};
    /// Additional delay of a host without any of the capacity that an owner needs. Hosts with a part of it wait for a
    /// part of this time, so that the fittest host in reach of the store takes over.
    static constexpr Duration maxUnfitDelay{1'500};

    CellLease(HostId host, std::uint64_t incarnation, Endpoint link, HostCapacity capacity);

    /// Updates the view of the owner's row.
    void observe(const OwnerObserved &observed, TimePoint now);
    /// Records that the store has answered a request sent at @p requestedAt.
    void recordContact(TimePoint requestedAt, TimePoint now);
    /// Records that a write of @p row, sent at @p sentAt, has succeeded.
    void recordWrite(const OwnerRow &row, std::uint64_t version, TimePoint sentAt);

    /// Whether the store has answered recently.
    bool hasContact(TimePoint now) const;
    /// Whether this process may try to take over the cell now.
    bool mayTakeOver(TimePoint now) const;
    /// Whether this process is the owner by the last observed row; its lease may have expired.
    bool owns() const;
    /// Whether this process is the owner and its lease has not expired, so that it may order starts.
    bool isValid(TimePoint now) const;
    bool isRenewalDue(TimePoint now) const;
    /// Time since the sending of the last successful write of the row.
    TimePoint::duration age(TimePoint now) const;
    /// Row that takes over the cell or renews the lease.
    OwnerRow nextRow() const;
    /// Row without an owner, which releases the cell.
    OwnerRow releasedRow() const;

    std::uint64_t version() const;
    Epoch epoch() const;
    /// The owner's row that was observed last; empty before the first observation or if there is no row.
    const std::optional<OwnerRow> &owner() const;
    /// Whether the owner's row has been observed.
    bool isKnown() const;

private:
    bool isOwn(const OwnerRow &row) const;
    /// Whether @p row names an earlier process of this host. This process holds the host's link port, so the earlier
    /// one has ended and its lease needs no wait.
    bool isPredecessors(const OwnerRow &row) const;

    HostId m_host;
    std::uint64_t m_incarnation;
    Endpoint m_link;
    Duration m_takeoverDelay;
    bool m_isKnown = false;
    std::optional<OwnerRow> m_owner;
    std::uint64_t m_version = 0;
    TimePoint m_unchangedSince;
    TimePoint m_lastContact;
    TimePoint m_renewedAt;
};

} // namespace radishvane::cells
