#pragma once

#include "core/cells/cell_messages.h"

namespace radishvane::cells
{

/// What the parts of a cell's keeper want done, with the time and the epoch in which they decide.
class CellOutbox
{
public:
    Instant now;
    Epoch epoch = 0;

    /// Adds a call, and gives it an id of its own.
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

    /// Fencing token of the next order for a host.
    ///
    /// It rises with each order, so that an earlier one that is carried out late is refused.
    Epoch nextHostFence()
    {
        // Room for the orders of one epoch; the sum stays exact in a double of JSON for 2^20 epochs.
        constexpr unsigned ordersEachEpochBits = 32;
        return (epoch << ordersEachEpochBits) + ++m_hostOrders;
    }

    CellEffects take()
    {
        CellEffects effects;
        effects.swap(m_effects);
        return effects;
    }

private:
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_hostOrders = 0;
    CellEffects m_effects;
};

} // namespace radishvane::cells
