#pragma once

#include "core/cells/cell_messages.h"

#include <variant>
#include <vector>

namespace radishvane::cells
{

/// Calls that wait until a new owner has rebuilt the state of its cell.
///
/// A rebuild is usually shorter than the pause before a refused caller retries. The calls are refused when it takes
/// longer.
class HeldCalls
{
public:
    using Call = std::variant<SubmitJob, QueryJob, CancelJob, QueryPending>;

    /// Time from the takeover of the cell for which calls are held.
    static constexpr Duration patience{600};
    static constexpr std::size_t maxCalls = 256;
    /// Limit of the payloads of all held jobs.
    static constexpr std::size_t maxPayloadBytes = 4'000'000;

    /// Whether there is room for @p call.
    bool mayAdd(const Call &call) const;
    void add(const Call &call);
    /// Removes all calls and returns them in the order of their arrival.
    std::vector<Call> take();

private:
    std::vector<Call> m_calls;
    std::size_t m_payloadBytes = 0;
};

} // namespace radishvane::cells
