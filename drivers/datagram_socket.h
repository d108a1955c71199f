#pragma once

#include "core/config/config.h"
#include "drivers/event_loop.h"

#include <functional>
#include <string>
#include <string_view>

struct event;

namespace radishvane::drivers
{

/// A bound UDP socket on one event loop. Datagrams that cannot be sent are dropped, as the network may drop them.
class DatagramSocket
{
public:
    using Handler = std::function<void(std::string_view)>;

    DatagramSocket(EventLoop &loop, Handler onDatagram);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// @return false when the address cannot be bound.
    bool bind(const Endpoint &endpoint);
    void send(const Endpoint &to, std::string_view bytes);

private:
    void receiveAll();

    EventLoop &m_loop;
    Handler m_onDatagram;
    int m_socket = -1;
    event *m_event = nullptr;
};

} // namespace radishvane::drivers
