#pragma once

#include "core/base/clock.h"
#include "core/messages/platform_messages.h"
#include "core/messages/rows.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace radishvane
{

// Events: the inputs of SessionController.

/// Live entry hosts except this one; they become the witnesses of the next write of the session row.
struct WitnessesChanged
{
    std::vector<HostId> hosts;
};

/// Liveness confirmation: another entry host reports that, at @p at or later, it had observed this host's
/// session without renewal for @p idle.
struct LivenessConfirmationReceived
{
    HostId confirmedBy;
    TimePoint at;
    Duration idle{};
};

struct SessionTick
{
};

/// Requests the release of the session; sent after all rights are released.
struct SessionStop
{
};

using SessionEvent
    = std::variant<PlatformAnswered, WitnessesChanged, LivenessConfirmationReceived, SessionTick, SessionStop>;

// Effects: the outputs of SessionController.

/// This process holds a session; a new epoch voids the leased rights of the previous one.
struct SessionHeld
{
    HolderId holder;
    std::uint64_t epoch = 0;
};

/// Work may start under leased rights until this time.
struct SessionValidUntil
{
    TimePoint until;
};

/// The session is lost: another host ended it, or another process took this host's name.
struct SessionLost
{
    bool nameTaken = false;
};

/// Result of one scan of the session rows of all entry hosts.
struct SessionsObserved
{
    struct ObservedSession
    {
        SessionRow row;
        Duration idle{};
    };
    std::vector<ObservedSession> sessions;
    /// Start of the scan; the rows were read at this time or later.
    TimePoint at;
};

/// This host ended the session of another host.
struct SessionEnded
{
    HolderId holder;
    Duration idle{};
};

/// The session is released: its row was removed, or this process held none.
struct SessionReleased
{
};

using SessionEffect = std::variant<PlatformCall, SessionHeld, SessionValidUntil, SessionLost, SessionsObserved,
                                   SessionEnded, SessionReleased>;
using SessionEffects = std::vector<SessionEffect>;

/// Maintains this entry host's session in the table and ends the expired sessions of other entry hosts.
///
/// The session is a lease that each renewal extends. When renewals fail, it stays valid while all of its witnesses
/// confirm that they have not observed it idle for too long, up to leaseTimes::maxTimeWithoutRenewal.
class SessionController
{
public:
    /// @param start incarnation to use unless the table holds the same or a larger one.
    SessionController(HostId host, ZoneId zone, Endpoint peer, Incarnation start);

    SessionEffects handle(const SessionEvent &event, TimePoint now);

private:
    enum class Stage {
        Unknown,
        Held,
        Lost,
        Released,
    };

    struct PeerSession
    {
        std::uint64_t version = 0;
        Duration idle{};
        bool endRequested = false;
    };

    void on(const PlatformAnswered &event);
    void on(const WitnessesChanged &event);
    void on(const LivenessConfirmationReceived &event);
    void on(const SessionTick &event);
    void on(const SessionStop &event);

    void readOwn();
    void onOwnRow(const StoredRow &stored);
    void writeOwn(SessionRow row, std::uint64_t expected);
    void onOwnWritten(const PlatformAnswer &answer);
    void renew();
    void scan();
    void onScanned(const RowsFound &found);
    void observe(const StoredRow &stored, Duration gap, SessionsObserved &result);
    bool mayEndSession(const SessionRow &row, Duration idle) const;
    void loseSession(bool nameTaken);
    void updateValidity();
    OperationId call(PlatformRequest request);

    HostId m_host;
    ZoneId m_zone;
    Endpoint m_peer;
    Incarnation m_incarnation;
    TimePoint m_now;
    SessionEffects m_effects;
    std::uint64_t m_lastOperation = 0;
    Stage m_stage = Stage::Unknown;
    /// The last write found another version of the row than expected, and the row has not been read since.
    bool m_conflict = false;
    SessionRow m_row;
    std::uint64_t m_version = 0;
    SessionRow m_writtenRow;
    TimePoint m_writeSentAt;
    TimePoint m_renewedAt;
    TimePoint m_validUntil;
    TimePoint m_nextRenewal;
    TimePoint m_nextScan;
    OperationId m_readOperation;
    OperationId m_writeOperation;
    OperationId m_scanOperation;
    OperationId m_releaseOperation;
    TimePoint m_scanSentAt;
    TimePoint m_lastScanSentAt;
    bool m_lastScanAnswered = false;
    std::map<HostId, PeerSession> m_peerSessions;
    std::map<OperationId, HolderId> m_endOperations;
    std::vector<HostId> m_witnesses;
    std::map<HostId, TimePoint> m_confirmedUntil;
};

} // namespace radishvane
