#include "drivers/http_client.h"

#include "core/base/overloaded.h"
#include "drivers/evhttp_text.h"
#include "drivers/time_value.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>

namespace radishvane::drivers
{

namespace
{

constexpr auto requestIdHeader = "X-Request-Id";

struct evbuffer *outputOf(evhttp_connection *connection)
{
    return bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
}

CallEnd endOf(const HttpOutcome &outcome)
{
    return std::visit(Overloaded{
                          [](const HttpAnswer &) { return CallEnd::Answered; },
                          [](HttpFailure failure) {
                              switch (failure) {
                              case HttpFailure::NotSent:
                                  return CallEnd::NotSent;
                              case HttpFailure::ConnectionLost:
                                  return CallEnd::ConnectionLost;
                              case HttpFailure::TimedOut:
                                  return CallEnd::TimedOut;
                              case HttpFailure::AnswerIncomplete:
                                  break;
                              }
                              return CallEnd::AnswerIncomplete;
                          },
                      },
                      outcome);
}

bool hasLength(evhttp_request *request)
{
    evkeyvalq *headers = evhttp_request_get_input_headers(request);
    const int status = evhttp_request_get_response_code(request);
    const bool bodiless = status == 204 || status == 304 || evhttp_request_get_command(request) == EVHTTP_REQ_HEAD;
    return bodiless || evhttp_find_header(headers, "Content-Length") != nullptr
        || evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
}

} // namespace

struct HttpClient::Exchange
{
    HttpClient *client = nullptr;
    std::uint64_t id = 0;
    HttpCall call;
    OutcomeHandler onOutcome;
    evhttp_connection *connection = nullptr;
    evbuffer_cb_entry *watch = nullptr;
    /// Ends the wait for a connection; only while the call waits.
    event *expiry = nullptr;
    bool written = false;
    bool timedOut = false;
    CallStatistics::Call counted;
};

HttpClient::HttpClient(EventLoop &loop, TaskStatistics *statistics, std::size_t mostPerEndpoint)
    : m_loop(loop)
    , m_statistics(statistics)
    , m_mostPerEndpoint(mostPerEndpoint)
    , m_closeEvent(event_new(
          loop.base(), -1, 0,
          [](evutil_socket_t, short, void *self) {
              auto *client = static_cast<HttpClient *>(self);
              for (evhttp_connection *connection : client->m_closing) {
                  evhttp_connection_free(connection);
              }
              client->m_closing.clear();
          },
          this))
{
}

HttpClient::~HttpClient()
{
    event_free(m_closeEvent);
    for (evhttp_connection *connection : m_closing) {
        evhttp_connection_free(connection);
    }
    for (auto &[endpoint, peer] : m_peers) {
        for (evhttp_connection *connection : peer.idle) {
            evhttp_connection_set_closecb(connection, nullptr, nullptr);
            evhttp_connection_free(connection);
        }
        for (const std::unique_ptr<Exchange> &exchange : peer.waiting) {
            event_free(exchange->expiry);
        }
    }
    for (auto &[id, exchange] : m_exchanges) {
        // Freeing a connection ends its request, whose handler must not run any more.
        exchange->client = nullptr;
        evhttp_connection_free(exchange->connection);
    }
}

void HttpClient::send(const HttpCall &call, OutcomeHandler onOutcome)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->client = this;
    exchange->id = ++m_lastId;
    exchange->call = call;
    exchange->onOutcome = std::move(onOutcome);
    if (m_statistics != nullptr) {
        exchange->counted = m_statistics->calls().start(call.peer, call.answerDelay > Duration{0});
    }
    Peer &peer = m_peers[call.endpoint];
    if (peer.active < m_mostPerEndpoint) {
        dispatch(std::move(exchange));
        return;
    }
    exchange->expiry = evtimer_new(
        m_loop.base(),
        [](evutil_socket_t, short, void *target) {
            auto *waiting = static_cast<Exchange *>(target);
            waiting->client->expire(*waiting);
        },
        exchange.get());
    const timeval timeout = toTimeval(call.timeout);
    evtimer_add(exchange->expiry, &timeout);
    peer.waiting.push_back(std::move(exchange));
}

