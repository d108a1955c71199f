#pragma once

#include "core/base/overloaded.h"
#include "core/messages/peer_messages.h"
#include "core/platform/write_resolver.h"
#include "core/quota/lease_times.h"
#include "core/quota/rights_ledger.h"
#include "core/quota/session_controller.h"
#include "core/quota/team_rights.h"
#include "tests/support/example_config.h"
#include "tests/support/fake_platform.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

namespace radishvane::tests
{

inline const TeamId team("office");
inline constexpr std::uint32_t ceiling = 7;
inline constexpr Duration longestRun{8'000};
inline constexpr Duration step{100};

/// One entry host as far as rights go: the real session controller, ledger, resolver and rights, joined by queues.
class EntryHostModel
{
public:
    EntryHostModel(const std::string &name, std::uint64_t start, const std::shared_ptr<const Config> &config)
        : host(name)
        , m_session(host, ZoneId("zone-" + name), Endpoint{"127.0.0.1", 1}, Incarnation{start})
        , m_ledger(host)
        , m_resolver(name + std::to_string(start))
    {
        m_rights.setCeiling(team, ceiling);
        m_config = config;
    }

    /// Lets the host act once at @p now, with each call to the platform meeting @p fault.
    void act(FakePlatform &platform, PlatformFault fault, TimePoint now, const std::vector<HostId> &peers)
    {
        m_now = now;
        m_fault = fault;
        m_platform = &platform;
        if (!m_started) {
            m_started = true;
            ledger(LedgerConfig{m_config});
        }
        LedgerPeers live;
        WitnessesChanged witnesses;
        for (const HostId &peer : peers) {
            live.live.emplace_back(peer, ZoneId("zone-" + peer.name()));
            if (peer != host) {
                witnesses.hosts.push_back(peer);
            }
        }
        session(witnesses);
        ledger(live);
        session(SessionTick{});
        ledger(LedgerTick{});
        resolve(m_resolver.timePassed(now));
        ledger(LedgerDemand{team, RightsUse::Requests, m_rights.running(team), wanted, m_rights.generation(team)});
        endWork();
    }

    /// Starts work as far as rights allow.
    std::uint32_t startWork(std::uint32_t maxCount, Duration length)
    {
        std::uint32_t started = 0;
        for (; started < maxCount && m_rights.take(team, m_now); ++started) {
            m_ends.push_back(m_now + length);
        }
        return started;
    }

    void receiveHeartbeat(const EntryHostModel &peer, TimePoint at, Duration idle)
    {
        session(LivenessConfirmationReceived{peer.host, at, idle});
        ledger(LedgerPeerDemand{peer.host, team, RightsUse::Requests, peer.m_rights.running(team), peer.wanted});
    }

    Duration observedIdleTime(const HostId &other) const
    {
        const auto found = m_idle.find(other);
        return found == m_idle.end() ? sessionIdleUnknown : found->second;
    }

    /// Ends of the work that runs, which go on when the host is gone.
    const std::deque<TimePoint> &ends() const
    {
        return m_ends;
    }

    HostId host;
    std::uint32_t wanted = 0;
    /// What the host learned and was allowed, one line each.
    std::vector<std::string> journal;

    /// Gives everything back; `stopped` tells the end.
    void stop()
    {
        wanted = 0;
        ledger(LedgerStop{});
    }

    bool stopped = false;

private:
    void log(const std::string &what)
    {
        const auto tenths
            = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - TimePoint(std::chrono::hours(1))).count()
            / 100;
        journal.push_back(std::to_string(tenths / 10) + '.' + std::to_string(tenths % 10) + " s: " + host.name() + ' '
                          + what);
    }

    void endWork()
    {
        while (!m_ends.empty() && m_ends.front() <= m_now) {
            m_ends.pop_front();
            m_rights.release(team);
        }
    }

    void session(const SessionEvent &event)
    {
        for (const SessionEffect &effect : m_session.handle(event, m_now)) {
            std::visit(Overloaded{
                           [&](const PlatformCall &call) { ask(call, true); },
                           [&](const SessionHeld &held) {
                               log("holds its session, epoch " + std::to_string(held.epoch));
                               ledger(held);
                           },
                           [&](const SessionValidUntil &valid) { m_rights.setLeasedUntil(valid.until); },
                           [&](const SessionLost &lost) { ledger(lost); },
                           [&](const SessionsObserved &seen) {
                               for (const SessionsObserved::ObservedSession &one : seen.sessions) {
                                   m_idle[one.row.holder.host] = one.idle;
                               }
                               ledger(seen);
                           },
                           [&](const SessionEnded &ended) { log("ends the session of " + ended.holder.host.name()); },
                           [&](const SessionReleased &) { stopped = true; },
                       },
                       effect);
        }
    }

    void ledger(const LedgerEvent &event)
    {
        for (const LedgerEffect &effect : m_ledger.handle(event, m_now)) {
            std::visit(Overloaded{
                           [&](const PlatformCall &call) { ask(call, false); },
                           [&](const AllowanceSet &set) {
                               if (set.use == RightsUse::Requests && set.team == team) {
                                   m_rights.setAllowance(team, set.standing, set.leased, set.generation);
                                   log("may run " + std::to_string(set.standing) + " standing and "
                                       + std::to_string(set.leased) + " leased");
                               }
                           },
                           [](const LedgerLogEntry &) {},
                           [&](const LedgerReleased &) {
                               log("has given all rights back");
                               session(SessionStop{});
                           },
                       },
                       effect);
        }
    }

    void ask(const PlatformCall &call, bool isSession)
    {
        const OperationId id{++m_lastOperation};
        m_origins[id] = {call.id, isSession};
        resolve(m_resolver.submit(PlatformCall{id, call.request}, m_now));
    }

    void resolve(const ResolverEffects &effects)
    {
        for (const ResolverEffect &effect : effects) {
            std::visit(Overloaded{
                           [&](const SendToPlatform &send) {
                               const PlatformAnswer answer = m_platform->answer(send.call, m_fault);
                               resolve(m_resolver.answered(PlatformAnswered{send.call.id, answer}, m_now));
                           },
                           [&](const DeliverAnswer &deliver) {
                               const auto [id, isSession] = m_origins.at(deliver.answered.id);
                               const PlatformAnswered answered{id, deliver.answered.answer};
                               isSession ? session(answered) : ledger(answered);
                           },
                       },
                       effect);
        }
    }

    SessionController m_session;
    RightsLedger m_ledger;
    WriteResolver m_resolver;
    TeamRights m_rights;
    std::shared_ptr<const Config> m_config;
    bool m_started = false;
    TimePoint m_now;
    PlatformFault m_fault = PlatformFault::None;
    FakePlatform *m_platform = nullptr;
    std::uint64_t m_lastOperation = 0;
    std::map<OperationId, std::pair<OperationId, bool>> m_origins;
    std::map<HostId, Duration> m_idle;
    std::deque<TimePoint> m_ends;
};

/// Four entry hosts, one table, and faults that a seed chooses.
class FleetModel
{
public:
    /// @param work real run time, which the configuration declares as longestRun whatever it is.
    explicit FleetModel(std::uint32_t seed, Duration work = longestRun) : m_work(work), m_random(seed)
    {
        ExampleConfig example;
        example.ceiling = ceiling;
        example.standingPercent = 40;
        example.longestRun = longestRun;
        m_config = example.make();
        for (int index = 0; index < hostCount; ++index) {
            m_hosts.push_back(newHost(index));
        }
    }

