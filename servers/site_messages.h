#pragma once

#include "core/cells/call_authorizer.h"
#include "core/cells/cell_messages.h"
#include "drivers/task_statistics.h"
#include "servers/task_messages.h"

#include <array>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>

namespace radishvane::servers
{

/// Calls of a cell to the platform's store and host service.
using SiteCall = std::variant<cells::WriteCell, cells::ReadCell, cells::ListHosts, cells::MaintainHost, cells::MoveHost,
                              cells::ReportWave, cells::OwnershipChanged>;

/// The operator's table has answered a question sent at @c asked.
struct OperatorContact
{
    TimePoint asked;
};

/// Who owns the cell now, as this process knows.
struct OwnerKnown
{
    std::optional<cells::OwnerRow> owner;
    /// This process is the owner.
    bool isSelf = false;
};

/// A caller's call that was answered.
struct CallMeasured
{
    cells::CallAnswer outcome = cells::CallAnswer::Unavailable;
    double milliseconds = 0;
};

/// A write of a cell's rows that has ended.
struct WriteMeasured
{
    cells::CellWriteOutcome outcome = cells::CellWriteOutcome::Unknown;
    double milliseconds = 0;
};

/// A version of a row in the store cannot be read.
struct RowUnreadable
{
    std::string table;
};

/// How old what the process believes is.
struct BeliefAges
{
    std::uint64_t configVersion = 0;
    double operatorContact = 0;
    bool ownsCell = false;
    std::uint64_t logLinesDropped = 0;
};

/// The tasks of an entry host whose load is measured.
enum class SiteTask {
    Cell,
    Store,
    Front,
};

/// Names in metrics and logs, in the order of the enumerators.
inline constexpr std::array<std::string_view, 3> siteTaskNames{"cell", "store", "front"};

/// What a task did since its last report.
struct TaskLoad
{
    SiteTask task = SiteTask::Cell;
    drivers::TaskTotals totals;
};

/// The totals are large, so that messages hold a pointer to them.
using TaskLoadPtr = std::shared_ptr<const TaskLoad>;

/// A question of a caller or of another entry host for the cell of this process.
using CellQuestion
    = std::variant<cells::SubmitJob, cells::QueryJob, cells::CancelJob, cells::QueryPending, cells::RequestHandover>;

} // namespace radishvane::servers
