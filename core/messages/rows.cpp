#include "core/messages/rows.h"

namespace radishvane
{

bool isTerminal(JobState state)
{
    switch (state) {
    case JobState::Queued:
    case JobState::Starting:
    case JobState::Running:
        return false;
    case JobState::Done:
    case JobState::Failed:
    case JobState::Cancelled:
        return true;
    }
    return true;
}

} // namespace radishvane

namespace radishvane::rowKey
{

std::string session(const HostId &host)
{
    return std::string(sessions) + host.name();
}

std::string rightsOf(const TeamId &team)
{
    return std::string(rights) + team.name();
}

std::string claim(const TeamId &team, const std::string &idempotencyKey)
{
    return std::string(claims) + team.name() + '/' + idempotencyKey;
}

std::string job(const JobId &id)
{
    return std::string(jobs) + id.name();
}

std::string pool(const PoolId &id)
{
    return std::string(pools) + id.name();
}

std::string host(const HostId &id)
{
    return std::string(hosts) + id.name();
}

} // namespace radishvane::rowKey
