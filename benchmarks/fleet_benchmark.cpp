// Plans of hosts over one recorded day against baselines, and the planner's time by size. The day is played in virtual
// time and is the same on every run.

#include "benchmarks/bounds.h"
#include "benchmarks/fleet_simulation.h"
#include "core/base/enum_names.h"

#include <benchmark/benchmark.h>

namespace radishvane::benchmarks
{

namespace
{

constexpr std::array<std::uint64_t, 5> seeds{1, 2, 3, 4, 5};

/// The mean of days with the same shape and different failures.
FleetDay meanDay(const FleetSite &site, FleetPolicy policy)
{
    FleetDay mean;
    double moves = 0;
    for (const std::uint64_t seed : seeds) {
        const FleetDay day = playDay(site, policy, seed);
        mean.bufferHostHours += day.bufferHostHours / seeds.size();
        moves += static_cast<double>(day.moves) / seeds.size();
        mean.meanRollOutMinutes += day.meanRollOutMinutes / seeds.size();
        mean.worstRollOutMinutes = std::max(mean.worstRollOutMinutes, day.worstRollOutMinutes);
        mean.shortfall += day.shortfall / seeds.size();
    }
    mean.moves = static_cast<int>(moves);
    return mean;
}

void report(benchmark::State &state, const FleetDay &day)
{
    state.counters["buffer_host_hours"] = day.bufferHostHours;
    state.counters["moves"] = day.moves;
    state.counters["roll_out_min"] = day.meanRollOutMinutes;
    state.counters["roll_out_worst_min"] = day.worstRollOutMinutes;
    state.counters["shortfall"] = day.shortfall;
}

constexpr std::array<FleetPolicy, 3> baselines{FleetPolicy::StaticBuffer, FleetPolicy::OneAtATime,
                                               FleetPolicy::GreedyByNeed};

// The measures that each site weighs most, against every baseline.
void requireWeighedMost(benchmark::State &state, bool isHarrowgate, const FleetDay &own, const FleetDay &other)
{
    if (isHarrowgate) {
        require(state, own.bufferHostHours < other.bufferHostHours, "a lower buffer cost than each baseline");
        require(state, own.shortfall < other.shortfall, "nearer to the need than each baseline");
        return;
    }
    require(state, own.meanRollOutMinutes < other.meanRollOutMinutes, "a faster roll-out than each baseline");
    require(state, own.moves < other.moves, "fewer moves than each baseline");
}

void day(benchmark::State &state)
{
    const bool isHarrowgate = state.range(0) == 0;
    const FleetSite &site = isHarrowgate ? harrowgate : cottonbelt;
    const auto policy = static_cast<FleetPolicy>(state.range(1));
    FleetDay result;
    for (auto unused : state) {
        result = meanDay(site, policy);
    }
    state.SetLabel(std::string(site.name) + ' ' + std::string(enumName(fleetPolicyNames, policy)));
    report(state, result);
    if (policy == FleetPolicy::Planner) {
        for (const FleetPolicy baseline : baselines) {
            requireWeighedMost(state, isHarrowgate, result, meanDay(site, baseline));
        }
    }
}

// No measure may be lost to a baseline by more than 5 %.
void losses(benchmark::State &state)
{
    constexpr double mostLoss = 1.05;
    const FleetSite &site = state.range(0) == 0 ? harrowgate : cottonbelt;
    FleetDay own;
    for (auto unused : state) {
        own = meanDay(site, FleetPolicy::Planner);
    }
    state.SetLabel(std::string(site.name));
    report(state, own);
    for (const FleetPolicy baseline : baselines) {
        const FleetDay other = meanDay(site, baseline);
        const std::string against(enumName(fleetPolicyNames, baseline));
        require(state, own.bufferHostHours <= other.bufferHostHours * mostLoss, "buffer cost against " + against);
        require(state, own.moves <= other.moves * mostLoss, "moves against " + against);
        require(state, own.meanRollOutMinutes <= other.meanRollOutMinutes * mostLoss, "roll-out against " + against);
        require(state, own.shortfall <= other.shortfall * mostLoss, "shortfall against " + against);
    }
}

// Planner time by size: hosts and pools.
void planOnce(benchmark::State &state)
{
    FleetSite site = harrowgate;
    site.hosts = static_cast<int>(state.range(0));
    site.pools = static_cast<int>(state.range(1));
    const Config config = fleetConfig(site);
    std::vector<PlannedHost> hosts;
    for (const auto &[id, host] : config.hosts) {
        hosts.push_back({id, host.pool, host.rack, true, false});
    }
    PoolDemands demands;
    for (const auto &[id, pool] : config.pools) {
        demands[id] = pool.spare ? 0 : 0.8 * site.hosts / site.pools;
    }
    PoolPlanner planner;
    TimePoint now{};
    std::size_t moves = 0;
    for (auto unused : state) {
        now += std::chrono::minutes(1);
        moves += planner.plan(config, hosts, demands, now).size();
    }
    state.counters["moves"] = benchmark::Counter(static_cast<double>(moves), benchmark::Counter::kAvgIterations);
}

BENCHMARK(day)->ArgsProduct({{0, 1}, {0, 1, 2, 3}})->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(losses)->DenseRange(0, 1)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(planOnce)->ArgsProduct({{50, 200, 720, 2'000}, {5, 27}})->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace radishvane::benchmarks

int main(int argumentCount, char **arguments)
{
    return radishvane::benchmarks::runWithBounds(argumentCount, arguments);
}
