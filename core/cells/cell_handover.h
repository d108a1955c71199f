#pragma once

#include "core/cells/cell_lease.h"
#include "core/cells/host_capacity.h"

#include <optional>

namespace radishvane::cells
{

/// Handover of a cell from an owner with little capacity to a fitter entry host, from the view of one entry host.
///
/// A host with all the capacity that an owner needs asks each new owner once; the owner releases the cell if the other
/// host is clearly fitter.
class CellHandover
{
public:
    /// Time for which a host observes an owner before it asks; an owner rebuilds its state first.
    static constexpr Duration observationTime{1'000};
    /// Pause before a host asks the same owner again after a request without a decision.
    static constexpr Duration retryPause{5'000};
    /// Least pause between two releases by one host, for the case that the fitter host does not take over.
    static constexpr Duration releaseInterval{30'000};
    /// Least difference of fitness for a release. A host that is so much less fit waits longer than a fit one before
    /// it takes over a free cell.
    static constexpr double fitnessMargin = 0.5;

    CellHandover(HostId host, HostCapacity capacity);

    /// Returns the request to the owner of @p lease if one is due.
    std::optional<RequestHandover> nextRequest(const CellLease &lease, TimePoint now);
    void answered(const HandoverAnswered &event);

    /// Whether a host of @p fitness is clearly fitter than this one.
    bool isFitter(double fitness) const;
    /// Whether this host has not released the cell lately.
    bool mayRelease(TimePoint now) const;
    void recordRelease(TimePoint now);

private:
    HostId m_host;
    double m_fitness;
    Epoch m_observedEpoch = 0;
    bool m_isDeclined = false;
    TimePoint m_notBefore;
    ExchangeId m_lastRequest;
    std::optional<TimePoint> m_lastRelease;
};

} // namespace radishvane::cells
