#include "core/cells/cell_handover.h"

namespace radishvane::cells
{

CellHandover::CellHandover(HostId host, HostCapacity capacity)
    : m_host(std::move(host)), m_fitness(capacity.ownerFitness())
{
}

std::optional<RequestHandover> CellHandover::nextRequest(const CellLease &lease, TimePoint now)
{
    const std::optional<OwnerRow> &owner = lease.owner();
    if (m_fitness < 1 || !owner || owner->host.empty() || owner->host == m_host) {
        return std::nullopt;
    }
    if (owner->epoch != m_observedEpoch) {
        m_observedEpoch = owner->epoch;
        m_isDeclined = false;
        m_notBefore = now + observationTime;
    }
    if (m_isDeclined || now < m_notBefore || !lease.hasContact(now)) {
        return std::nullopt;
    }
    m_notBefore = now + retryPause;
    m_lastRequest = ExchangeId{m_lastRequest.value + 1};
    return RequestHandover{m_lastRequest, m_host, m_fitness, owner->epoch};
}

void CellHandover::answered(const HandoverAnswered &event)
{
    // A late answer may be about another owner.
    if (event.exchange == m_lastRequest && event.answer == CallAnswer::Declined) {
        m_isDeclined = true;
    }
}

bool CellHandover::isFitter(double fitness) const
{
    return fitness - m_fitness >= fitnessMargin;
}

bool CellHandover::mayRelease(TimePoint now) const
{
    return !m_lastRelease || now - *m_lastRelease >= releaseInterval;
}

void CellHandover::recordRelease(TimePoint now)
{
    m_lastRelease = now;
}

} // namespace radishvane::cells
