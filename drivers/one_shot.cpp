#include "drivers/one_shot.h"

#include "drivers/time_value.h"

#include <event2/event.h>

#include <memory>

namespace radishvane::drivers
{

void runOnce(EventLoop &loop, Duration delay, std::function<void()> action)
{
    auto owned = std::make_unique<std::function<void()>>(std::move(action));
    const timeval time = toTimeval(delay);
    const auto run = [](evutil_socket_t, short, void *target) {
        const std::unique_ptr<std::function<void()>> taken(static_cast<std::function<void()> *>(target));
        (*taken)();
    };
    if (event_base_once(loop.base(), -1, EV_TIMEOUT, run, owned.get(), &time) == 0) {
        // The event owns the action now.
        static_cast<void>(owned.release());
    }
}

} // namespace radishvane::drivers
