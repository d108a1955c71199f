#pragma once

#include "core/base/result.h"
#include "core/config/config.h"
#include "core/config/config_problem.h"
#include "core/config/field_reader.h"
#include "drivers/http_server.h"
#include "drivers/log.h"
#include "drivers/yaml_documents.h"

#include <string>
#include <vector>

namespace radishvane::drivers
{

/// What one entry host is told at its start.
struct Settings
{
    HostId host;
    ZoneId zone;
    /// Where callers come in.
    Endpoint listen;
    /// Where operators and monitoring come in.
    Endpoint operatorListen;
    /// Where other entry hosts come in, by UDP and by TCP.
    Endpoint peerListen;
    /// Where other entry hosts reach peerListen from their networks; the same address when it is not set.
    Endpoint peerAddress;
    Endpoint platform;
    /// Entry hosts to ask while the platform cannot be reached.
    std::vector<Endpoint> peers;
    HttpLimits limits;
    Duration platformTimeout{2'000};
    /// Time after SIGTERM in which requests are still taken, for the balancer to notice.
    Duration leaveWait{3'000};
    /// Longest wait for open work after that.
    Duration stopWait{30'000};
    LogLevel logLevel = LogLevel::Info;
};

/// The field log_level, which may be absent; a wrong one is reported to @p fields.
LogLevel readLogLevel(FieldReader &fields);

/// Reads and checks a settings file.
///
/// @return the settings, or every problem with its line.
Result<Settings, std::vector<ConfigProblem>> readSettings(const FileText &file);

} // namespace radishvane::drivers
