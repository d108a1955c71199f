#include "tests/support/run_record.h"
#include "tests/support/soak_caller.h"
#include "tests/support/story.h"

#include "core/base/enum_names.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <random>
#include <thread>

namespace radishvane::tests
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = std::chrono::steady_clock;

// The stated bounds of the platform.
constexpr seconds stopWithin{6};
constexpr milliseconds contactTime{3'000};

constexpr int workers = 6;
/// In the last part no long task and no trouble of a worker begins.
constexpr milliseconds lastPart{15'000};
/// Of the configuration that the platform in small starts with.
constexpr int firstVersion = 3;
constexpr std::size_t failureLimit = 3;

enum class Action {
    Stop,
    Reload,
    Kill,
    Freeze,
    Configure,
    RestartWorker,
    RefuseStore,
    SilenceStore,
    LoseStoreAnswer,
    /// A worker restarts around the start of a long task, the owner is killed, and the worker is cut off.
    TroubleWorker,
};

constexpr std::array<std::string_view, 10> actionNames{"stop",          "reload",        "kill",
                                                       "freeze",        "configure",     "restart-worker",
                                                       "refuse-store",  "silence-store", "lose-store-answer",
                                                       "trouble-worker"};

/// When the owner is killed in the trouble of a worker.
enum class OwnerDeath {
    AfterRestart,
    /// At once, so that orders which are held up meet the starts of the next owner.
    BeforeCrash,
};

/// Times of a worker's trouble: those of the platform in small, from the start of a long task on, and when the owner
/// is killed.
struct Trouble
{
    json worker;
    milliseconds killAfter{0};
};

struct Step
{
    milliseconds at{0};
    Action action = Action::Stop;
    int target = 0;
    milliseconds length{0};
    std::optional<Trouble> trouble;
};

int fromEnvironment(const char *name, int fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::atoi(text);
}

/// The same seed draws the same steps.
std::vector<Step> drawSteps(std::uint32_t seed, int hosts, milliseconds length, std::optional<OwnerDeath> death)
{
    std::mt19937 random(seed);
    const auto draw = [&random](int first, int last) {
        return std::uniform_int_distribution(first, last)(random);
    };
    std::vector<Step> steps;
    const auto addSeries = [&](Action first, Action last, int longestGap) {
        for (milliseconds at{1'000}; at < length; at += milliseconds(draw(50, longestGap))) {
            const auto action = static_cast<Action>(draw(static_cast<int>(first), static_cast<int>(last)));
            const int target = draw(0, hosts - 1);
            steps.push_back(Step{at, action, target, milliseconds(draw(200, 4'000)), {}});
        }
    };
    const auto drawTrouble = [&draw, death] {
        const bool isKillFirst = death == OwnerDeath::BeforeCrash;
        const int crashAfter = isKillFirst ? draw(1'000, 6'000) : draw(0, 300);
        const int darkFor = draw(0, 3) == 0 ? draw(1'000, 3'000) : 600;
        const int carriedOutAfter = draw(0, 600);
        const int killAfterReturn = carriedOutAfter + draw(0, 500);
        return Trouble{{{"held-up-for", draw(50, 300)},
                        {"crash-after", crashAfter},
                        {"dark-for", darkFor},
                        {"carried-out-after", carriedOutAfter},
                        {"listed-after", draw(0, 600)},
                        {"cut-after", killAfterReturn + draw(0, 600)},
                        {"cut-for", draw(2'000, 11'000)}},
                       milliseconds(isKillFirst ? 0 : crashAfter + darkFor + killAfterReturn)};
    };
    addSeries(Action::Stop, Action::Freeze, 12'000 / hosts);
    addSeries(Action::Configure, Action::Configure, 16'000);
    addSeries(Action::RestartWorker, Action::LoseStoreAnswer, 4'000);
    for (milliseconds at{1'500}; death && at < length - lastPart; at += milliseconds(draw(1'000, 6'000))) {
        steps.push_back(Step{at, Action::TroubleWorker, 0, milliseconds(draw(200, 2'000)), drawTrouble()});
    }
    std::stable_sort(steps.begin(), steps.end(), [](const Step &one, const Step &other) { return one.at < other.at; });
    return steps;
}

/// Carries out the steps, and what follows from them: restarts, ends of freezes and outages.
class Course
{
public:
    Course(Site &site, SoakConditions &conditions)
        : m_site(site), m_conditions(conditions), m_hosts(static_cast<std::size_t>(site.hosts()))
    {
    }

    void play(const std::vector<Step> &steps, milliseconds length)
    {
        constexpr milliseconds pause{20};
        const auto begin = Time::now();
        auto next = steps.begin();
        while (Time::now() < begin + length) {
            for (; next != steps.end() && Time::now() >= begin + next->at; ++next) {
                std::cout << next->at.count() << " ms: " << enumName(actionNames, next->action) << ' ' << next->target
                          << " for " << next->length.count() << " ms\n";
                apply(*next);
            }
            m_conditions.closing = Time::now() > begin + length - lastPart;
            follow(Time::now());
            std::this_thread::sleep_for(pause);
        }
    }

    /// Ends all disturbances; every host runs and is ready.
    void calm()
    {
        m_site.control("serve");
        for (Host &host : m_hosts) {
            host.thawAt = host.thawAt ? std::optional(Time::now()) : std::nullopt;
        }
        m_site.waitFor([this] {
            follow(Time::now());
            return std::none_of(m_hosts.begin(), m_hosts.end(),
                                [](const Host &host) { return host.stopUntil || host.startAt; });
        });
        for (int index = 0; index < m_site.hosts(); ++index) {
            m_site.waitReady(index);
        }
    }

private:
    /// What is still to be done to the process of a host.
    struct Host
    {
        std::optional<Time::time_point> stopUntil;
        std::optional<Time::time_point> startAt;
        std::optional<Time::time_point> thawAt;
        /// The last moment of a freeze.
        Time::time_point frozen;
        milliseconds away{0};
        std::string settings;
        /// When the process was last started, in Unix milliseconds.
        std::int64_t begun = 0;
    };

    struct DueKill
    {
        Time::time_point at;
        milliseconds away{0};
    };

    /// Signals have their meaning from the line in the log on that the host has started.
    bool hasBegun(int index) const
    {
        const json started = m_site.lastLine(index, "started");
        return started.is_object()
            && started.value("ts", std::int64_t{0}) >= m_hosts[static_cast<std::size_t>(index)].begun;
    }

    void apply(const Step &step)
    {
        Host &host = m_hosts[static_cast<std::size_t>(step.target)];
        const bool isRunning = !host.startAt && hasBegun(step.target);
        switch (step.action) {
        case Action::Stop:
            if (isRunning && !host.stopUntil) {
                disturb(step.target);
                host.stopUntil = Time::now() + stopWithin;
                host.away = step.length;
                m_site.entry(step.target).signal(SIGTERM);
            }
            return;
        case Action::Reload:
            if (isRunning) {
                host.settings = "cores: " + std::to_string(1 + step.length.count() % 4) + '\n';
                m_site.writeSettings(step.target, host.settings);
                m_site.entry(step.target).signal(SIGHUP);
            }
            return;
        case Action::Kill:
            killUnplanned(step.target, step.length);
            return;
        case Action::Freeze:
            if (isRunning && !host.thawAt) {
                m_site.entry(step.target).signal(SIGSTOP);
                host.thawAt = Time::now() + step.length;
            }
            return;
        case Action::Configure:
            configure(step.length);
            return;
        case Action::RestartWorker:
            m_site.control(json{{"restart-worker", step.target % workers}});
            return;
        case Action::RefuseStore:
        case Action::SilenceStore:
            m_site.control(step.action == Action::RefuseStore ? "down" : "silent");
            m_serveAt = Time::now() + step.length / 2;
            return;
        case Action::LoseStoreAnswer:
            m_conditions.storeDisturbed = SoakConditions::now();
            m_site.control("lose-next-answer");
            return;
        case Action::TroubleWorker:
            m_site.control(json{{"trouble", step.trouble->worker}});
            m_trouble = step;
            return;
        }
    }

    /// Adds a route, and takes the second key away or may give it back; the first one gives it.
    void configure(milliseconds length)
    {
        const std::int64_t withdrawn = m_conditions.withdrawn;
        const bool hasSecondKey = withdrawn != 0 && (m_version == firstVersion || length < seconds(2));
        m_version += 2;
        if (hasSecondKey) {
            m_conditions.withdrawn = 0;
        }
        const json queue{{"name", "q"},
                         {"host", "site.example"},
                         {"prefix", "/plans/"},
                         {"service", "looms"},
                         {"maxAttempts", failureLimit},
                         {"stretch", 1.5},
                         {"targetDurationMs", 500}};
        json other = queue;
        other["name"] = "q" + std::to_string(m_version);
        other["prefix"] = "/plans-" + std::to_string(m_version) + '/';
        const json keys = hasSecondKey ? json{"key-1", "key-2"} : json{"key-1"};
        m_site.control(json{{"config",
                             {{"version", m_version},
                              {"routes", {queue, other}},
                              {"services", {{{"name", "looms"}}}},
                              {"tenants", {{{"name", "t"}, {"weight", 1}, {"apiKeys", keys}}}}}}});
        if (withdrawn == 0) {
            m_conditions.withdrawn = SoakConditions::now();
        }
    }

    void disturb(int index)
    {
        m_conditions.disturbed[static_cast<std::size_t>(index)] = SoakConditions::now();
    }

    void killUnplanned(int index, milliseconds away)
    {
        Host &host = m_hosts[static_cast<std::size_t>(index)];
        if (!host.startAt) {
            host.away = away;
            m_conditions.killed[static_cast<std::size_t>(index)] = SoakConditions::now();
            kill(index);
        }
    }

    void kill(int index)
    {
        Host &host = m_hosts[static_cast<std::size_t>(index)];
        m_site.entry(index).kill();
        host.stopUntil.reset();
        host.thawAt.reset();
        host.startAt = Time::now() + host.away;
    }

    void follow(Time::time_point now)
    {
        if (m_serveAt) {
            m_conditions.storeDisturbed = SoakConditions::now();
            if (now >= *m_serveAt) {
                m_serveAt.reset();
                m_site.control("serve");
            }
        }
        followTrouble(now);
        for (int index = 0; index < m_site.hosts(); ++index) {
            follow(index, now);
        }
    }

    /// Kills the owner at its time from the start of the long task on.
    void followTrouble(Time::time_point now)
    {
        if (m_trouble && m_site.control(json::object()) && !json::parse(m_site.body()).at("trouble-waits")) {
            m_ownerKills.push_back(DueKill{now + m_trouble->trouble->killAfter, m_trouble->length});
            m_trouble.reset();
        }
        std::erase_if(m_ownerKills, [&](const DueKill &next) {
            if (now < next.at) {
                return false;
            }
            const int owner = std::max(m_site.lastOwner(), 0);
            std::cout << "the owner, entry-" << owner << ", is killed for " << next.away.count() << " ms\n";
            killUnplanned(owner, next.away);
            return true;
        });
    }

    void follow(int index, Time::time_point now)
    {
        Host &host = m_hosts[static_cast<std::size_t>(index)];
        if (host.stopUntil || host.startAt || host.thawAt) {
            disturb(index);
        }
        host.frozen = host.thawAt ? now : host.frozen;
        if (host.thawAt && now >= *host.thawAt) {
            m_site.entry(index).signal(SIGCONT);
            host.thawAt.reset();
        }
        if (host.startAt && now >= *host.startAt) {
            host.begun
                = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
            host.startAt.reset();
            m_site.start(index, host.settings);
            return;
        }
        if (!host.startAt && !m_site.entry(index).running()) {
            if (!host.stopUntil || m_site.entry(index).wait() != 0) {
                m_conditions.addBroken("entry-" + std::to_string(index) + " ended by itself or badly");
            }
            host.stopUntil.reset();
            host.thawAt.reset();
            host.startAt = now + host.away;
        }
        if (host.stopUntil && now >= *host.stopUntil) {
            std::cout << "entry-" << index << " has not stopped in time\n";
            // Callers may be cut only if a freeze took part of the time to stop.
            if (host.frozen > *host.stopUntil - stopWithin - contactTime) {
                m_conditions.killed[static_cast<std::size_t>(index)] = SoakConditions::now();
            }
            kill(index);
        }
    }

    Site &m_site;
    SoakConditions &m_conditions;
    std::vector<Host> m_hosts;
    std::optional<Time::time_point> m_serveAt;
    /// Waits for the start of a long task.
    std::optional<Step> m_trouble;
    std::vector<DueKill> m_ownerKills;
    int m_version = firstVersion;
};

void soak(std::optional<OwnerDeath> death, int firstPort)
{
    const auto seed = static_cast<std::uint32_t>(fromEnvironment("RADISHVANE_SOAK_SEED", 20261205));
    const int hosts = fromEnvironment("RADISHVANE_SOAK_HOSTS", 3 + static_cast<int>(seed % 3));
    const milliseconds length = seconds(fromEnvironment("RADISHVANE_SOAK_SECONDS", 45));
    const auto port = static_cast<std::uint16_t>(fromEnvironment("RADISHVANE_SOAK_PORT", firstPort));
    story("entry hosts and workers under signals, restarts, changes and outages", [&] {
        Site site(port, {"--workers", std::to_string(workers), "--transaction-ms", "6"}, hosts);
        SoakConditions conditions(hosts);
        Course course(site, conditions);
        std::vector<std::unique_ptr<SoakCaller>> callers;
        std::vector<std::jthread> threads;
        for (int index = 0; index < 12 + hosts / 8; ++index) {
            callers.push_back(std::make_unique<SoakCaller>(seed, index, site, conditions));
            threads.emplace_back([caller = callers.back().get()] { caller->run(); });
        }
        section("callers go on using their connections meanwhile", [&] {
            course.play(drawSteps(seed, hosts, length, death), length);
            course.calm();
            conditions.over = true;
            threads.clear();
        });
        std::size_t accepted = 0;
        section("every accepted job ends", [&] {
            for (const auto &caller : callers) {
                accepted += caller->accepted();
                for (const SoakCaller::Job &job : caller->open()) {
                    EXPECT_TRUE(site.ends(job.id, job.fails ? "failed" : "completed")) << job.id;
                }
            }
            EXPECT_GT(accepted, 0U);
        });
        section("no run broke a rule, and no refused job was started", [&] {
            RunRules rules{failureLimit, soakStepSize, {}};
            for (const auto &caller : callers) {
                rules.refusedJobs.insert(caller->refused().begin(), caller->refused().end());
            }
            EXPECT_EQ(brokenRunRules(site.log("platform"), rules), std::vector<std::string>());
            std::cout << "seed " << seed << ", " << hosts << " hosts: " << accepted << " jobs accepted, "
                      << rules.refusedJobs.size() << " refused\n";
        });
        section("callers got their answers, keys were refused in time, and no process ended by itself",
                [&] { EXPECT_EQ(conditions.broken, std::vector<std::string>()); });
    });
}

} // namespace

TEST(ProcessSiteSoak, KeepsItsPromisesWhileSignalsAndChangesOverlap)
{
    soak(std::nullopt, 24'600);
}

TEST(ProcessSiteSoak, KeepsItsPromisesWhileRestartedWorkersAreCutOff)
{
    soak(OwnerDeath::AfterRestart, 24'700);
}

TEST(ProcessSiteSoak, KeepsItsPromisesWhileOrdersOfKilledOwnersAreCarriedOutLate)
{
    soak(OwnerDeath::BeforeCrash, 24'650);
}

} // namespace radishvane::tests
