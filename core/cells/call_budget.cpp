#include "core/cells/call_budget.h"

#include <utility>

namespace radishvane::cells
{

CallBudget::CallBudget(const StoreLimits &limits) : m_entries(limits.maxEntries), m_bytes(limits.maxBytes)
{
}

bool CallBudget::fits(const EntrySize &size) const
{
    return size.entries <= m_entries && size.bytes <= m_bytes;
}

bool CallBudget::take(const EntrySize &size)
{
    if (!fits(size)) {
        return false;
    }
    m_entries -= size.entries;
    m_bytes -= size.bytes;
    return true;
}

void CallBudget::keepHalf()
{
    m_keptBytes = m_bytes / 2;
    m_bytes -= m_keptBytes;
}

void CallBudget::giveBack()
{
    m_bytes += std::exchange(m_keptBytes, 0);
}

} // namespace radishvane::cells
