#include "drivers/event_loop.h"
#include "drivers/mailbox.h"
#include "drivers/timer.h"
#include "tests/support/story.h"

#include <event2/event.h>
#include <gtest/gtest.h>

#include <chrono>
#include <thread>
#include <vector>

namespace radishvane::tests
{

using drivers::EventLoop;
using drivers::Mailbox;
using drivers::Timer;

namespace
{

/// Socket events that are all active at once, whose handlers take a millisecond each.
class SocketEvents
{
public:
    static constexpr int count = 400;

    explicit SocketEvents(EventLoop &loop) : m_loop(loop)
    {
        for (int index = 0; index < count; ++index) {
            m_events.push_back(event_new(
                loop.base(), -1, 0,
                [](evutil_socket_t, short, void *self) { static_cast<SocketEvents *>(self)->take(); }, this));
        }
    }

    ~SocketEvents()
    {
        for (event *socketEvent : m_events) {
            event_free(socketEvent);
        }
    }

    void activate()
    {
        for (event *socketEvent : m_events) {
            event_active(socketEvent, EV_READ, 0);
        }
    }

    int handled() const
    {
        return m_handled;
    }

private:
    void take()
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        if (++m_handled == count) {
            m_loop.stop();
        }
    }

    EventLoop &m_loop;
    std::vector<event *> m_events;
    int m_handled = 0;
};

} // namespace

TEST(EventLoop, HandlesTimersBetweenTheEventsOfManySockets)
{
    story("hundreds of sockets have something to read at the same time", [] {
        EventLoop loop;
        SocketEvents sockets(loop);
        std::vector<int> handledAtTick;
        const Timer timer(loop, Duration(20), [&] { handledAtTick.push_back(sockets.handled()); });
        sockets.activate();
        loop.run();
        section("a timer does not wait for all of them", [&] {
            ASSERT_EQ(sockets.handled(), SocketEvents::count);
            ASSERT_GE(handledAtTick.size(), 3U);
            EXPECT_LT(handledAtTick.front(), SocketEvents::count / 2);
        });
    });
}

TEST(EventLoop, DeliversMessagesBetweenTheEventsOfManySockets)
{
    story("a task posts a message while hundreds of sockets have something to read", [] {
        EventLoop loop;
        SocketEvents sockets(loop);
        int handledAtDelivery = SocketEvents::count;
        Mailbox<int> mailbox(loop, [&](int &&) { handledAtDelivery = sockets.handled(); });
        sockets.activate();
        mailbox.post(1);
        loop.run();
        section("the message does not wait for all of them",
                [&] { EXPECT_LT(handledAtDelivery, SocketEvents::count / 2); });
    });
}

} // namespace radishvane::tests
