#include "core/membership/rendezvous.h"

#include <algorithm>
#include <functional>

namespace radishvane
{

bool isRendezvousOwner(const HostId &self, const std::vector<HostId> &live, const std::string &task)
{
    const auto weight = [&](const HostId &host) {
        return std::hash<std::string>{}(host.name() + '/' + task);
    };
    return std::all_of(live.begin(), live.end(), [&](const HostId &other) { return weight(other) <= weight(self); });
}

} // namespace radishvane
