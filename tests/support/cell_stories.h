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

} // namespace radishvane::tests
