#pragma once

#include "core/base/clock.h"
#include "core/messages/peer_messages.h"
#include "drivers/event_loop.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

struct bufferevent;
struct evconnlistener;

namespace radishvane::drivers
{

/// Questions and answers between entry hosts over TCP: one question and one answer a connection.
class PeerStream
{
public:
    /// Answers a question, or nothing to close the connection.
    using QuestionHandler = std::function<std::optional<PeerStreamMessage>(const PeerStreamMessage &)>;
    using AnswerHandler = std::function<void(const PeerStreamMessage &)>;

    /// Time without progress after which a connection is closed.
    static constexpr Duration idleTimeout{3'000};
    /// Connections open at one time, so that strangers cannot use up the process.
    static constexpr std::size_t mostConnections = 64;

    PeerStream(EventLoop &loop, QuestionHandler onQuestion, AnswerHandler onAnswer);
    ~PeerStream();
    PeerStream(const PeerStream &) = delete;
    PeerStream &operator=(const PeerStream &) = delete;

    /// @return false when the address cannot be bound.
    bool listen(const Endpoint &endpoint);
    /// Asks another entry host; no answer comes when it cannot be reached.
    void ask(const Endpoint &endpoint, const PeerStreamMessage &question);

private:
    struct Connection
    {
        PeerStream *stream = nullptr;
        std::uint64_t id = 0;
        bufferevent *events = nullptr;
        bool asked = false;
    };

    Connection &open(int socket, bool asked);
    void close(std::uint64_t id);
    void readFrom(Connection &connection);
    void onMessage(Connection &connection, std::string_view bytes);
    static void write(bufferevent *events, const PeerStreamMessage &message);
    static void readable(bufferevent *events, void *target);
    static void ended(bufferevent *events, short what, void *target);

    EventLoop &m_loop;
    QuestionHandler m_onQuestion;
    AnswerHandler m_onAnswer;
    evconnlistener *m_listener = nullptr;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, Connection> m_connections;
};

} // namespace radishvane::drivers
