#pragma once

namespace radishvane::cells
{

/// Limits of the platform's host service.
struct HostServiceLimits
{
    /// Orders for hosts that the service accepts in one second from all entry hosts together.
    double ordersPerSecond = 64;
};

} // namespace radishvane::cells
