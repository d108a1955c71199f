#include "core/cells/held_calls.h"

#include <utility>

namespace radishvane::cells
{

namespace
{

std::size_t payloadBytes(const HeldCalls::Call &call)
{
    const auto *submission = std::get_if<SubmitJob>(&call);
    return submission == nullptr ? 0 : submission->spec.payload.size();
}

} // namespace

bool HeldCalls::mayAdd(const Call &call) const
{
    return m_calls.size() < maxCalls && m_payloadBytes + payloadBytes(call) <= maxPayloadBytes;
}

void HeldCalls::add(const Call &call)
{
    m_payloadBytes += payloadBytes(call);
    m_calls.push_back(call);
}

std::vector<HeldCalls::Call> HeldCalls::take()
{
    m_payloadBytes = 0;
    return std::exchange(m_calls, {});
}

} // namespace radishvane::cells
