#pragma once

#include "core/base/ids.h"

#include <string>
#include <vector>

namespace radishvane
{

/// True when rendezvous hashing gives @p task to @p self among @p live. Only saves work: hosts with different views of
/// who is live may both think so, or neither for a while, and a conditional write settles it.
bool isRendezvousOwner(const HostId &self, const std::vector<HostId> &live, const std::string &task);

} // namespace radishvane
