#pragma once

#include "core/base/clock.h"

namespace radishvane
{

/// Durations of the session protocol of the entry hosts. docs/design/rights.md explains why each bound holds.
namespace leaseTimes
{
/// Interval between renewals of the host's own session.
inline constexpr Duration renewInterval{3'000};
/// Time after the sending of the last renewal for which work may start under leased rights.
inline constexpr Duration leaseDuration{10'000};
/// Interval between scans of the sessions of other hosts.
inline constexpr Duration scanInterval{3'000};
/// Maximum idle time that one scan adds to a session.
inline constexpr Duration maxIdlePerScan{2 * scanInterval};
/// Allowance for the clock drift between two hosts over one lease and for the time from a check to the first byte sent.
inline constexpr Duration clockMargin{2'000};
/// A witness ends a session that it observed without renewal for this long.
inline constexpr Duration sessionTimeout{2 * leaseDuration};
/// Hosts that are not witnesses end a session after this time, for the case that the platform was down for long.
inline constexpr Duration fallbackSessionTimeout{600'000};
/// Time for which the lease stays valid after a witness has confirmed that it observed no idle time.
inline constexpr Duration livenessConfirmationLifetime{sessionTimeout - maxIdlePerScan - clockMargin};
/// Maximum time after the last renewal for which leased rights stay valid, regardless of the witnesses.
inline constexpr Duration maxTimeWithoutRenewal{fallbackSessionTimeout - sessionTimeout};
}

} // namespace radishvane
