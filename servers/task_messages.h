#pragma once

#include "core/base/ids.h"
#include "core/config/config.h"
#include "core/messages/rows.h"
#include "core/routing/request_types.h"
#include "drivers/http_types.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace radishvane::servers
{

/// The answer to one exchange of the callers' port.
struct AnswerCaller
{
    ExchangeId exchange;
    drivers::HttpAnswer answer;
};

/// What the request task did, for the operator port.
struct RequestStatus
{
    std::uint64_t waiting = 0;
    std::uint64_t running = 0;
    std::map<std::string, std::uint64_t> decisions;
    std::map<std::string, std::uint64_t> refusals;
    /// Time from arrival to the end of answered requests, in milliseconds.
    double medianMilliseconds = 0;
    double p99Milliseconds = 0;
    std::map<TeamId, std::uint32_t> runningByTeam;
};

/// Configuration on this entry host, for the operator port.
struct ConfigStatus
{
    std::shared_ptr<const Config> config;
    ConfigVersion newestObserved;
    bool confirmed = false;
    /// Callers are let in.
    bool servable = false;
};

/// One entry host as this one sees it.
struct PeerStatus
{
    HostId host;
    ZoneId zone;
    bool live = false;
    ConfigVersion config;
};

struct MembershipStatus
{
    std::vector<PeerStatus> peers;
    std::uint64_t bytesSent = 0;
    std::uint64_t datagramsRefused = 0;
};

/// Rights of one team on this entry host.
struct TeamRightsStatus
{
    TeamId team;
    std::uint32_t standing = 0;
    std::uint32_t leased = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

struct RightsStatus
{
    bool sessionHeld = false;
    std::uint64_t epoch = 0;
    std::vector<TeamRightsStatus> teams;
};

/// Jobs of this entry host, for the operator port.
struct JobStatus
{
    std::vector<JobRow> owned;
    std::map<std::string, std::uint64_t> steps;
};

/// Hosts that get no new work, for the operator port.
struct LeavingStatus
{
    std::set<HostId> hosts;
};

} // namespace radishvane::servers
