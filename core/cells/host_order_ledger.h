#pragma once

#include "core/cells/cell_writer.h"
#include "core/cells/site.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace radishvane::cells
{

/// A move of a host to the pool in which it already is. The host stays as it is, but refuses all earlier orders.
struct HostFencing
{
    HostId host;
    PoolId pool;
};

/// Registry of the hosts for which an order may still be carried out.
///
/// The host service may carry out an order seconds after its sender has lost the cell. The store therefore names a host
/// before the first order for it is sent. The next owner fences the hosts that it finds there, and until then starts
/// nothing on them. The stored row may name further hosts, since the end of an order is stored together with other
/// changes.
class HostOrderLedger
{
public:
    /// Interval between two attempts to fence a host.
    static constexpr Duration retryInterval{300};
    /// A host that no list has shown for this time is gone, and so are the orders for it.
    static constexpr Duration goneTime{30'000};
    /// Bound on the encoded row, below the size that the store accepts.
    static constexpr std::size_t maxRowBytes = 64'000;

    explicit HostOrderLedger(CellWriter &writer);

    void clear();
    /// Restores the hosts with orders of earlier owners.
    void restore(const HostOrdersRow &row);
    /// Records that the stored row exists and cannot be read, so that any host may have orders of earlier owners.
    void lose();
    /// Whether any host may have orders of earlier owners. The next list of hosts puts those that it shows in doubt.
    bool isLost() const;
    /// Whether the row could not be read in this epoch, so that all hosts are to be fenced.
    bool wasLost() const;
    /// Removes the fenced hosts whose states are known from @p list, and the hosts that are gone.
    void observe(const HostList &list);
    /// Adds a host for which an order is about to be sent.
    void plan(const HostId &host);
    /// Whether the store names @p host, so that orders for it may be sent.
    bool isStored(const HostId &host) const;
    /// Records that the store holds @p row.
    void stored(const HostOrdersRow &row);
    /// Records the answer to an order, which also refuses all earlier ones if it was accepted.
    void answered(const HostId &host, HostOrderOutcome outcome);
    void answered(const HostFencing &fencing, HostOrderOutcome outcome, TimePoint now);
    /// Returns the hosts to be fenced now.
    /// @param excluded hosts whose orders are sent again instead.
    std::vector<HostFencing> planFencing(const HostList &list, const std::set<HostId> &excluded, std::size_t maxOrders,
                                         TimePoint now);

    /// Whether a newer list than @p list is likely to settle a host. Hosts that are down or not listed may stay so.
    bool awaitsList(const HostList &list) const;
    /// Hosts with orders that have no answer yet, and those in doubt.
    std::set<HostId> hosts() const;
    /// Hosts that an order without an answer, or an order of an earlier owner, may still end, and hosts whose states
    /// are unknown after such an order.
    std::set<HostId> inDoubt() const;

private:
    struct HostOrders
    {
        /// The store names the host.
        bool isStored = false;
        /// An order is about to be sent or has no answer yet.
        bool isPending = false;
        /// An earlier order may still be carried out.
        bool isInDoubt = false;
        /// The host was fenced at this time; a list that was requested later shows its state.
        std::optional<TimePoint> fencedAt;
        /// Request time of the first list that did not show the host; empty while lists show it.
        std::optional<TimePoint> missingSince;
        TimePoint notBefore;
    };

    void settle(const HostId &host);
    /// Stores the row unless it is larger than the store accepts. Orders for hosts that it would name then wait.
    void store(CellWriter::Urgency urgency);
    HostOrdersRow row() const;

    CellWriter &m_writer;
    bool m_isLost = false;
    bool m_wasLost = false;
    /// The row was too large for the store when it last changed, so that hosts wait for it.
    bool m_isTooLarge = false;
    std::map<HostId, HostOrders> m_hosts;
};

} // namespace radishvane::cells
