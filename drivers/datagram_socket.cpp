#include "drivers/datagram_socket.h"

#include "drivers/peer_codec.h"
#include "drivers/socket_address.h"

#include <event2/event.h>
#include <event2/util.h>

#include <sys/socket.h>

#include <vector>

namespace radishvane::drivers
{

DatagramSocket::DatagramSocket(EventLoop &loop, Handler onDatagram) : m_loop(loop), m_onDatagram(std::move(onDatagram))
{
}

DatagramSocket::~DatagramSocket()
{
    if (m_event != nullptr) {
        event_free(m_event);
    }
    if (m_socket >= 0) {
        evutil_closesocket(m_socket);
    }
}

bool DatagramSocket::bind(const Endpoint &endpoint)
{
    m_socket = ::socket(AF_INET, SOCK_DGRAM, 0);
    if (m_socket < 0 || evutil_make_socket_nonblocking(m_socket) != 0) {
        return false;
    }
    const sockaddr_in address = toSocketAddress(endpoint);
    if (::bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        return false;
    }
    m_event = event_new(
        m_loop.base(), m_socket, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void *self) { static_cast<DatagramSocket *>(self)->receiveAll(); }, this);
    return event_add(m_event, nullptr) == 0;
}

void DatagramSocket::send(const Endpoint &to, std::string_view bytes)
{
    const sockaddr_in address = toSocketAddress(to);
    // A lost heartbeat is like one that the network lost, so the result does not matter.
    static_cast<void>(::sendto(m_socket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&address),
                               sizeof address));
}

void DatagramSocket::receiveAll()
{
    std::vector<char> buffer(mostDatagramBytes + 1);
    for (;;) {
        const ssize_t size = ::recv(m_socket, buffer.data(), buffer.size(), 0);
        if (size < 0) {
            return;
        }
        m_onDatagram(std::string_view(buffer.data(), static_cast<std::size_t>(size)));
    }
}

} // namespace radishvane::drivers
