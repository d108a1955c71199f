#pragma once

#include <benchmark/benchmark.h>

#include <string>

namespace radishvane::benchmarks
{

/// Records a broken bound, which fails the whole run and marks the benchmark.
void require(benchmark::State &state, bool holds, const std::string &bound);

/// Runs all benchmarks. @return 1 when a bound was broken.
int runWithBounds(int argumentCount, char **arguments);

} // namespace radishvane::benchmarks
