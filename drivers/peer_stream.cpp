#include "drivers/peer_stream.h"

#include "drivers/peer_codec.h"
#include "drivers/socket_address.h"
#include "drivers/time_value.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <algorithm>
#include <array>

namespace radishvane::drivers
{

namespace
{

/// Bytes of the length before each message, most significant first.
constexpr std::size_t lengthBytes = 4;

std::size_t readLength(const std::array<unsigned char, lengthBytes> &bytes)
{
    std::size_t length = 0;
    for (const unsigned char byte : bytes) {
        length = (length << 8) | byte;
    }
    return length;
}

} // namespace

PeerStream::PeerStream(EventLoop &loop, QuestionHandler onQuestion, AnswerHandler onAnswer)
    : m_loop(loop), m_onQuestion(std::move(onQuestion)), m_onAnswer(std::move(onAnswer))
{
}

PeerStream::~PeerStream()
{
    if (m_listener != nullptr) {
        evconnlistener_free(m_listener);
    }
    for (auto &[id, connection] : m_connections) {
        bufferevent_free(connection.events);
    }
}

bool PeerStream::listen(const Endpoint &endpoint)
{
    const sockaddr_in address = toSocketAddress(endpoint);
    constexpr int backlog = 16;
    m_listener = evconnlistener_new_bind(
        m_loop.base(),
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self) {
            static_cast<PeerStream *>(self)->open(socket, false);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog, reinterpret_cast<const sockaddr *>(&address),
        sizeof address);
    return m_listener != nullptr;
}

void PeerStream::ask(const Endpoint &endpoint, const PeerStreamMessage &question)
{
    if (m_connections.size() >= mostConnections) {
        return;
    }
    Connection &connection = open(-1, true);
    write(connection.events, question);
    const sockaddr_in address = toSocketAddress(endpoint);
    const std::uint64_t id = connection.id;
    if (bufferevent_socket_connect(connection.events, reinterpret_cast<const sockaddr *>(&address), sizeof address)
        != 0) {
        close(id);
    }
}

PeerStream::Connection &PeerStream::open(int socket, bool asked)
{
    const std::uint64_t id = ++m_lastId;
    Connection &connection = m_connections[id];
    connection = Connection{this, id, bufferevent_socket_new(m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE), asked};
    bufferevent_setcb(connection.events, &PeerStream::readable, nullptr, &PeerStream::ended, &connection);
    const timeval timeout = toTimeval(idleTimeout);
    bufferevent_set_timeouts(connection.events, &timeout, &timeout);
    bufferevent_enable(connection.events, EV_READ | EV_WRITE);
    if (m_connections.size() > mostConnections) {
        // The oldest makes room, which is the one that idles longest.
        std::uint64_t oldest = id;
        for (const auto &[other, unused] : m_connections) {
            oldest = std::min(oldest, other);
        }
        close(oldest);
    }
    return connection;
}

void PeerStream::close(std::uint64_t id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    bufferevent_free(found->second.events);
    m_connections.erase(found);
}

void PeerStream::readFrom(Connection &connection)
{
    evbuffer *input = bufferevent_get_input(connection.events);
    std::array<unsigned char, lengthBytes> prefix{};
    if (evbuffer_copyout(input, prefix.data(), prefix.size()) < static_cast<ev_ssize_t>(lengthBytes)) {
        return;
    }
    const std::size_t length = readLength(prefix);
    if (length > mostStreamBytes) {
        close(connection.id);
        return;
    }
    if (evbuffer_get_length(input) < lengthBytes + length) {
        return;
    }
    evbuffer_drain(input, lengthBytes);
    std::string bytes(length, '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    onMessage(connection, bytes);
}

void PeerStream::onMessage(Connection &connection, std::string_view bytes)
{
    const std::uint64_t id = connection.id;
    const auto message = decodeStreamMessage(bytes);
    if (!message) {
        close(id);
        return;
    }
    if (connection.asked) {
        close(id);
        m_onAnswer(message.value());
        return;
    }
    const auto answer = m_onQuestion(message.value());
    if (!answer) {
        close(id);
        return;
    }
    write(connection.events, *answer);
}

void PeerStream::write(bufferevent *events, const PeerStreamMessage &message)
{
    const std::string bytes = encodeStreamMessage(message);
    const auto size = static_cast<std::uint32_t>(bytes.size());
    const std::array<unsigned char, lengthBytes> prefix{
        static_cast<unsigned char>(size >> 24), static_cast<unsigned char>(size >> 16),
        static_cast<unsigned char>(size >> 8), static_cast<unsigned char>(size)};
    bufferevent_write(events, prefix.data(), prefix.size());
    bufferevent_write(events, bytes.data(), bytes.size());
}

void PeerStream::readable(bufferevent *, void *target)
{
    auto *connection = static_cast<Connection *>(target);
    connection->stream->readFrom(*connection);
}

void PeerStream::ended(bufferevent *, short what, void *target)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        return;
    }
    auto *connection = static_cast<Connection *>(target);
    connection->stream->close(connection->id);
}

} // namespace radishvane::drivers
