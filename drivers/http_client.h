#pragma once

#include "drivers/event_loop.h"
#include "drivers/http_types.h"
#include "drivers/task_statistics.h"

#include <cstdint>
#include <functional>
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
    static constexpr std::size_t mostAnswerBytes = 16 << 20;

    /// @param statistics counts the calls and the time of their handlers if not null, and has to outlive the client.
    explicit HttpClient(EventLoop &loop, TaskStatistics *statistics = nullptr);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call; the handler runs once, later, on the event loop.
    void send(const HttpCall &call, OutcomeHandler onOutcome);
    std::size_t open() const;

private:
    struct Exchange;

    evhttp_connection *connect(const HttpCall &call);
    void finish(Exchange &exchange, evhttp_request *request);
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
    std::map<Endpoint, std::vector<evhttp_connection *>> m_idle;
    std::vector<evhttp_connection *> m_closing;
    event *m_closeEvent;
};

} // namespace radishvane::drivers
