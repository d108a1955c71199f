#include "core/cells/store_change.h"

#include "core/base/overloaded.h"

namespace radishvane::cells
{

std::string changeName(const StoreChange &change)
{
    return std::visit(Overloaded{
                          [](const NewJobChange &job) { return "job " + job.id.name(); },
                          [](const ProgressChange &job) { return "progress " + job.id.name(); },
                          [](const WaveChange &wave) { return "wave " + std::to_string(wave.number); },
                          [](const RosterChange &row) { return "workers " + std::to_string(row.part); },
                          [](const HostOrdersChange &) { return std::string("host-orders"); },
                          [](const DeletionChange &job) { return "deletion " + job.id.name(); },
                      },
                      change);
}

} // namespace radishvane::cells
