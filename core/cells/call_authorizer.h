#pragma once

#include "core/cells/site.h"

#include <array>
#include <string>
#include <string_view>
#include <variant>

namespace radishvane::cells
{

enum class CallKind {
    Submit,
    /// Queries the queue, or the job that the path names.
    Query,
    Cancel,
    /// Any other HTTP method.
    Other,
};

/// The parts of a caller's request that decide whether it is authorized.
struct CallRequest
{
    CallKind kind = CallKind::Other;
    std::string host;
    std::string path;
    /// Empty when the caller sent no key.
    std::string key;
};

/// Why a call was refused before it had any effect.
enum class CallRefusal {
    /// No configuration is known yet.
    NoConfig,
    UnknownQueue,
    UnknownKey,
    /// The configuration is too old to tell whether the key has been withdrawn.
    StaleKeys,
    BadJobId,
    UnknownCall,
    /// The entry host is about to end.
    Stopping,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 7> callRefusalNames{
    "no-config", "unknown-queue", "unknown-key", "stale-keys", "bad-job-id", "unknown-call", "stopping"};

/// The queue and job of an authorized call, and the team of its key.
struct AuthorizedCall
{
    CallKind kind = CallKind::Other;
    QueueId queue;
    TeamId team;
    /// Empty when the call concerns the whole queue.
    JobId job;
};

using CallVerdict = std::variant<AuthorizedCall, CallRefusal>;

/// Authorizes callers' requests by route and API key, using the newest configuration.
class CallAuthorizer
{
public:
    /// @param maxKeyAge limit set by the operator on the time from the withdrawal of a key to its effect. Keys are
    /// refused some time before the last successful query of the operator's table becomes that old.
    explicit CallAuthorizer(Duration maxKeyAge);

    /// Updates the configuration unless @p config is older than the current one.
    void observe(const SiteConfigPtr &config);
    /// Records a complete answer of the operator's table to a query sent at @p queriedAt, after its changes were
    /// observed.
    void observeContact(TimePoint queriedAt);

    CallVerdict check(const CallRequest &call, TimePoint now) const;
    bool hasFreshKeys(TimePoint now) const;
    /// When the last answered query of the operator's table was sent.
    TimePoint lastContact() const;
    const SiteConfigPtr &config() const;

private:
    Duration m_maxKeyAge;
    SiteConfigPtr m_config;
    TimePoint m_lastContact;
};

} // namespace radishvane::cells
