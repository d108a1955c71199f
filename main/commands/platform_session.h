#pragma once

#include "core/platform/write_resolver.h"
#include "drivers/event_loop.h"
#include "drivers/platform_client.h"
#include "drivers/system_clock.h"

#include <functional>
#include <string>

namespace radishvane::commands
{

/// Calls to the platform from the command line, with lost answers resolved.
class PlatformSession
{
public:
    using AnswerHandler = std::function<void(const PlatformAnswered &)>;

    PlatformSession(const Endpoint &platform, std::string writer, AnswerHandler onAnswer);

    void send(const PlatformCall &call);
    /// Runs until stop().
    void run();
    void stop();

private:
    void apply(const ResolverEffects &effects);

    drivers::SystemClock m_clock;
    drivers::EventLoop m_loop;
    WriteResolver m_resolver;
    AnswerHandler m_onAnswer;
    drivers::PlatformClient m_client;
};

/// A name for this run of the command line that no other run has.
std::string uniqueWriter();

} // namespace radishvane::commands
