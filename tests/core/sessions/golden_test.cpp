#include "core/base/enum_names.h"
#include "core/base/overloaded.h"
#include "core/config/config_applier.h"
#include "core/routing/request_router.h"
#include "tests/support/fleet_model.h"
#include "tests/support/golden.h"

#include <map>
#include <sstream>

namespace radishvane::tests
{

namespace
{

/// Sends requests to the request router of one entry host and records every decision.
class RequestSession
{
public:
    RequestSession()
    {
        send(EntryHostPosition{0, 1});
        send(ConfigInForce{ExampleConfig{}.make()});
        send(LeaseExtended{m_now + std::chrono::hours(1)});
        for (const char *name : {"office", "workshop"}) {
            send(TeamAllowance{TeamId(name), 2, 0, 1});
        }
    }

    void request(const std::string &key, bool idempotent)
    {
        RequestHead head;
        head.service = ServiceId("quotes");
        head.key = key;
        head.idempotent = idempotent;
        head.timeout = Duration(8'000);
        send(RequestArrived{ExchangeId{++m_lastRequest}, head});
    }

    void endOldestAttempt(AttemptOutcome outcome)
    {
        if (!m_running.empty()) {
            const AttemptId attempt = m_running.begin()->first;
            m_running.erase(m_running.begin());
            send(AttemptEnded{attempt, outcome});
        }
    }

    void advance(Duration time)
    {
        m_now += time;
        send(ConfigConfirmed{m_now});
        send(RequestTick{});
    }

    void send(const RequestEvent &event)
    {
        for (const RequestEffect &effect : m_router.handle(event, m_now)) {
            if (const auto *start = std::get_if<StartAttempt>(&effect)) {
                m_running.emplace(start->attempt, start->exchange);
            }
            if (const auto *decision = std::get_if<Decision>(&effect)) {
                write(*decision);
            }
        }
    }

    void writeComment(const std::string &text)
    {
        m_text << "-- " << text << '\n';
    }

    std::string text() const
    {
        return m_text.str();
    }

private:
    void write(const Decision &decision)
    {
        m_text << std::chrono::duration_cast<Duration>(m_now - TimePoint(std::chrono::hours(1))).count()
               << " ms: " << enumName(decisionKindNames, decision.kind) << " request " << decision.exchange.value
               << " of " << decision.team.name() << " backend " << decision.backend.name() << ' ' << decision.reason
               << '\n';
    }

    TimePoint m_now = TimePoint(std::chrono::hours(1));
    RequestRouter m_router{1};
    std::uint64_t m_lastRequest = 0;
    std::map<AttemptId, ExchangeId> m_running;
    std::ostringstream m_text;
};

/// Applies one set of configuration files step by step, so that two operators can be interleaved.
class Operator
{
public:
    Operator(std::string name, FakePlatform &platform, std::ostringstream &text)
        : m_name(std::move(name))
        , m_apply("files of " + m_name, m_name, std::nullopt)
        , m_platform(platform)
        , m_text(text)
    {
        take(m_apply.begin());
    }

    void step(PlatformFault fault = PlatformFault::None)
    {
        if (m_call) {
            const PlatformCall call = *m_call;
            m_call.reset();
            take(m_apply.answered({call.id, m_platform.answer(call, fault)}));
        }
    }

private:
    void take(const ApplyEffects &effects)
    {
        constexpr std::array<const char *, 7> requestNames{"reads a row",      "scans rows",      "writes a row",
                                                           "stores an object", "reads an object", "lists hosts",
                                                           "reboots a host"};
        for (const ApplyEffect &effect : effects) {
            std::visit(Overloaded{
                           [&](const PlatformCall &call) {
                               m_call = call;
                               m_text << m_name << ' ' << requestNames[call.request.index()] << '\n';
                           },
                           [&](const ApplyEnded &ended) {
                               m_text << m_name << " ends: " << enumName(applyOutcomeNames, ended.outcome)
                                      << ", version " << ended.version.value << ' ' << ended.detail << '\n';
                           },
                       },
                       effect);
        }
    }

