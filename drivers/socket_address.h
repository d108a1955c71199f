#pragma once

#include "core/config/config.h"

#include <netinet/in.h>

namespace radishvane::drivers
{

/// The endpoint as the socket calls take it; its address was checked when it was read.
sockaddr_in toSocketAddress(const Endpoint &endpoint);

} // namespace radishvane::drivers
