#pragma once

#include "drivers/event_loop.h"
#include "drivers/http_types.h"
#include "drivers/task_statistics.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

struct event;
struct evhttp_connection;
struct evhttp_request;

namespace radishvane::drivers
{

/// Why no whole answer came.
enum class HttpFailure {
    /// No byte of the request was written.
    NotSent,
    /// The connection ended after bytes were written.
    ConnectionLost,
    TimedOut,
    /// The answer has no length, so that its end cannot be told from a lost connection.
    AnswerIncomplete,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 4> httpFailureNames{"not-sent", "connection-lost", "timed-out",
                                                                  "answer-incomplete"};

struct HttpCall
{
    Endpoint endpoint;
    HttpMethod method = HttpMethod::Get;
    /// Path with the query.
    std::string target;
    HttpHeaders headers;
    std::string body;
    Duration timeout{1'000};
    /// Takes a connection that no other call has used, and uses it for no other call.
    bool freshConnection = false;
    /// When not empty, sent as X-Request-Id; the connection is used again only when the answer repeats it.
    std::string requestId;
    /// Under which the call is counted.
    PeerKind peer = PeerKind::Other;
    /// Long poll: the peer may delay its answer by this time, which the timeout includes.
    Duration answerDelay{0};
};

using HttpOutcome = std::variant<HttpAnswer, HttpFailure>;

/// HTTP/1.1 calls from one event loop. Each call owns its connection until its outcome.
class HttpClient
{
public:
    using OutcomeHandler = std::function<void(HttpOutcome &&)>;

    /// Connections kept open to one endpoint for later calls.
    static constexpr std::size_t mostIdlePerEndpoint = 16;
    /// An idle connection is closed after this time.
    static constexpr Duration idleTimeout{3'000};
    static constexpr std::size_t mostAnswerBytes = 16 << 20;

    /// @param statistics counts the calls and the time of their handlers if not null, and has to outlive the client.
    /// @param mostPerEndpoint limit of the calls to one endpoint that are under way. Further calls wait in order. One
    ///        that waits longer than its timeout ends as not sent; the timeout starts anew when the call is sent.
    explicit HttpClient(EventLoop &loop, TaskStatistics *statistics = nullptr,
                        std::size_t mostPerEndpoint = std::numeric_limits<std::size_t>::max());
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call; the handler runs once, later, on the event loop.
    void send(const HttpCall &call, OutcomeHandler onOutcome);
    std::size_t open() const;

private:
    struct Exchange;

    /// The connections to one endpoint, and the calls that wait for one.
    struct Peer
    {
        std::vector<evhttp_connection *> idle;
        std::size_t active = 0;
        std::deque<std::unique_ptr<Exchange>> waiting;
    };

    void dispatch(std::unique_ptr<Exchange> exchange);
    void dispatchWaiting(const Endpoint &endpoint);
    void expire(Exchange &exchange);
    evhttp_connection *connect(const HttpCall &call);
    void finish(Exchange &exchange, evhttp_request *request);
    void handOver(Exchange &exchange, HttpOutcome &&outcome);
    HttpOutcome outcomeOf(const Exchange &exchange, evhttp_request *request) const;
    void countWritten(Exchange &exchange, std::size_t bytes) const;
    void countEnd(Exchange &exchange, const HttpOutcome &outcome) const;
    void keepOrClose(const Exchange &exchange, const HttpOutcome &outcome);
    void closeLater(evhttp_connection *connection);
    static void done(evhttp_request *request, void *target);
    static void idleClosed(evhttp_connection *connection, void *self);

    EventLoop &m_loop;
    TaskStatistics *m_statistics;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> m_exchanges;
    std::size_t m_mostPerEndpoint;
    std::map<Endpoint, Peer> m_peers;
    std::vector<evhttp_connection *> m_closing;
    event *m_closeEvent;
};

} // namespace radishvane::drivers
