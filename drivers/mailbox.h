#pragma once

#include "drivers/event_loop.h"

#include <event2/event.h>

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace radishvane::drivers
{

/// The one way into a task: messages of one variant type, handled in order on the task's event loop.
template<typename Message>
class Mailbox
{
public:
    using Handler = std::function<void(Message &&)>;

    Mailbox(EventLoop &loop, Handler handler)
        : m_handler(std::move(handler)), m_wakeUp(event_new(loop.base(), -1, EV_PERSIST, &Mailbox::wake, this))
    {
    }

    ~Mailbox()
    {
        event_free(m_wakeUp);
    }

    Mailbox(const Mailbox &) = delete;
    Mailbox &operator=(const Mailbox &) = delete;

    /// Leaves a message for the task. May be called from any thread.
    void post(Message message)
    {
        const std::lock_guard lock(m_mutex);
        m_messages.push_back(std::move(message));
        if (m_messages.size() == 1) {
            event_active(m_wakeUp, EV_TIMEOUT, 0);
        }
    }

private:
    static void wake(evutil_socket_t /*socket*/, short /*events*/, void *self)
    {
        static_cast<Mailbox *>(self)->deliver();
    }

    void deliver()
    {
        std::vector<Message> messages;
        {
            const std::lock_guard lock(m_mutex);
            messages.swap(m_messages);
        }
        for (Message &message : messages) {
            m_handler(std::move(message));
        }
    }

    Handler m_handler;
    std::mutex m_mutex;
    std::vector<Message> m_messages;
    event *m_wakeUp;
};

} // namespace radishvane::drivers
