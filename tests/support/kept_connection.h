#pragma once

#include <chrono>
#include <string>

namespace radishvane::tests
{

/// How a call on a kept connection ended.
enum class CallEnd {
    Answered,
    /// The host takes no connections.
    NotConnected,
    /// The connection ended before the host had read the whole request.
    Unread,
    /// The host had read the whole request, and the connection ended without a whole answer.
    Cut,
    TimedOut,
};

struct CallResult
{
    CallEnd end = CallEnd::NotConnected;
    /// HTTP status; 0 without an answer.
    int status = 0;
    std::string body;
};

/// A caller's connection to one port on loopback, used until the host closes it or is gone.
class KeptConnection
{
public:
    KeptConnection() = default;
    ~KeptConnection();
    KeptConnection(const KeptConnection &) = delete;
    KeptConnection &operator=(const KeptConnection &) = delete;

    /// Sends a whole request and waits for its answer; connects first if there is no connection.
    CallResult call(int port, const std::string &request, std::chrono::milliseconds timeout);
    bool isOpen();
    void close();

private:
    bool connect(int port, std::chrono::milliseconds timeout);
    CallResult ended(const std::string &received) const;
    CallResult read(std::chrono::milliseconds timeout);

    int m_socket = -1;
};

} // namespace radishvane::tests
