#pragma once

#include "core/stop/host_stop_controller.h"
#include "servers/platform_task.h"
#include "servers/task_messages.h"

#include <string>

namespace radishvane::servers
{

/// All that the operator port shows, in the latest state that each task has told.
struct HostStatus
{
    HostId host;
    ZoneId zone;
    StopStage stage = StopStage::Serving;
    RequestStatus requests;
    ConfigStatus config;
    MembershipStatus membership;
    RightsStatus rights;
    PlatformStatus platform;
    JobStatus jobs;
    LeavingStatus leaving;
};

/// JSON for `radishvane status`.
std::string statusJson(const HostStatus &status);

/// Metrics in the Prometheus text format.
std::string metricsText(const HostStatus &status);

} // namespace radishvane::servers