void HttpClient::expire(Exchange &exchange)
{
    std::deque<std::unique_ptr<Exchange>> &waiting = m_peers[exchange.call.endpoint].waiting;
    const auto found = std::find_if(waiting.begin(), waiting.end(),
                                    [&exchange](const auto &candidate) { return candidate.get() == &exchange; });
    const std::unique_ptr<Exchange> ended = std::move(*found);
    waiting.erase(found);
    event_free(ended->expiry);
    HttpOutcome outcome = HttpFailure::NotSent;
    countEnd(*ended, outcome);
    handOver(*ended, std::move(outcome));
}

void HttpClient::dispatchWaiting(const Endpoint &endpoint)
{
    Peer &peer = m_peers[endpoint];
    if (peer.waiting.empty() || peer.active >= m_mostPerEndpoint) {
        return;
    }
    std::unique_ptr<Exchange> next = std::move(peer.waiting.front());
    peer.waiting.pop_front();
    event_free(next->expiry);
    next->expiry = nullptr;
    dispatch(std::move(next));
}

void HttpClient::dispatch(std::unique_ptr<Exchange> exchange)
{
    const HttpCall &call = exchange->call;
    ++m_peers[call.endpoint].active;
    exchange->connection = connect(call);
    exchange->watch = evbuffer_add_cb(
        outputOf(exchange->connection),
        [](evbuffer *, const evbuffer_cb_info *info, void *target) {
            auto *watched = static_cast<Exchange *>(target);
            // Bytes that are queued may be written at any moment, so they already count.
            watched->written = watched->written || info->n_added > 0;
            if (watched->client != nullptr && info->n_deleted > 0) {
                watched->client->countWritten(*watched, info->n_deleted);
            }
        },
        exchange.get());

    evhttp_request *request = evhttp_request_new(&HttpClient::done, exchange.get());
    evhttp_request_set_error_cb(request, [](evhttp_request_error error, void *target) {
        static_cast<Exchange *>(target)->timedOut = error == EVREQ_HTTP_TIMEOUT;
    });
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    for (const HttpHeader &header : call.headers) {
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    }
    if (!call.requestId.empty()) {
        evhttp_add_header(headers, requestIdHeader, call.requestId.c_str());
    }
    const std::string host = call.endpoint.address + ':' + std::to_string(call.endpoint.port);
    evhttp_add_header(headers, "Host", host.c_str());
    if (call.freshConnection) {
        evhttp_add_header(headers, "Connection", "close");
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
    const timeval timeout = toTimeval(call.timeout);
    evhttp_connection_set_timeout_tv(exchange->connection, &timeout);
    evhttp_connection *connection = exchange->connection;
    const evhttp_cmd_type command = toCommand(call.method);
    const std::string target = call.target;
    m_exchanges.emplace(exchange->id, std::move(exchange));
    evhttp_make_request(connection, request, command, target.c_str());
}

std::size_t HttpClient::open() const
{
    return m_exchanges.size();
}

evhttp_connection *HttpClient::connect(const HttpCall &call)
{
    std::vector<evhttp_connection *> &idle = m_peers[call.endpoint].idle;
    if (!call.freshConnection && !idle.empty()) {
        evhttp_connection *connection = idle.back();
        idle.pop_back();
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        return connection;
    }
    evhttp_connection *connection
        = evhttp_connection_base_new(m_loop.base(), nullptr, call.endpoint.address.c_str(), call.endpoint.port);
    evhttp_connection_set_max_body_size(connection, static_cast<ev_ssize_t>(mostAnswerBytes));
    return connection;
}

void HttpClient::done(evhttp_request *request, void *target)
{
    auto *exchange = static_cast<Exchange *>(target);
    if (exchange->client != nullptr) {
        exchange->client->finish(*exchange, request);
    }
}

void HttpClient::finish(Exchange &exchange, evhttp_request *request)
{
    evbuffer_remove_cb_entry(outputOf(exchange.connection), exchange.watch);
    HttpOutcome outcome = outcomeOf(exchange, request);
    countEnd(exchange, outcome);
    keepOrClose(exchange, outcome);
    const auto found = m_exchanges.find(exchange.id);
    const std::unique_ptr<Exchange> ended = std::move(found->second);
    m_exchanges.erase(found);
    --m_peers[ended->call.endpoint].active;
    dispatchWaiting(ended->call.endpoint);
    handOver(*ended, std::move(outcome));
}

void HttpClient::handOver(Exchange &exchange, HttpOutcome &&outcome)
{
    const auto handle = [&] {
        exchange.onOutcome(std::move(outcome));
    };
    if (m_statistics != nullptr) {
        m_statistics->measure(handle);
    } else {
        handle();
    }
}

HttpOutcome HttpClient::outcomeOf(const Exchange &exchange, evhttp_request *request) const
{
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        if (!exchange.written) {
            return HttpFailure::NotSent;
        }
        return exchange.timedOut ? HttpFailure::TimedOut : HttpFailure::ConnectionLost;
    }
    if (!hasLength(request)) {
        return HttpFailure::AnswerIncomplete;
    }
    HttpAnswer answer;
    answer.status = evhttp_request_get_response_code(request);
    answer.headers = readHeaders(evhttp_request_get_input_headers(request));
    answer.body = readBody(evhttp_request_get_input_buffer(request));
    if (!exchange.call.requestId.empty()) {
        const std::string repeated = headerValue(answer.headers, requestIdHeader);
        if (!repeated.empty() && repeated != exchange.call.requestId) {
            return HttpFailure::AnswerIncomplete;
        }
    }
    return answer;
}

