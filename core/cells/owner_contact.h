#pragma once

#include "core/base/clock.h"

#include <cstdint>
#include <optional>

namespace radishvane::cells
{

/// Contact of an entry host with the owner of a cell, as its questions and their answers show it.
///
/// A question that changes a job waits for the store, so its silence says nothing about the owner. When a question has
/// no answer for a while, a probe follows, which an owner answers at once. While the probes have no answer either,
/// further questions would only wait until their time limits and end in doubt. A question that is not sent has
/// certainly done nothing.
class OwnerContact
{
public:
    /// Time without an answer after which the owner is probed, and least time between two probes.
    static constexpr Duration probeDelay{200};
    /// Time without an answer to the first probe after which the owner is regarded as silent. With the delay of the
    /// probe it is as long as an owner may hold questions while it rebuilds its state.
    static constexpr Duration probePatience{400};
    /// Time limit of a probe.
    static constexpr Duration probeTimeout{600};
    /// Longest gap between two ticks of a host that is at work itself.
    static constexpr Duration maxTickGap{300};
    static constexpr Duration minRetryAfter{500};

    /// The owner that a question was sent to; an answer of an earlier one does not count.
    using OwnerNumber = std::uint64_t;

    /// Another owner is known, or none.
    void changeOwner();
    OwnerNumber questionSent(TimePoint now);
    OwnerNumber probeSent(TimePoint now);
    /// The owner has answered a question or a probe.
    void answered(OwnerNumber owner);
    void probeFailed(OwnerNumber owner);
    /// Records that this host is at work. After a pause of its own, answers may wait to be read.
    void tick(TimePoint now);

    bool isProbeDue(TimePoint now) const;
    /// Whether further questions would wait in vain.
    bool isSilent(TimePoint now) const;
    /// Time by which another host may have replaced the silent owner.
    Duration retryAfter(TimePoint now) const;

private:
    OwnerNumber m_owner = 0;
    bool m_isProbing = false;
    TimePoint m_nextProbe;
    /// When the first question after the last answer was sent.
    std::optional<TimePoint> m_unansweredSince;
    /// When the first probe after the last answer was sent.
    std::optional<TimePoint> m_probedSince;
    std::optional<TimePoint> m_lastTick;
};

} // namespace radishvane::cells