    std::string m_name;
    ConfigApplier m_apply;
    FakePlatform &m_platform;
    std::ostringstream &m_text;
    std::optional<PlatformCall> m_call;
};

} // namespace

TEST(GoldenSession, RequestsOverOneMinuteGiveTheRecordedDecisions)
{
    RequestSession session;
    for (int second = 0; second < 60; second += 5) {
        session.request("office-key", false);
        session.request("workshop-key", true);
        session.request("office-key", true);
        session.advance(Duration(2'000));
        session.endOldestAttempt(second == 20 ? AttemptOutcome::NotSent : AttemptOutcome::Answered);
        session.endOldestAttempt(second == 30 ? AttemptOutcome::ConnectionLost : AttemptOutcome::Answered);
        session.advance(Duration(3'000));
        session.endOldestAttempt(second == 40 ? AttemptOutcome::ConnectionLost : AttemptOutcome::Answered);
        session.endOldestAttempt(AttemptOutcome::Answered);
    }
    expectGolden("ordinary_minute", session.text());
}

TEST(GoldenSession, RequestsWithAWithdrawnKeyAreRefused)
{
    RequestSession session;
    for (int request = 0; request < 4; ++request) {
        session.request("office-key", false);
    }
    session.writeComment("version 2 withdraws the key: what runs ends, what waits and what comes is refused");
    ExampleConfig withdrawn;
    withdrawn.version = 2;
    withdrawn.officeKey = false;
    session.send(ConfigInForce{withdrawn.make()});
    session.request("office-key", false);
    session.request("workshop-key", false);
    session.endOldestAttempt(AttemptOutcome::Answered);
    session.endOldestAttempt(AttemptOutcome::Answered);
    session.writeComment("version 1 is heard of again and changes nothing");
    session.send(ConfigInForce{ExampleConfig{}.make()});
    session.request("office-key", false);
    expectGolden("withdrawn_key", session.text());
}

TEST(GoldenSession, ConcurrentAppliesGiveTheRecordedOutcomes)
{
    std::ostringstream text;
    FakePlatform platform;
    Operator first("first", platform, text);
    Operator second("second", platform, text);
    for (int step = 0; step < 2; ++step) {
        first.step();
        second.step();
    }
    text << "-- the answer to the second operator's write is lost after it took effect\n";
    second.step(PlatformFault::AnswerLost);
    first.step();
    second.step();
    expectGolden("operator_race", text.str());
}

TEST(GoldenSession, ZonePartitionAndRecoveryGiveTheRecordedDecisions)
{
    FleetModel fleet(3);
    fleet.disableRandomFaults();
    fleet.run(std::chrono::seconds(20));
    fleet.cutOff(1, std::chrono::seconds(60));
    EXPECT_LE(fleet.run(std::chrono::seconds(90)), ceiling);
    expectGolden("zone_cut_and_healed", fleet.journal());
}

TEST(GoldenSession, TableOutageWithLostAnswersGivesTheRecordedDecisions)
{
    FleetModel fleet(5);
    fleet.disableRandomFaults();
    fleet.run(std::chrono::seconds(20));
    fleet.loseAnswers(true);
    EXPECT_LE(fleet.run(std::chrono::seconds(10)), ceiling);
    fleet.loseAnswers(false);
    fleet.platformDown(std::chrono::seconds(40));
    EXPECT_LE(fleet.run(std::chrono::seconds(60)), ceiling);
    expectGolden("store_outage_with_lost_answers", fleet.journal());
}

TEST(GoldenSession, RollingReplacementOfAllHostsGivesTheRecordedDecisions)
{
    FleetModel fleet(9);
    fleet.disableRandomFaults();
    fleet.run(std::chrono::seconds(10));
    for (int host = 0; host < FleetModel::hostCount; ++host) {
        fleet.replace(host);
        EXPECT_LE(fleet.run(std::chrono::seconds(5)), ceiling);
    }
    expectGolden("rolling_replacement", fleet.journal());
}

} // namespace radishvane::tests
