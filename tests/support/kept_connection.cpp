#include "tests/support/kept_connection.h"

#include <array>
#include <cerrno>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace radishvane::tests
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Size of the whole answer, or 0 while its header is incomplete.
std::size_t answerSize(const std::string &received)
{
    const std::size_t headerEnd = received.find("\r\n\r\n");
    if (headerEnd == std::string::npos) {
        return 0;
    }
    const std::size_t length = received.find("Content-Length: ");
    return headerEnd + 4 + (length < headerEnd ? std::stoul(received.substr(length + 16)) : 0);
}

} // namespace

KeptConnection::~KeptConnection()
{
    close();
}

void KeptConnection::close()
{
    if (m_socket >= 0) {
        ::close(m_socket);
        m_socket = -1;
    }
}

bool KeptConnection::isOpen()
{
    char byte = 0;
    if (m_socket >= 0 && (recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || errno != EAGAIN)) {
        close();
    }
    return m_socket >= 0;
}

bool KeptConnection::connect(int port, milliseconds timeout)
{
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // Bounds the connect as well, which a full backlog would hold up.
    const timeval bound{timeout.count() / 1'000, timeout.count() % 1'000 * 1'000};
    setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &bound, sizeof bound);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close();
    }
    return m_socket >= 0;
}

CallResult KeptConnection::call(int port, const std::string &request, milliseconds timeout)
{
    if (!isOpen() && !connect(port, timeout)) {
        return {};
    }
    const ssize_t sent = send(m_socket, request.data(), request.size(), MSG_NOSIGNAL);
    CallResult result
        = sent == static_cast<ssize_t>(request.size()) ? read(timeout) : CallResult{CallEnd::Unread, 0, {}};
    if (result.end != CallEnd::Answered) {
        close();
    }
    return result;
}

CallResult KeptConnection::ended(const std::string &received) const
{
    // A host that closes a connection with unread bytes resets it; the reset may follow the end of the stream.
    constexpr milliseconds resetDelay{50};
    std::this_thread::sleep_for(resetDelay);
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size);
    return {received.empty() && error != 0 ? CallEnd::Unread : CallEnd::Cut, 0, received};
}

CallResult KeptConnection::read(milliseconds timeout)
{
    const auto until = steady_clock::now() + timeout;
    std::string received;
    std::array<char, 4'096> bytes{};
    while (steady_clock::now() < until) {
        pollfd waiting{m_socket, POLLIN, 0};
        const auto left = std::chrono::duration_cast<milliseconds>(until - steady_clock::now());
        if (poll(&waiting, 1, static_cast<int>(left.count()) + 1) <= 0) {
            continue;
        }
        const ssize_t count = recv(m_socket, bytes.data(), bytes.size(), 0);
        if (count == 0) {
            return ended(received);
        }
        if (count < 0) {
            return {received.empty() ? CallEnd::Unread : CallEnd::Cut, 0, received};
        }
        received.append(bytes.data(), static_cast<std::size_t>(count));
        const std::size_t size = answerSize(received);
        if (size > 0 && received.size() >= size) {
            CallResult result{CallEnd::Answered, std::stoi(received.substr(9)),
                              received.substr(received.find("\r\n\r\n") + 4)};
            if (received.find("Connection: close") < received.find("\r\n\r\n")) {
                close();
            }
            return result;
        }
    }
    return {CallEnd::TimedOut, 0, {}};
}

} // namespace radishvane::tests
