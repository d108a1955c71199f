#pragma once

#include "core/base/result.h"
#include "core/cells/host_capacity.h"
#include "core/cells/host_service_limits.h"
#include "core/config/config.h"
#include "core/config/config_problem.h"
#include "drivers/log.h"
#include "drivers/yaml_documents.h"

#include <vector>

namespace radishvane::drivers
{

/// What one entry host of a site on the users' platform is told at its start.
struct SiteSettings
{
    HostId host;
    ZoneId zone;
    /// Where callers come in.
    Endpoint listen;
    /// Where the balancer asks whether to send callers here.
    Endpoint readyListen;
    /// Where other entry hosts come in.
    Endpoint linkListen;
    /// Where metrics are fetched.
    Endpoint metricsListen;
    /// The platform's store.
    Endpoint store;
    /// Bytes of a row's value that the store accepts.
    std::size_t storeRowBytes = 65'536;
    /// The platform's service for hosts.
    Endpoint hostService;
    /// The service that says which workers may run a step; queues that ask for it need it.
    Endpoint admission;
    /// Longest lease of what runs on a worker.
    Duration mostHold{0};
    /// Time for a worker to stop a task.
    Duration workerStop{0};
    /// From a withdrawal of a key to its effect everywhere.
    Duration keysWithin{0};
    /// From SIGTERM to SIGKILL.
    Duration stopWithin{0};
    /// An ended job can be asked about for this long.
    Duration keepEnded{0};
    /// What the host gives this process.
    cells::HostCapacity capacity;
    /// What the platform's service for hosts accepts.
    cells::HostServiceLimits hostServiceLimits;
    LogLevel logLevel = LogLevel::Info;
};

/// Reads and checks the settings of an entry host of a site.
///
/// @return the settings, or every problem with its line.
Result<SiteSettings, std::vector<ConfigProblem>> readSiteSettings(const FileText &file);

} // namespace radishvane::drivers
