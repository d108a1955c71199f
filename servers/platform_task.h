#pragma once

#include "core/platform/write_resolver.h"
#include "drivers/mailbox.h"
#include "drivers/platform_client.h"
#include "drivers/timer.h"

#include <sigc++/signal.h>

#include <array>
#include <cstdint>
#include <unordered_map>

namespace radishvane::servers
{

/// Tasks that use the platform.
enum class PlatformUser {
    Config,
    Rights,
    Claims,
    Hosts,
    Jobs,
    Fleet,
};

/// Metric names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 6> platformUserNames{"config", "rights", "claims",
                                                                   "hosts",  "jobs",   "fleet"};

/// A call with the task that gets its answer.
struct PlatformMessage
{
    PlatformUser user{};
    PlatformCall call;
};

/// How often the platform was called, for the operator port.
struct PlatformStatus
{
    std::array<std::uint64_t, platformUserNames.size()> calls{};
    std::uint64_t failures = 0;
};

/// Owns the connections to the platform; finds out how writes ended whose answers were lost.
class PlatformTask
{
public:
    static constexpr Duration tickInterval{100};
    static constexpr Duration statusInterval{1'000};

    PlatformTask(drivers::EventLoop &loop, const Clock &clock, const Endpoint &platform, std::string writer,
                 Duration timeout);

    void post(PlatformMessage message);

    /// One signal a user, in the order of the enumerators.
    std::array<sigc::signal<void(const PlatformAnswered &)>, platformUserNames.size()> answered;
    sigc::signal<void(const PlatformStatus &)> statusChanged;

private:
    struct Origin
    {
        PlatformUser user{};
        OperationId id;
    };

    void on(const PlatformMessage &message);
    void apply(const ResolverEffects &effects);
    void onTick();

    const Clock &m_clock;
    WriteResolver m_resolver;
    std::uint64_t m_lastId = 0;
    std::unordered_map<OperationId, Origin> m_origins;
    PlatformStatus m_status;
    TimePoint m_nextStatus;
    drivers::PlatformClient m_client;
    drivers::Mailbox<PlatformMessage> m_mailbox;
    drivers::Timer m_timer;
};

} // namespace radishvane::servers
