#pragma once

#include "core/cells/cell_messages.h"

namespace radishvane::cells
{

/// Collects the effects that the parts of a cell's controller request, and holds the time and the epoch of the
/// decision.
class CellOutbox
{
public:
    Instant now;
    Epoch epoch = 0;

    /// Queues a request under a new call id and returns the id.
    template<typename Call>
    CallId send(Call call)
    {
        call.call = CallId{++m_lastCall};
        const CallId id = call.call;
        m_effects.emplace_back(std::move(call));
        return id;
    }

    void add(CellEffect effect)
    {
        m_effects.push_back(std::move(effect));
    }

    void log(CellDecision decision, std::string subject, std::string worker = {}, std::uint64_t number = 0,
             std::string reason = {})
    {
        m_effects.emplace_back(
            DecisionLogEntry{decision, std::move(subject), std::move(worker), epoch, number, std::move(reason)});
    }

    /// Returns the fencing token for the next order to the host service.
    ///
    /// The token rises with each order, so that the host service refuses an earlier order that arrives late.
    Epoch nextHostFence()
    {
        return firstFence() + ++m_hostOrders;
    }

    /// Returns the fencing token of the orders to an incarnation of a worker.
    ///
    /// An incarnation that has seen its token refuses late orders that were sent to a former one.
    Epoch workerFence(std::uint64_t incarnationNumber) const
    {
        return firstFence() + incarnationNumber;
    }

    CellEffects take()
    {
        CellEffects effects;
        effects.swap(m_effects);
        return effects;
    }

private:
    Epoch firstFence() const
    {
        // Leaves 2^32 tokens per epoch; the token stays exact in a JSON double for 2^20 epochs.
        constexpr unsigned tokenBitsPerEpoch = 32;
        return epoch << tokenBitsPerEpoch;
    }

    std::uint64_t m_lastCall = 0;
    std::uint64_t m_hostOrders = 0;
    CellEffects m_effects;
};

} // namespace radishvane::cells
