#pragma once

#include "tests/support/cell_site.h"

namespace radishvane::tests
{

/// A queue "plans" in pool "looms" with workers w0, w1 and so on of 8 cores, and entry hosts "a" and "b",
/// one of which owns the cell.
void fillLooms(CellSite &site, std::size_t workers = 4);
/// The one of the entry hosts "a" and "b" that does not own the cell.
std::string other(const CellSite &site);
/// A job of @p count service tasks of 2 cores, of which @p allowance may be away by our orders.
cells::GraphSpec serviceJob(std::uint32_t count, std::uint32_t allowance);
/// Fails the test for each rule that the site saw broken.
void expectNothingBroken(const CellSite &site);

/// Waits until the next owner has taken the cell, which is bounded, and then for the time within which it starts the
/// tasks of a silent worker elsewhere: the longest lease of the platform, 10 s on a clock that may be 2 % slow.
void runPastLongestLease(CellSite &site);
/// Submits a job of @p count tasks that run for a long time, and waits until all of them run.
void submitLongJob(CellSite &site, const std::string &job, std::uint32_t count);
/// Ends the owner with @p end, and waits until the other entry host owns the cell.
void changeOwner(CellSite &site, void (CellSite::*end)(const std::string &));

/// Submits job "j1" of one task whose start on "w0" is carried out after @p delay, and one that makes "w1" the worker
/// on which tasks are packed.
void submitWithLateStart(CellSite &site, int delay);
/// The same with steps of @p spec for "j1".
void submitWithLateStart(CellSite &site, int delay, cells::GraphSpec spec);
/// Crashes "w0", and starts it again under the same id. Discovery lists the new incarnation a while later.
void restartUnlisted(CellSite &site);

} // namespace radishvane::tests
