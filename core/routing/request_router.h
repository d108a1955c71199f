#pragma once

#include "core/config/config.h"
#include "core/quota/team_rights.h"
#include "core/routing/admission.h"
#include "core/routing/backend_set.h"
#include "core/routing/fair_queue.h"
#include "core/routing/request_messages.h"
#include "core/routing/retry_budget.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace radishvane
{

/// Request scheduler and router of one entry host: admits, queues, starts and retries requests, selects their backend
/// servers, and determines the result that is reported to the caller.
///
/// Invariants: a request runs only under a right of its team; a non-idempotent request is sent again only when it is
/// certain that it did not run; only requests that did not run are refused.
class RequestRouter
{
public:
    /// Interval between the usage reports to other entry hosts.
    static constexpr Duration usageInterval{1'000};

    /// Time after a report of idle slots from another entry host for which they may be borrowed.
    static constexpr Duration spareSlotsLifetime{2'500};

    /// @param seed seed of the random selection of backend servers.
    explicit RequestRouter(std::uint64_t seed);

    RequestEffects handle(const RequestEvent &event, TimePoint now);

    std::size_t waiting() const;
    std::size_t running() const;

private:
    enum class Stage {
        Admitting,
        Waiting,
        Running,
    };

    struct Exchange
    {
        RequestHead head;
        TeamId team;
        ServiceId service;
        Stage stage = Stage::Admitting;
        TimePoint arrived;
        TimePoint deadline;
        BackendId lastBackend;
        /// An earlier attempt may have run, so the request must not be reported as not run.
        bool mayHaveRun = false;
        /// ClaimKey was sent, and ClaimDecided has not come.
        bool claiming = false;
        bool claimed = false;
    };

    struct Attempt
    {
        ExchangeId exchange;
        TeamId team;
        ServiceId service;
        BackendId backend;
        TimePoint started;
        /// Time by which the backend server has certainly ended the request.
        TimePoint endsBy;
        /// Estimated slot time charged at the start, in milliseconds.
        double charged = 0;
    };

    struct PeerSpare
    {
        std::uint32_t slots = 0;
        TimePoint reportedAt;
    };

    struct ServiceState
    {
        ServiceState(ServiceId name, std::uint64_t seed) : id(std::move(name)), backends(seed)
        {
        }

        ServiceId id;
        FairQueue queue;
        BackendSet backends;
        RetryBudget retries;
        Duration longestRun{};
        std::uint32_t queueLimit = 0;
        /// Exponential moving average of the run time of answered requests, in milliseconds; 0 before the first answer.
        double runEstimate = 0;
        std::map<TeamId, double> spent;
        std::map<HostId, PeerSpare> peerSpareSlots;
        bool removed = false;
    };

    void on(const ConfigInForce &event);
    void on(const HostPlacementsUpdated &event);
    void on(const LeavingHosts &event);
    void on(const EntryHostPosition &event);
    void on(const ConfigConfirmed &event);
    void on(const ConfigSuspended &event);
    void on(const RequestArrived &event);
    void on(const CallerDisconnected &event);
    void on(const AttemptEnded &event);
    void on(const TeamAllowance &event);
    void on(const LeaseExtended &event);
    void on(const PeerUsage &event);
    void on(const PeerSpareSlots &event);
    void on(const ClaimDecided &event);
    void on(const StopRequested &event);
    void on(const AnswerOpenRequests &event);
    void on(const RequestTick &event);

    void updateBorrowable(ServiceState &state);
    void applyServices();
    void applyTeams();
    void recheckWaiting();
    void enqueue(ExchangeId id, Exchange &exchange);
    void pushToQueue(ExchangeId id, Exchange &exchange, ServiceState &state);
    Duration estimatedWait(const ServiceState &state, const TeamId &team) const;
    bool evictRequestFor(ServiceState &state, const TeamId &team);
    void dispatchAll();
    void dispatch(ServiceState &state);
    void start(const WaitingRequest &request, ServiceState &state);
    void settleAttempt(const Attempt &attempt, AttemptOutcome outcome);
    void handleOutcome(ExchangeId id, Exchange &exchange, const Attempt &attempt, AttemptId attemptId,
                       AttemptOutcome outcome);
    bool retry(ExchangeId id, Exchange &exchange, AttemptOutcome outcome);
    void refuse(ExchangeId id, RefusalReason reason, std::optional<Duration> retryAfter = std::nullopt);
    void reportUnknown(ExchangeId id, UnknownReason reason);
    void removeExchange(ExchangeId id);
    void expireDeadlines();
    void releaseUnresolved();
    void reportDemand();
    void reportUsage();
    void log(DecisionKind kind, ExchangeId id, const Exchange &exchange, std::string_view reason);
    ServiceState &service(const ServiceId &id);

    std::uint64_t m_seed;
    TimePoint m_now;
    RequestEffects m_effects;
    std::shared_ptr<const Config> m_config;
    HostRows m_hostRows;
    TimePoint m_configConfirmed;
    /// The end of this entry host, once it stops.
    std::optional<TimePoint> m_endsBy;
    bool m_suspended = false;
    EntryHostPosition m_position;
    std::set<HostId> m_leaving;
    TeamRights m_rights;
    std::map<ServiceId, ServiceState> m_services;
    std::unordered_map<ExchangeId, Exchange> m_exchanges;
    std::set<std::pair<TimePoint, ExchangeId>> m_deadlines;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    /// Attempts whose work may still run, keyed by the time at which that work has certainly ended.
    std::multimap<TimePoint, Attempt> m_unresolved;
    /// Claims whose requests have ended undecided; they are released if they succeed.
    std::unordered_map<ExchangeId, ReleaseClaim> m_abandonedClaims;
    std::uint64_t m_lastAttempt = 0;
    std::unordered_map<TeamId, std::uint32_t> m_waiting;
    std::map<TeamId, TeamDemand> m_reportedDemand;
    TimePoint m_nextUsageReport;
};

} // namespace radishvane
