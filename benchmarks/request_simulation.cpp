#include "benchmarks/request_simulation.h"

#include "core/base/overloaded.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <numeric>

namespace radishvane::benchmarks
{

namespace
{

constexpr Duration tick{20};
constexpr Duration window{1'000};
const ServiceId service("work");

struct Request
{
    int team = 0;
    int host = 0;
    double runMilliseconds = 0;
    TimePoint arrived;
    TimePoint started;
    bool urgent = false;
};

/// What a policy decides for one request.
struct Placed
{
    std::uint64_t request = 0;
    int backend = 0;
    AttemptId attempt;
};

struct Decisions
{
    std::vector<Placed> placed;
    std::vector<std::uint64_t> refused;
};

std::shared_ptr<const Config> makeConfig(const SimulationPlan &plan)
{
    auto config = std::make_shared<Config>();
    config->version = ConfigVersion{1};
    Service declared;
    declared.id = service;
    declared.longestRun = Duration(60'000);
    declared.queueLimit = 2'000;
    for (int index = 0; index < plan.backends; ++index) {
        declared.backends.push_back(
            {BackendId(std::to_string(index)), HostId("h" + std::to_string(index)), Endpoint{}, plan.slots, 64});
    }
    config->services[service] = declared;
    for (const SimulatedTeam &team : plan.teams) {
        Team settings;
        settings.id = TeamId(team.name);
        settings.share = team.share;
        settings.ceiling = 1'000'000;
        config->teams[settings.id] = settings;
        config->keys[team.name] = Key{team.name, settings.id};
    }
    return config;
}

/// Entry hosts of the product.
class PlaneHosts
{
public:
    explicit PlaneHosts(const SimulationPlan &plan) : m_plan(plan)
    {
        const auto config = makeConfig(plan);
        for (int host = 0; host < plan.entryHosts; ++host) {
            m_routers.emplace_back(static_cast<std::uint64_t>(plan.seed + host));
            RequestRouter &router = m_routers.back();
            router.handle(
                EntryHostPosition{static_cast<std::uint32_t>(host), static_cast<std::uint32_t>(plan.entryHosts)},
                TimePoint());
            router.handle(ConfigInForce{config}, TimePoint());
            for (const SimulatedTeam &team : plan.teams) {
                router.handle(TeamAllowance{TeamId(team.name), 1'000'000, 0, 1}, TimePoint());
            }
        }
    }

    Decisions arrive(std::uint64_t id, const Request &request, TimePoint now)
    {
        RequestHead head;
        head.service = service;
        head.key = m_plan.teams[request.team].name;
        head.idempotent = true;
        head.urgency = request.urgent ? Urgency::Urgent : Urgency::Normal;
        head.timeout = m_plan.timeout;
        m_routers[request.host].handle(ConfigConfirmed{now}, now);
        return read(request.host, m_routers[request.host].handle(RequestArrived{ExchangeId{id}, head}, now), now);
    }

    Decisions end(const Placed &placed, const Request &request, TimePoint now)
    {
        return read(request.host,
                    m_routers[request.host].handle(AttemptEnded{placed.attempt, AttemptOutcome::Answered}, now), now);
    }

    Decisions pass(TimePoint now)
    {
        Decisions all;
        for (int host = 0; host < m_plan.entryHosts; ++host) {
            add(all, read(host, m_routers[host].handle(RequestTick{}, now), now));
        }
        return all;
    }

    std::size_t waiting() const
    {
        std::size_t maxWaiting = 0;
        for (const RequestRouter &router : m_routers) {
            maxWaiting = std::max(maxWaiting, router.waiting());
        }
        return maxWaiting;
    }

private:
    static void add(Decisions &all, const Decisions &more)
    {
        all.placed.insert(all.placed.end(), more.placed.begin(), more.placed.end());
        all.refused.insert(all.refused.end(), more.refused.begin(), more.refused.end());
    }

    Decisions read(int host, const RequestEffects &effects, TimePoint now)
    {
        Decisions decisions;
        for (const RequestEffect &effect : effects) {
            if (const auto *start = std::get_if<StartAttempt>(&effect)) {
                decisions.placed.push_back({start->exchange.value, std::stoi(start->backend.name()), start->attempt});
            } else if (const auto *refuse = std::get_if<Refuse>(&effect)) {
                decisions.refused.push_back(refuse->exchange.value);
            } else if (const auto *report = std::get_if<UsageReport>(&effect)) {
                add(decisions, tellOthers(host, *report, now));
            }
        }
        return decisions;
    }

    Decisions tellOthers(int host, const UsageReport &report, TimePoint now)
    {
        Decisions decisions;
        for (int other = 0; other < m_plan.entryHosts; ++other) {
            if (other == host) {
                continue;
            }
            for (const SpentSlotTime &spent : report.spent) {
                m_routers[other].handle(PeerUsage{spent.service, spent.team, spent.slotMilliseconds}, now);
            }
            for (const SpareSlots &spare : report.spare) {
                add(decisions,
                    read(other,
                         m_routers[other].handle(
                             PeerSpareSlots{HostId(std::to_string(host)), spare.service, spare.slots}, now),
                         now));
            }
        }
        return decisions;
    }

    const SimulationPlan &m_plan;
    std::deque<RequestRouter> m_routers;
};

/// Entry hosts of the baselines that keep queues: one queue a host, or one a host and team, with fixed slots.
class QueueHosts
{
public:
    QueueHosts(const SimulationPlan &plan, bool split) : m_plan(plan), m_split(split)
    {
        const double shares = std::accumulate(plan.teams.begin(), plan.teams.end(), 0.0,
                                              [](double sum, const SimulatedTeam &team) { return sum + team.share; });
        const double slots = static_cast<double>(plan.backends) * plan.slots / plan.entryHosts;
        for (int host = 0; host < plan.entryHosts; ++host) {
            for (std::size_t team = 0; team < (split ? plan.teams.size() : 1); ++team) {
                const double part = split ? plan.teams[team].share / shares : 1.0;
                m_queues.push_back({{}, std::max(1, static_cast<int>(std::lround(slots * part)))});
            }
        }
    }

    Decisions arrive(std::uint64_t id, const Request &request, TimePoint now)
    {
        Queue &queue = queueOf(request);
        queue.waiting.push_back({id, request.arrived + m_plan.timeout});
        return start(queue, now);
    }

    Decisions end(const Placed &, const Request &request, TimePoint now)
    {
        Queue &queue = queueOf(request);
        ++queue.free;
        return start(queue, now);
    }

    Decisions pass(TimePoint now)
    {
        Decisions decisions;
        for (Queue &queue : m_queues) {
            while (!queue.waiting.empty() && queue.waiting.front().second <= now) {
                decisions.refused.push_back(queue.waiting.front().first);
                queue.waiting.pop_front();
            }
        }
        return decisions;
    }

    std::size_t waiting() const
    {
        std::size_t maxWaiting = 0;
        for (const Queue &queue : m_queues) {
            maxWaiting = std::max(maxWaiting, queue.waiting.size());
        }
        return maxWaiting;
    }

private:
    struct Queue
    {
        std::deque<std::pair<std::uint64_t, TimePoint>> waiting;
        int free = 0;
    };

    Queue &queueOf(const Request &request)
    {
        return m_split ? m_queues[request.host * m_plan.teams.size() + request.team] : m_queues[request.host];
    }

    Decisions start(Queue &queue, TimePoint now)
    {
        Decisions decisions;
        while (queue.free > 0 && !queue.waiting.empty()) {
            const auto [id, deadline] = queue.waiting.front();
            queue.waiting.pop_front();
            if (deadline <= now) {
                decisions.refused.push_back(id);
                continue;
            }
            --queue.free;
            decisions.placed.push_back({id, m_next++ % m_plan.backends, {}});
        }
        return decisions;
    }

    const SimulationPlan &m_plan;
    bool m_split;
    std::vector<Queue> m_queues;
    int m_next = 0;
};

/// Entry hosts of the baselines that keep no queue.
class DirectHosts
{
public:
    DirectHosts(const SimulationPlan &plan, bool random) : m_plan(plan), m_isRandom(random), m_random(plan.seed)
    {
    }

    Decisions arrive(std::uint64_t id, const Request &, TimePoint)
    {
        const int backend
            = static_cast<int>((m_isRandom ? m_random() : m_next++) % static_cast<std::uint32_t>(m_plan.backends));
        return {{{id, backend, {}}}, {}};
    }

    Decisions end(const Placed &, const Request &, TimePoint)
    {
        return {};
    }

    Decisions pass(TimePoint)
    {
        return {};
    }

    std::size_t waiting() const
    {
        return 0;
    }

private:
    const SimulationPlan &m_plan;
    bool m_isRandom;
    std::minstd_rand m_random;
    std::uint32_t m_next = 0;
};

using Hosts = std::variant<PlaneHosts, QueueHosts, DirectHosts>;

Hosts makeHosts(const SimulationPlan &plan, Policy policy)
{
    switch (policy) {
    case Policy::RequestRouter:
        return Hosts(std::in_place_type<PlaneHosts>, plan);
    case Policy::FirstCome:
        return Hosts(std::in_place_type<QueueHosts>, plan, false);
    case Policy::StaticSplit:
        return Hosts(std::in_place_type<QueueHosts>, plan, true);
    case Policy::Random:
        return Hosts(std::in_place_type<DirectHosts>, plan, true);
    case Policy::RoundRobin:
        return Hosts(std::in_place_type<DirectHosts>, plan, false);
    }
    return Hosts(std::in_place_type<DirectHosts>, plan, false);
}

/// Weighted max-min split of one pool between demands.
std::vector<double> fairParts(double capacity, const std::vector<SimulatedTeam> &teams,
                              const std::vector<double> &demands)
{
    std::vector<double> parts(teams.size(), 0);
    std::vector<bool> open(teams.size(), true);
    for (std::size_t round = 0; round < teams.size(); ++round) {
        double shares = 0;
        for (std::size_t team = 0; team < teams.size(); ++team) {
            shares += open[team] ? teams[team].share : 0;
        }
        bool closed = false;
        for (std::size_t team = 0; team < teams.size() && shares > 0; ++team) {
            if (open[team] && demands[team] <= capacity * teams[team].share / shares) {
                parts[team] = demands[team];
                capacity -= demands[team];
                shares -= teams[team].share;
                open[team] = false;
                closed = true;
            }
        }
        if (!closed) {
            for (std::size_t team = 0; team < teams.size(); ++team) {
                parts[team] = open[team] && shares > 0 ? capacity * teams[team].share / shares : parts[team];
            }
            break;
        }
    }
    return parts;
}

/// The run itself: arrivals, backend servers with slots and queues, and the measures.
class Simulation
{
public:
    Simulation(const SimulationPlan &plan, Policy policy)
        : m_plan(plan)
        , m_hosts(makeHosts(plan, policy))
        , m_random(plan.seed)
        , m_backends(plan.backends)
        , m_gotInWindow(plan.teams.size(), 0)
        , m_wantedInWindow(plan.teams.size(), 0)
    {
    }

    SimulationResult run()
    {
        const TimePoint end = TimePoint() + m_plan.length;
        m_nextArrival.resize(m_plan.teams.size());
        for (std::size_t team = 0; team < m_plan.teams.size(); ++team) {
            m_nextArrival[team] = TimePoint();
            drawArrival(team);
        }
        for (TimePoint next = TimePoint() + tick; m_now < end; next += tick) {
            advanceTo(next);
            apply(std::visit([&](auto &hosts) { return hosts.pass(m_now); }, m_hosts));
            m_result.longestQueue = std::max(m_result.longestQueue,
                                             std::visit([](const auto &hosts) { return hosts.waiting(); }, m_hosts));
            if ((m_now - TimePoint()) % window < tick) {
                closeWindow();
            }
        }
        return finish();
    }

private:
    struct Ending
    {
        TimePoint at;
        std::uint64_t request = 0;

        bool operator>(const Ending &other) const
        {
            return std::pair(at, request) > std::pair(other.at, other.request);
        }
    };

    struct Backend
    {
        std::uint32_t running = 0;
        std::deque<std::uint64_t> waiting;
    };

    double rate(std::size_t team) const
    {
        const SimulatedTeam &settings = m_plan.teams[team];
        if (!settings.bursts) {
            return settings.perSecond;
        }
        // Queues peak in turn: two seconds each.
        const auto turn
            = std::chrono::duration_cast<std::chrono::seconds>(m_nextArrival[team] - TimePoint()).count() / 2;
        const bool peak = turn % static_cast<std::int64_t>(m_plan.teams.size()) == static_cast<std::int64_t>(team);
        return settings.perSecond * (peak ? 5.0 : 0.05);
    }

    void drawArrival(std::size_t team)
    {
        const double seconds = std::exponential_distribution<double>(std::max(rate(team), 0.5))(m_random);
        m_nextArrival[team] += std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(seconds));
    }

    void advanceTo(TimePoint until)
    {
        for (;;) {
            const auto arrival = std::min_element(m_nextArrival.begin(), m_nextArrival.end());
            const bool endsFirst = !m_endings.empty() && m_endings.top().at <= *arrival;
            const TimePoint next = endsFirst ? m_endings.top().at : *arrival;
            if (next > until) {
                m_now = until;
                return;
            }
            m_now = next;
            if (endsFirst) {
                endNext();
            } else {
                arrive(static_cast<std::size_t>(arrival - m_nextArrival.begin()));
            }
        }
    }

    void arrive(std::size_t team)
    {
        Request request;
        request.team = static_cast<int>(team);
        request.host = static_cast<int>(m_random() % static_cast<std::uint32_t>(m_plan.entryHosts));
        request.runMilliseconds
            = std::max(1.0, std::exponential_distribution<double>(1 / m_plan.meanRunMilliseconds)(m_random));
        request.arrived = m_now;
        request.urgent = std::uniform_real_distribution<double>()(m_random) < m_plan.urgentPart;
        const std::uint64_t id = ++m_lastId;
        m_requests[id] = request;
        ++m_result.offered;
        m_wantedInWindow[team] += request.runMilliseconds;
        drawArrival(team);
        apply(std::visit([&](auto &hosts) { return hosts.arrive(id, request, m_now); }, m_hosts));
    }

    void apply(const Decisions &decisions)
    {
        for (const std::uint64_t id : decisions.refused) {
            ++m_result.refused;
            m_requests.erase(id);
        }
        for (const Placed &placed : decisions.placed) {
            m_placed[placed.request] = placed;
            Backend &backend = m_backends[placed.backend];
            backend.waiting.push_back(placed.request);
            startWaiting(backend);
        }
    }

    void startWaiting(Backend &backend)
    {
        while (backend.running < m_plan.slots && !backend.waiting.empty()) {
            const std::uint64_t id = backend.waiting.front();
            backend.waiting.pop_front();
            ++backend.running;
            Request &request = m_requests.at(id);
            request.started = m_now;
            const double waited = toMilliseconds(m_now - request.arrived);
            double &worst
                = request.urgent ? m_result.urgentWorstStartMilliseconds : m_result.normalWorstStartMilliseconds;
            worst = std::max(worst, waited);
            const auto run = std::chrono::duration<double, std::milli>(request.runMilliseconds);
            m_endings.push({m_now + std::chrono::duration_cast<TimePoint::duration>(run), id});
        }
    }

    void endNext()
    {
        const std::uint64_t id = m_endings.top().request;
        m_endings.pop();
        const Request request = m_requests.at(id);
        const Placed placed = m_placed.at(id);
        m_requests.erase(id);
        m_placed.erase(id);
        const double took = toMilliseconds(m_now - request.arrived);
        if (took <= static_cast<double>(m_plan.timeout.count())) {
            ++m_result.inTime;
            m_servedMilliseconds += request.runMilliseconds;
            m_times.push_back(took);
        }
        m_gotInWindow[request.team] += request.runMilliseconds;
        Backend &backend = m_backends[placed.backend];
        --backend.running;
        startWaiting(backend);
        apply(std::visit([&](auto &hosts) { return hosts.end(placed, request, m_now); }, m_hosts));
    }

    void closeWindow()
    {
        const double capacity
            = static_cast<double>(m_plan.backends) * m_plan.slots * static_cast<double>(window.count());
        std::vector<double> demands;
        for (std::size_t team = 0; team < m_plan.teams.size(); ++team) {
            demands.push_back(std::max(m_gotInWindow[team],
                                       m_backlogAtStart.empty() ? 0 : m_backlogAtStart[team] + m_wantedInWindow[team]));
        }
        const double wanted = std::accumulate(demands.begin(), demands.end(), 0.0);
        if (wanted > capacity && !m_backlogAtStart.empty()) {
            const std::vector<double> parts = fairParts(capacity, m_plan.teams, demands);
            double distance = 0;
            for (std::size_t team = 0; team < m_plan.teams.size(); ++team) {
                distance = std::max(distance, std::abs(m_gotInWindow[team] - parts[team]) / capacity);
            }
            m_distances.push_back(distance);
        }
        std::fill(m_gotInWindow.begin(), m_gotInWindow.end(), 0);
        std::fill(m_wantedInWindow.begin(), m_wantedInWindow.end(), 0);
        m_backlogAtStart.assign(m_plan.teams.size(), 0);
        for (const auto &[id, request] : m_requests) {
            m_backlogAtStart[request.team] += request.runMilliseconds;
        }
    }

    SimulationResult finish()
    {
        const double capacity
            = static_cast<double>(m_plan.backends) * m_plan.slots * static_cast<double>(m_plan.length.count());
        m_result.goodput = m_servedMilliseconds / capacity;
        std::sort(m_times.begin(), m_times.end());
        const auto quantile = [&](double part) {
            return m_times.empty() ? 0
                                   : m_times[static_cast<std::size_t>(part * static_cast<double>(m_times.size() - 1))];
        };
        m_result.p50Milliseconds = quantile(0.5);
        m_result.p99Milliseconds = quantile(0.99);
        if (!m_distances.empty()) {
            m_result.meanDistance = std::accumulate(m_distances.begin(), m_distances.end(), 0.0)
                / static_cast<double>(m_distances.size());
            m_result.worstDistance = *std::max_element(m_distances.begin(), m_distances.end());
        }
        return m_result;
    }

    const SimulationPlan &m_plan;
    Hosts m_hosts;
    std::mt19937 m_random;
    TimePoint m_now;
    std::uint64_t m_lastId = 0;
    std::vector<TimePoint> m_nextArrival;
    std::priority_queue<Ending, std::vector<Ending>, std::greater<>> m_endings;
    std::map<std::uint64_t, Request> m_requests;
    std::map<std::uint64_t, Placed> m_placed;
    std::vector<Backend> m_backends;
    std::vector<double> m_gotInWindow;
    std::vector<double> m_wantedInWindow;
    std::vector<double> m_backlogAtStart;
    std::vector<double> m_distances;
    std::vector<double> m_times;
    double m_servedMilliseconds = 0;
    SimulationResult m_result;
};

} // namespace

SimulationResult simulate(const SimulationPlan &plan, Policy policy)
{
    return Simulation(plan, policy).run();
}

SimulationPlan peaksInTurn(double loadFactor)
{
    SimulationPlan plan;
    const double capacity = static_cast<double>(plan.backends) * plan.slots * 1'000 / plan.meanRunMilliseconds;
    const std::array<std::pair<const char *, std::uint32_t>, 6> teams{
        {{"shop-floor", 30}, {"office", 30}, {"trade", 20}, {"export", 10}, {"repairs", 5}, {"lab", 5}}};
    for (const auto &[name, share] : teams) {
        // Small teams want more than their share by as much as large ones, so that each has a reason to be held back.
        plan.teams.push_back({name, share, capacity * loadFactor / static_cast<double>(teams.size()), true});
    }
    plan.length = Duration(48'000);
    plan.urgentPart = 0.05;
    return plan;
}

SimulationPlan steadyLoad(double loadFactor)
{
    SimulationPlan plan;
    const double capacity = static_cast<double>(plan.backends) * plan.slots * 1'000 / plan.meanRunMilliseconds;
    plan.teams.push_back({"office", 1, capacity * loadFactor, false});
    return plan;
}

} // namespace radishvane::benchmarks
