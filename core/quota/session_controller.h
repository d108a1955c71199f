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

// Events.

/// Live entry hosts besides this one.
struct WitnessesChanged
{
    std::vector<HostId> hosts;
};

/// An entry host said that at @p at or later it had seen this host's session idle for @p idle.
struct VouchReceived
{
    HostId voucher;
    TimePoint at;
    Duration idle{};
};

struct SessionTick
{
};

/// Give the session up; sent once all rights were given back.
struct SessionStop
{
};

using SessionEvent = std::variant<PlatformAnswered, WitnessesChanged, VouchReceived, SessionTick, SessionStop>;

// Effects.

/// This process holds a session; a new epoch means that leased rights of the old one are void.
struct SessionHeld
{
    HolderId holder;
    std::uint64_t epoch = 0;
};

/// Leased rights allow starts before this time.
struct SessionValidUntil
{
    TimePoint until;
};

/// Another host ended the session, or another process took this host's name.
struct SessionLost
{
    bool nameTaken = false;
};

/// One look at the session rows of all entry hosts.
struct SessionsObserved
{
    struct ObservedSession
    {
        SessionRow row;
        Duration idle{};
    };
    std::vector<ObservedSession> sessions;
    /// When the look was begun; the rows stood so then or later.
    TimePoint at;
};

/// A session of another host was ended by this one.
struct SessionEnded
{
    HolderId holder;
    Duration idle{};
};

/// The session row was removed.
struct SessionReleased
{
};

using SessionEffect = std::variant<PlatformCall, SessionHeld, SessionValidUntil, SessionLost, SessionsObserved,
                                   SessionEnded, SessionReleased>;
using SessionEffects = std::vector<SessionEffect>;

/// Keeps this entry host's session in the table and watches the sessions of others.
class SessionController
{
public:
    /// @param start incarnation to use when the table knows no larger one.
    SessionController(HostId host, ZoneId zone, Endpoint peer, Incarnation start);

    SessionEffects handle(const SessionEvent &event, TimePoint now);

private:
    enum class Stage {
        Unknown,
        Held,
        Lost,
        Released,
    };

    struct Observed
    {
        std::uint64_t version = 0;
        Duration idle{};
        bool endAsked = false;
    };

    void on(const PlatformAnswered &event);
    void on(const WitnessesChanged &event);
    void on(const VouchReceived &event);
    void on(const SessionTick &event);
    void on(const SessionStop &event);

    void readOwn();
    void onOwnRow(const StoredRow &stored);
    void writeOwn(SessionRow row, std::uint64_t expected);
    void onOwnWritten(const PlatformAnswer &answer);
    void renew();
    void scan();
    void onScanned(const RowsFound &found);
    void observe(const StoredRow &stored, Duration gap, SessionsObserved &seen);
    bool mayEnd(const SessionRow &row, Duration idle) const;
    void lose(bool nameTaken);
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
    /// The row had another version than expected and was not read since.
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
    std::map<HostId, Observed> m_observed;
    std::map<OperationId, HolderId> m_endOperations;
    std::vector<HostId> m_witnesses;
    std::map<HostId, TimePoint> m_vouchedUntil;
};

} // namespace radishvane