    /// Runs for a time. @return the maximum amount of work that ran at one time.
    std::uint32_t run(Duration length)
    {
        std::uint32_t maxRunning = 0;
        for (const TimePoint end = m_now + length; m_now < end; m_now += step) {
            maybeFault();
            for (std::size_t index = 0; index < m_hosts.size(); ++index) {
                actHost(index);
            }
            if (m_now >= m_nextHeartbeat) {
                m_nextHeartbeat = m_now + std::chrono::seconds(1);
                exchangeHeartbeats();
            }
            maxRunning = std::max(maxRunning, running());
        }
        return maxRunning;
    }

    std::uint64_t started() const
    {
        return m_startedWork;
    }

    void cutOff(int host, Duration length)
    {
        m_cutUntil[host] = m_now + length;
    }

    void platformDown(Duration length)
    {
        m_downUntil = m_now + length;
    }

    /// No faults but those that the test asks for, and a steady wish for work.
    void disableRandomFaults()
    {
        m_faults = false;
    }

    /// Stops a host gracefully and starts it anew.
    void replace(int host)
    {
        m_hosts[host]->stop();
        run(std::chrono::seconds(10));
        collect();
        m_hosts[host] = newHost(host);
    }

    void loseAnswers(bool lose)
    {
        m_loseAnswers = lose;
    }

    /// All hosts' journals in the order of time, each line once.
    std::string journal()
    {
        collect();
        std::stable_sort(m_journal.begin(), m_journal.end(), [](const std::string &left, const std::string &right) {
            return std::stod(left) < std::stod(right);
        });
        std::string text;
        for (const std::string &line : m_journal) {
            text += line + '\n';
        }
        return text;
    }

    static constexpr int hostCount = 4;

private:
    void collect()
    {
        for (const auto &host : m_hosts) {
            m_journal.insert(m_journal.end(), host->journal.begin(), host->journal.end());
            host->journal.clear();
        }
    }

