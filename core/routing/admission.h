#pragma once

#include "core/base/result.h"
#include "core/config/config.h"
#include "core/routing/request_types.h"

namespace radishvane
{

/// Result of the admission check: the service and the team that an admitted request belongs to.
struct Admission
{
    const Service *service = nullptr;
    /// Empty for a request without a key to a service that is open to all.
    TeamId team;
};

/// Time after its last confirmation for which a configuration is taken to be the newest.
inline constexpr Duration configConfirmationLifetime{5'000};

/// Admission check: decides whether a request may be queued, from its service, its key and the ceiling of its team.
///
/// @param config null while no configuration is in force.
/// @param unconfirmedFor time since the configuration was last confirmed to be the newest.
Result<Admission, RefusalReason> admit(const Config *config, const RequestHead &head, Duration unconfirmedFor);

} // namespace radishvane
