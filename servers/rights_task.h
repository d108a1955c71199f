#pragma once

#include "core/quota/rights_ledger.h"
#include "core/quota/session_controller.h"
#include "drivers/mailbox.h"
#include "drivers/timer.h"
#include "servers/task_messages.h"

#include <sigc++/signal.h>

#include <map>
#include <variant>

namespace radishvane::servers
{

/// Give back all rights and the session.
struct ReleaseRights
{
};

/// Keeps the session of this entry host and its part in the rights of all teams.
class RightsTask
{
public:
    using Message = std::variant<PlatformAnswered, LedgerConfig, LedgerDemand, LedgerPeerDemand, LedgerPeers,
                                 LedgerHostList, LivenessConfirmationReceived, ReleaseRights>;

    static constexpr Duration tickInterval{100};
    static constexpr Duration statusInterval{1'000};

    RightsTask(drivers::EventLoop &loop, const Clock &clock, HostId host, ZoneId zone, Endpoint peer,
               Incarnation start);

    void post(Message message);

    sigc::signal<void(const PlatformCall &)> platformCalled;
    sigc::signal<void(const AllowanceSet &)> allowanceSet;
    sigc::signal<void(TimePoint)> leaseExtended;
    sigc::signal<void(const HolderId &)> holderKnown;
    sigc::signal<void(const SessionsObserved &)> sessionsObserved;
    sigc::signal<void(const RightsStatus &)> statusChanged;
    sigc::signal<void()> released;

private:
    /// Which of the two keepers asked the platform.
    enum class Asker {
        Session,
        Ledger,
    };

    struct Origin
    {
        Asker asker{};
        OperationId id;
    };

    void on(const PlatformAnswered &message);
    void on(const LedgerConfig &message);
    void on(const LedgerDemand &message);
    void on(const LedgerPeerDemand &message);
    void on(const LedgerPeers &message);
    void on(const LedgerHostList &message);
    void on(const LivenessConfirmationReceived &message);
    void on(const ReleaseRights &message);

    void handleSession(const SessionEvent &event);
    void handleLedger(const LedgerEvent &event);
    void apply(const SessionHeld &effect);
    void apply(const SessionValidUntil &effect);
    void apply(const SessionLost &effect);
    void apply(const SessionsObserved &effect);
    void apply(const SessionEnded &effect);
    void apply(const SessionReleased &effect);
    void apply(const AllowanceSet &effect);
    void apply(const LedgerLogEntry &effect);
    void apply(const LedgerReleased &effect);
    void call(Asker asker, const PlatformCall &asked);
    void onTick();

    const Clock &m_clock;
    HostId m_host;
    SessionController m_session;
    RightsLedger m_ledger;
    std::uint64_t m_lastOperation = 0;
    std::map<OperationId, Origin> m_origins;
    RightsStatus m_status;
    std::map<TeamId, TeamRightsStatus> m_teams;
    TimePoint m_nextStatus;
    drivers::Mailbox<Message> m_mailbox;
    drivers::Timer m_timer;
};

} // namespace radishvane::servers
