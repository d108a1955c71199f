#pragma once

#include "core/base/ids.h"

#include <string>
#include <vector>

namespace radishvane
{

/// True when rendezvous hashing assigns @p task to @p self among the hosts in @p live. This only avoids duplicate work:
/// while hosts disagree about which hosts are live, several or none of them may own a task, and conditional writes keep
/// the result correct.
bool isRendezvousOwner(const HostId &self, const std::vector<HostId> &live, const std::string &task);

} // namespace radishvane
