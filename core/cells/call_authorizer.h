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
    Query,
    Cancel,
    /// Asks about a queue, or about a job when the path names one.
    Other,
};

/// A caller's request as far as it decides whether it may pass.
struct CallRequest
{
    CallKind kind = CallKind::Other;
    std::string host;
    std::string path;
    /// Empty when none was given.
    std::string key;
};

/// Why a call was refused before anything was done about it.
enum class CallRefusal {
    /// No configuration has been seen yet.
    NoConfig,
    UnknownQueue,
    UnknownKey,
    /// The keys are too old to tell whether this one has been withdrawn.
    StaleKeys,
    BadJobId,
    UnknownCall,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 6> callRefusalNames{"no-config",  "unknown-queue", "unknown-key",
                                                                  "stale-keys", "bad-job-id",    "unknown-call"};

/// The queue and the job that a call is about, and the team that its key belongs to.
struct AuthorizedCall
{
    CallKind kind = CallKind::Other;
    QueueId queue;
    TeamId team;
    /// Empty when the call is about the queue.
    JobId job;
};

using CallVerdict = std::variant<AuthorizedCall, CallRefusal>;

/// Checks route and key of callers' requests by the newest configuration.
class CallAuthorizer
{
public:
    /// A key is not taken when the last sound answer of the operator's table was asked for longer ago.
    /// @param maxKeyAge bound from a withdrawal to its effect, as the operator set it.
    explicit CallAuthorizer(Duration maxKeyAge);

    /// Takes a configuration unless it is older than the present one.
    void observe(const SiteConfigPtr &config);
    /// The operator's table has answered a question sent at @p asked, and all that it said has been seen.
    void observeContact(TimePoint queriedAt);

    CallVerdict check(const CallRequest &call, TimePoint now) const;
    bool hasFreshKeys(TimePoint now) const;
    /// When the last answered question to the operator's table was asked.
    TimePoint lastContact() const;
    const SiteConfigPtr &config() const;

private:
    Duration m_maxKeyAge;
    SiteConfigPtr m_config;
    TimePoint m_lastContact;
};

} // namespace radishvane::cells
