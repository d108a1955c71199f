#pragma once

#include "core/base/result.h"
#include "core/config/config.h"
#include "core/routing/request_types.h"

namespace radishvane
{

/// A request that may wait for a slot.
struct Admission
{
    const Service *service = nullptr;
    /// Empty for work without a key on a service that is open to all.
    TeamId team;
};

/// Time for which a configuration counts as the newest after its last confirmation.
inline constexpr Duration configConfirmationLifetime{5'000};

/// Decides whether a request may wait for a slot.
///
/// @param config may be null before the first configuration is in force.
/// @param unconfirmedFor time since the configuration was last confirmed to be the newest.
Result<Admission, RefusalReason> admit(const Config *config, const RequestHead &head, Duration unconfirmedFor);

} // namespace radishvane
