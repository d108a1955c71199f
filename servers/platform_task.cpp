#include "servers/platform_task.h"

#include "core/base/overloaded.h"

namespace radishvane::servers
{

PlatformTask::PlatformTask(drivers::EventLoop &loop, const Clock &clock, const Endpoint &platform, std::string writer,
                           Duration timeout)
    : m_clock(clock)
    , m_resolver(std::move(writer))
    , m_client(loop, platform, timeout,
               [this](PlatformAnswered &&answer) { apply(m_resolver.answered(answer, m_clock.now())); })
    , m_mailbox(loop, [this](PlatformMessage &&message) { on(message); })
    , m_timer(loop, tickInterval, [this] { onTick(); })
{
}

void PlatformTask::post(PlatformMessage message)
{
    m_mailbox.post(std::move(message));
}

void PlatformTask::on(const PlatformMessage &message)
{
    const OperationId id{++m_lastId};
    m_origins.emplace(id, Origin{message.user, message.call.id});
    ++m_status.calls[static_cast<std::size_t>(message.user)];
    apply(m_resolver.submit(PlatformCall{id, message.call.request}, m_clock.now()));
}

void PlatformTask::apply(const ResolverEffects &effects)
{
    for (const ResolverEffect &effect : effects) {
        std::visit(Overloaded{
                       [this](const SendToPlatform &send) { m_client.send(send.call); },
                       [this](const DeliverAnswer &deliver) {
                           const auto found = m_origins.find(deliver.answered.id);
                           const Origin origin = found->second;
                           m_origins.erase(found);
                           m_status.failures += std::holds_alternative<PlatformFailed>(deliver.answered.answer) ? 1 : 0;
                           answered[static_cast<std::size_t>(origin.user)].emit(
                               PlatformAnswered{origin.id, deliver.answered.answer});
                       },
                   },
                   effect);
    }
}

void PlatformTask::onTick()
{
    const TimePoint now = m_clock.now();
    apply(m_resolver.timePassed(now));
    if (now >= m_nextStatus) {
        m_nextStatus = now + statusInterval;
        statusChanged.emit(m_status);
    }
}

} // namespace radishvane::servers