void HttpClient::countWritten(Exchange &exchange, std::size_t bytes) const
{
    // The library also empties the buffer of a connection that it has closed.
    const bool isOpen = bufferevent_getfd(evhttp_connection_get_bufferevent(exchange.connection)) >= 0;
    if (m_statistics != nullptr && isOpen) {
        m_statistics->calls().write(exchange.counted, bytes, evbuffer_get_length(outputOf(exchange.connection)) == 0);
    }
}

void HttpClient::countEnd(Exchange &exchange, const HttpOutcome &outcome) const
{
    if (m_statistics == nullptr) {
        return;
    }
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    m_statistics->calls().end(exchange.counted, endOf(outcome), answer == nullptr ? 0 : answer->body.size());
}

void HttpClient::keepOrClose(const Exchange &exchange, const HttpOutcome &outcome)
{
    evhttp_connection *connection = exchange.connection;
    const auto *answer = std::get_if<HttpAnswer>(&outcome);
    std::vector<evhttp_connection *> &idle = m_peers[exchange.call.endpoint].idle;
    const bool repeatsId = answer != nullptr
        && (exchange.call.requestId.empty()
            || headerValue(answer->headers, requestIdHeader) == exchange.call.requestId);
    // Bytes after the answer belong to nobody, and the next call must not take them for its own answer.
    const bool clean = answer != nullptr
        && evbuffer_get_length(bufferevent_get_input(evhttp_connection_get_bufferevent(connection))) == 0
        && headerValue(answer->headers, "Connection") != "close";
    if (exchange.call.freshConnection || !repeatsId || !clean || idle.size() >= mostIdlePerEndpoint) {
        closeLater(connection);
        return;
    }
    const timeval timeout = toTimeval(idleTimeout);
    evhttp_connection_set_timeout_tv(connection, &timeout);
    evhttp_connection_set_closecb(connection, &HttpClient::idleClosed, this);
    idle.push_back(connection);
}

void HttpClient::closeLater(evhttp_connection *connection)
{
    // The library still uses the connection while it calls back.
    m_closing.push_back(connection);
    event_active(m_closeEvent, EV_TIMEOUT, 0);
}

void HttpClient::idleClosed(evhttp_connection *connection, void *self)
{
    auto *client = static_cast<HttpClient *>(self);
    for (auto &[endpoint, peer] : client->m_peers) {
        std::vector<evhttp_connection *> &idle = peer.idle;
        const auto found = std::find(idle.begin(), idle.end(), connection);
        if (found != idle.end()) {
            idle.erase(found);
            evhttp_connection_set_closecb(connection, nullptr, nullptr);
            client->closeLater(connection);
            return;
        }
    }
}

} // namespace radishvane::drivers
