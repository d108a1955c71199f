#pragma once

#include "core/cells/call_authorizer.h"
#include "core/cells/cell_messages.h"
#include "servers/task_messages.h"

#include <optional>
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

/// How old what the process believes is.
struct BeliefAges
{
    std::uint64_t configVersion = 0;
    double operatorContact = 0;
    bool ownsCell = false;
    std::uint64_t logLinesDropped = 0;
};

/// A question of a caller or of another entry host for the cell of this process.
using CellQuestion
    = std::variant<cells::SubmitJob, cells::QueryJob, cells::CancelJob, cells::QueryPending, cells::RequestHandover>;

} // namespace radishvane::servers
