#include "benchmarks/bounds.h"

#include <iostream>

namespace radishvane::benchmarks
{

namespace
{

int brokenBounds = 0;

} // namespace

void require(benchmark::State &state, bool holds, const std::string &bound)
{
    if (holds) {
        return;
    }
    ++brokenBounds;
    std::cerr << "bound broken: " << bound << '\n';
    state.SkipWithError(("bound broken: " + bound).c_str());
}

int runWithBounds(int argumentCount, char **arguments)
{
    benchmark::Initialize(&argumentCount, arguments);
    if (benchmark::ReportUnrecognizedArguments(argumentCount, arguments)) {
        return 1;
    }
    benchmark::RunSpecifiedBenchmarks();
    benchmark::Shutdown();
    std::cerr << (brokenBounds == 0 ? "all bounds hold\n" : std::to_string(brokenBounds) + " bounds broken\n");
    return brokenBounds == 0 ? 0 : 1;
}

} // namespace radishvane::benchmarks
