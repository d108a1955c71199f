#include "main/commands/platform_session.h"

#include "core/base/overloaded.h"
#include "drivers/timer.h"

#include <random>

namespace radishvane::commands
{

namespace
{

constexpr Duration platformTimeout{5'000};
constexpr Duration tickInterval{100};

} // namespace

PlatformSession::PlatformSession(const Endpoint &platform, std::string writer, AnswerHandler onAnswer)
    : m_resolver(std::move(writer))
    , m_onAnswer(std::move(onAnswer))
    , m_client(m_loop, platform, platformTimeout,
               [this](PlatformAnswered &&answer) { apply(m_resolver.answered(answer, m_clock.now())); })
{
}

void PlatformSession::send(const PlatformCall &call)
{
    apply(m_resolver.submit(call, m_clock.now()));
}

void PlatformSession::run()
{
    const drivers::Timer timer(m_loop, tickInterval, [this] { apply(m_resolver.timePassed(m_clock.now())); });
    m_loop.run();
}

void PlatformSession::stop()
{
    m_loop.stop();
}

void PlatformSession::apply(const ResolverEffects &effects)
{
    for (const ResolverEffect &effect : effects) {
        std::visit(Overloaded{
                       [this](const SendToPlatform &send) { m_client.send(send.call); },
                       [this](const DeliverAnswer &deliver) { m_onAnswer(deliver.answered); },
                   },
                   effect);
    }
}

std::string uniqueWriter()
{
    std::random_device device;
    const std::uint64_t high = device();
    return "cli-" + std::to_string((high << 32) | device());
}

} // namespace radishvane::commands
