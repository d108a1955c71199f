#pragma once

#include "drivers/event_loop.h"
#include "drivers/http_types.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>

struct evhttp;
struct evhttp_request;
struct evhttp_connection;
struct evhttp_bound_socket;
struct event;

namespace radishvane::drivers
{

/// Bounds on what a caller may send.
struct HttpLimits
{
    std::size_t bodyBytes = 1 << 20;
    std::size_t headerBytes = 16 << 10;
    /// Time for a caller to send or take bytes before its connection is closed.
    Duration idle{60'000};
};

/// An HTTP/1.1 server on one event loop. Requests are addressed by ids and answered at any later time.
class HttpServer
{
public:
    using RequestHandler = std::function<void(HttpRequest &&)>;
    using LeftHandler = std::function<void(ExchangeId)>;

    HttpServer(EventLoop &loop, HttpLimits limits, RequestHandler onRequest, LeftHandler onLeft);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// @return false when the address cannot be bound.
    bool listen(const Endpoint &endpoint);
    /// From now on each connection closes after its next answer; new ones are still accepted.
    void closeAfterAnswers();
    /// Takes the callers whom the kernel has already accepted, and then no more. Open exchanges go on, and their
    /// connections close after the answer.
    void stopAccepting();
    /// Answers an exchange once; ignored when the caller has left.
    void answer(ExchangeId id, const HttpAnswer &answer);
    /// Answers each exchange that has no answer yet.
    void answerAll(const HttpAnswer &answer);
    /// Number of exchanges without an answer, or with one that is not written completely.
    std::size_t open() const;
    /// Calls @p onIdle once, as soon as no exchange is open and no caller waits at a listening socket that is to close.
    void notifyWhenIdle(std::function<void()> onIdle);
    /// Closes the listening socket and all connections. Not to be called from a handler of this server.
    void close();

private:
    static void receive(evhttp_request *request, void *self);
    static void written(evhttp_request *request, void *self);
    static void closed(evhttp_connection *connection, void *self);
    static void closeWhenDrained(int, short, void *self);
    void take(evhttp_request *request);
    bool isIdle() const;
    void reportIdle();

    RequestHandler m_onRequest;
    LeftHandler m_onLeft;
    /// Null once the server is closed.
    evhttp *m_http;
    evhttp_bound_socket *m_socket = nullptr;
    event *m_drainEvent;
    std::uint64_t m_lastId = 0;
    bool m_closing = false;
    std::unordered_map<ExchangeId, evhttp_request *> m_requests;
    std::unordered_map<evhttp_connection *, ExchangeId> m_connections;
    /// Connections with an answer that is not written completely.
    std::unordered_set<evhttp_connection *> m_writing;
    std::function<void()> m_onIdle;
};

} // namespace radishvane::drivers
