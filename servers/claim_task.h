#pragma once

#include "core/messages/platform_messages.h"
#include "core/routing/request_messages.h"
#include "drivers/mailbox.h"

#include <sigc++/signal.h>

#include <map>
#include <variant>

namespace radishvane::servers
{

/// Keeps the claims of idempotency keys in the table.
class ClaimTask
{
public:
    using Message = std::variant<ClaimKey, ReleaseClaim, PlatformAnswered>;

    ClaimTask(drivers::EventLoop &loop, const Clock &clock, HolderId holder);

    void post(Message message);

    sigc::signal<void(const PlatformCall &)> platformCalled;
    sigc::signal<void(const ClaimDecided &)> decided;

private:
    void on(const ClaimKey &message);
    void on(const ReleaseClaim &message);
    void on(const PlatformAnswered &message);
    OperationId call(PlatformRequest request);

    const Clock &m_clock;
    HolderId m_holder;
    std::uint64_t m_lastOperation = 0;
    std::map<OperationId, ClaimKey> m_claiming;
    /// Row versions of the claims that this process holds, for giving them back.
    std::map<std::string, std::uint64_t> m_claimed;
    drivers::Mailbox<Message> m_mailbox;
};

} // namespace radishvane::servers
