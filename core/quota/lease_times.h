#pragma once

#include "core/base/clock.h"

namespace radishvane
{

/// Times of the session of an entry host. See docs/design/rights.md for why each bound holds.
namespace leaseTimes
{
/// Interval between renewals of the own session.
inline constexpr Duration renewInterval{3'000};
/// Leased rights allow starts until this long after the last renewal was sent.
inline constexpr Duration lease{10'000};
/// Interval between looks at the sessions of others.
inline constexpr Duration scanInterval{3'000};
/// Most idle time that one look adds.
inline constexpr Duration mostIdlePerScan{2 * scanInterval};
/// Difference between the rates of two hosts' clocks over one lease, and the time from a check to the first byte sent.
inline constexpr Duration clockMargin{2'000};
/// A session seen without renewal for this long is ended by a witness.
inline constexpr Duration endAfter{2 * lease};
/// The same for hosts that are no witnesses, when the platform was down for long.
inline constexpr Duration endByAnyoneAfter{600'000};
/// A statement of a witness that saw no idle time keeps the lease for this long.
inline constexpr Duration vouchFor{endAfter - mostIdlePerScan - clockMargin};
/// Leased rights end at the latest this long after the last renewal, whoever vouches.
inline constexpr Duration longestWithoutRenewal{endByAnyoneAfter - endAfter};
}

} // namespace radishvane