    std::unique_ptr<EntryHostModel> newHost(int index)
    {
        return std::make_unique<EntryHostModel>(std::string(1, static_cast<char>('a' + index)), ++m_starts, m_config);
    }

    std::uint32_t pick(std::uint32_t below)
    {
        return static_cast<std::uint32_t>(m_random() % below);
    }

    void maybeFault()
    {
        constexpr std::uint32_t rarely = 120;
        if (!m_faults || pick(rarely) != 0) {
            return;
        }
        const int host = static_cast<int>(pick(hostCount));
        const Duration length(pick(60'000));
        switch (pick(5)) {
        case 0:
            cutOff(host, length);
            return;
        case 4:
            m_hosts[host]->stop();
            m_exitsBy[host] = m_now + std::chrono::seconds(5);
            return;
        case 1:
            platformDown(length);
            return;
        case 2:
            m_pausedUntil[host] = m_now + length;
            return;
        default:
            // The process is killed; what it started goes on at the backend servers.
            startAnew(host);
            m_pausedUntil[host] = m_now + length;
            return;
        }
    }

    void startAnew(int host)
    {
        for (const TimePoint end : m_hosts[host]->ends()) {
            m_orphanedWork.push_back(end);
        }
        m_exitsBy[host] = TimePoint::max();
        m_hosts[host] = newHost(host);
    }

    void actHost(std::size_t index)
    {
        // A process that stops ends once its rights are back, or after a while in any case, and its successor starts.
        const bool stops = m_exitsBy[index] != TimePoint::max();
        if (stops && (m_hosts[index]->stopped || m_now >= m_exitsBy[index])) {
            startAnew(static_cast<int>(index));
        }
        EntryHostModel &host = *m_hosts[index];
        if (m_now < m_pausedUntil[index] || host.stopped) {
            return;
        }
        PlatformFault fault = PlatformFault::None;
        if (m_now < m_cutUntil[index]) {
            fault = PlatformFault::Swallowed;
        } else if (m_now < m_downUntil) {
            fault = PlatformFault::Down;
        } else if (m_loseAnswers || (m_faults && pick(10) == 0)) {
            fault = PlatformFault::AnswerLost;
        }
        if (pick(20) == 0) {
            host.wanted = pick(6);
        }
        host.act(m_platform, fault, m_now, reachablePeers(index));
        m_startedWork += host.startWork(host.wanted, m_work);
    }

    bool isConnected(std::size_t one, std::size_t other) const
    {
        const bool awake = m_now >= m_pausedUntil[one] && m_now >= m_pausedUntil[other];
        return one == other || (awake && m_now >= m_cutUntil[one] && m_now >= m_cutUntil[other]);
    }

    std::vector<HostId> reachablePeers(std::size_t index) const
    {
        std::vector<HostId> names;
        for (std::size_t other = 0; other < m_hosts.size(); ++other) {
            if (isConnected(index, other)) {
                names.push_back(m_hosts[other]->host);
            }
        }
        return names;
    }

    void exchangeHeartbeats()
    {
        for (std::size_t to = 0; to < m_hosts.size(); ++to) {
            for (std::size_t from = 0; from < m_hosts.size(); ++from) {
                if (to != from && isConnected(to, from)) {
                    m_hosts[to]->receiveHeartbeat(*m_hosts[from], m_now - std::chrono::milliseconds(pick(900)),
                                                  m_hosts[from]->observedIdleTime(m_hosts[to]->host));
                }
            }
        }
    }

    std::uint32_t running() const
    {
        const auto runs = [this](TimePoint end) {
            return end > m_now;
        };
        auto total = static_cast<std::uint32_t>(std::count_if(m_orphanedWork.begin(), m_orphanedWork.end(), runs));
        for (const auto &host : m_hosts) {
            total += static_cast<std::uint32_t>(std::count_if(host->ends().begin(), host->ends().end(), runs));
        }
        return total;
    }

    Duration m_work;
    std::minstd_rand m_random;
    std::shared_ptr<const Config> m_config;
    FakePlatform m_platform;
    std::vector<std::unique_ptr<EntryHostModel>> m_hosts;
    std::uint64_t m_starts = 0;
    std::uint64_t m_startedWork = 0;
    TimePoint m_now = TimePoint(std::chrono::hours(1));
    TimePoint m_nextHeartbeat;
    TimePoint m_downUntil;
    std::array<TimePoint, hostCount> m_cutUntil{};
    std::array<TimePoint, hostCount> m_exitsBy{TimePoint::max(), TimePoint::max(), TimePoint::max(), TimePoint::max()};
    std::array<TimePoint, hostCount> m_pausedUntil{};
    std::deque<TimePoint> m_orphanedWork;
    bool m_faults = true;
    bool m_loseAnswers = false;
    std::vector<std::string> m_journal;
};

} // namespace radishvane::tests
