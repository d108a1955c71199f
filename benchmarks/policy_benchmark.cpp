// Policies of the request path in virtual time, against baselines; the same figures on every run.

#include "benchmarks/bounds.h"
#include "benchmarks/request_simulation.h"
#include "core/base/enum_names.h"

#include <benchmark/benchmark.h>

namespace radishvane::benchmarks
{

namespace
{

void report(benchmark::State &state, const SimulationResult &result)
{
    state.counters["goodput"] = result.goodput;
    state.counters["p50_ms"] = result.p50Milliseconds;
    state.counters["p99_ms"] = result.p99Milliseconds;
    state.counters["refused"] = static_cast<double>(result.refused);
    state.counters["queue"] = static_cast<double>(result.longestQueue);
    state.counters["share_mean"] = result.meanDistance;
    state.counters["share_worst"] = result.worstDistance;
    state.counters["urgent_ms"] = result.urgentWorstStartMilliseconds;
}

// Overload: goodput at a multiple of the capacity.
void overload(benchmark::State &state)
{
    const auto policy = static_cast<Policy>(state.range(0));
    const auto load = static_cast<double>(state.range(1));
    SimulationResult result;
    for (auto unused : state) {
        result = simulate(steadyLoad(load), policy);
    }
    state.SetLabel(std::string(enumName(policyNames, policy)));
    report(state, result);
    if (policy == Policy::RequestRouter) {
        if (load >= 5) {
            require(state, result.goodput >= 0.95, "goodput at 5x is at least 95 % of the capacity");
        }
        require(state, result.longestQueue <= 2'000, "no queue grows beyond its limit");
    }
}

// Shares: queues of six teams that peak in turn.
void shares(benchmark::State &state)
{
    const auto policy = static_cast<Policy>(state.range(0));
    SimulationResult result;
    for (auto unused : state) {
        result = simulate(peaksInTurn(1.5), policy);
    }
    state.SetLabel(std::string(enumName(policyNames, policy)));
    report(state, result);
    if (policy == Policy::RequestRouter) {
        require(state, result.urgentWorstStartMilliseconds <= 5'200, "urgent work starts within 5.2 s");
        for (const Policy baseline : {Policy::FirstCome, Policy::StaticSplit}) {
            const SimulationResult other = simulate(peaksInTurn(1.5), baseline);
            require(state, result.meanDistance < other.meanDistance, "nearer to the shares than a baseline");
            require(state, result.goodput >= other.goodput * 0.95, "goodput not below a baseline's");
        }
    }
}

BENCHMARK(overload)->ArgsProduct({{0, 3, 4}, {1, 2, 5}})->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(shares)->DenseRange(0, 2)->Iterations(1)->Unit(benchmark::kMillisecond);

} // namespace

} // namespace radishvane::benchmarks

int main(int argumentCount, char **arguments)
{
    return radishvane::benchmarks::runWithBounds(argumentCount, arguments);
}
