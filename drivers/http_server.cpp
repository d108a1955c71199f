#include "drivers/http_server.h"

#include "core/base/enum_names.h"
#include "drivers/evhttp_text.h"
#include "drivers/time_value.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <poll.h>

#include <utility>
#include <vector>

namespace radishvane::drivers
{

namespace
{

/// Time between two looks at the listening socket that is about to close.
constexpr Duration drainInterval{10};

bool hasWaitingCaller(evhttp_bound_socket *socket)
{
    pollfd listener{evhttp_bound_socket_get_fd(socket), POLLIN, 0};
    return poll(&listener, 1, 0) > 0;
}

constexpr ev_uint16_t allowedMethods
    = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH;

HttpRequest read(evhttp_request *request, ExchangeId id)
{
    HttpRequest result;
    result.id = id;
    result.method = toHttpMethod(evhttp_request_get_command(request));
    const std::string target = evhttp_request_get_uri(request);
    const auto question = target.find('?');
    result.path = target.substr(0, question);
    result.query = question == std::string::npos ? std::string() : target.substr(question + 1);
    result.headers = readHeaders(evhttp_request_get_input_headers(request));
    result.body = readBody(evhttp_request_get_input_buffer(request));
    return result;
}

} // namespace

HttpServer::HttpServer(EventLoop &loop, HttpLimits limits, RequestHandler onRequest, LeftHandler onLeft)
    : m_onRequest(std::move(onRequest))
    , m_onLeft(std::move(onLeft))
    , m_http(evhttp_new(loop.base()))
    , m_drainEvent(event_new(loop.base(), -1, EV_PERSIST, &HttpServer::closeWhenDrained, this))
{
    evhttp_set_allowed_methods(m_http, allowedMethods);
    evhttp_set_max_body_size(m_http, static_cast<ev_ssize_t>(limits.bodyBytes));
    evhttp_set_max_headers_size(m_http, static_cast<ev_ssize_t>(limits.headerBytes));
    evhttp_set_timeout(m_http, static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(limits.idle).count()));
    evhttp_set_gencb(m_http, &HttpServer::receive, this);
}

HttpServer::~HttpServer()
{
    close();
    event_free(m_drainEvent);
}

void HttpServer::close()
{
    if (m_http == nullptr) {
        return;
    }
    event_del(m_drainEvent);
    for (const auto &[connection, id] : m_connections) {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
    for (evhttp_connection *connection : m_writing) {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
    evhttp_free(m_http);
    m_http = nullptr;
    m_socket = nullptr;
    m_requests.clear();
    m_connections.clear();
    m_writing.clear();
}

bool HttpServer::listen(const Endpoint &endpoint)
{
    m_socket = evhttp_bind_socket_with_handle(m_http, endpoint.address.c_str(), endpoint.port);
    return m_socket != nullptr;
}

void HttpServer::closeAfterAnswers()
{
    m_closing = true;
}

void HttpServer::stopAccepting()
{
    m_closing = true;
    if (m_socket != nullptr) {
        const timeval wait = toTimeval(drainInterval);
        event_add(m_drainEvent, &wait);
    }
}

void HttpServer::closeWhenDrained(int, short, void *self)
{
    auto *server = static_cast<HttpServer *>(self);
    if (hasWaitingCaller(server->m_socket)) {
        // Closing now would reset a caller whose request may already be on its way.
        return;
    }
    event_del(server->m_drainEvent);
    evhttp_del_accept_socket(server->m_http, server->m_socket);
    server->m_socket = nullptr;
    server->reportIdle();
}

void HttpServer::answer(ExchangeId id, const HttpAnswer &answer)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    evhttp_request *request = found->second;
    m_requests.erase(found);
    evhttp_connection *connection = evhttp_request_get_connection(request);
    m_connections.erase(connection);
    m_writing.insert(connection);
    evhttp_request_set_on_complete_cb(request, &HttpServer::written, this);
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    for (const HttpHeader &header : answer.headers) {
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    }
    if (m_closing) {
        evhttp_add_header(headers, "Connection", "close");
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), answer.body.data(), answer.body.size());
    evhttp_send_reply(request, answer.status, nullptr, nullptr);
}

void HttpServer::answerAll(const HttpAnswer &answer)
{
    std::vector<ExchangeId> exchanges;
    exchanges.reserve(m_requests.size());
    for (const auto &[id, request] : m_requests) {
        exchanges.push_back(id);
    }
    for (const ExchangeId id : exchanges) {
        this->answer(id, answer);
    }
}

std::size_t HttpServer::open() const
{
    return m_requests.size() + m_writing.size();
}

void HttpServer::notifyWhenIdle(std::function<void()> onIdle)
{
    m_onIdle = std::move(onIdle);
    reportIdle();
}

bool HttpServer::isIdle() const
{
    return open() == 0 && event_pending(m_drainEvent, EV_TIMEOUT, nullptr) == 0;
}

void HttpServer::reportIdle()
{
    if (m_onIdle && isIdle()) {
        std::exchange(m_onIdle, nullptr)();
    }
}

void HttpServer::receive(evhttp_request *request, void *self)
{
    static_cast<HttpServer *>(self)->take(request);
}

void HttpServer::closed(evhttp_connection *connection, void *self)
{
    auto *server = static_cast<HttpServer *>(self);
    server->m_writing.erase(connection);
    const auto found = server->m_connections.find(connection);
    if (found != server->m_connections.end()) {
        const ExchangeId id = found->second;
        server->m_connections.erase(found);
        server->m_requests.erase(id);
        server->m_onLeft(id);
    }
    server->reportIdle();
}

void HttpServer::written(evhttp_request *request, void *self)
{
    auto *server = static_cast<HttpServer *>(self);
    evhttp_connection *connection = evhttp_request_get_connection(request);
    server->m_writing.erase(connection);
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    server->reportIdle();
}

void HttpServer::take(evhttp_request *request)
{
    const ExchangeId id{++m_lastId};
    evhttp_connection *connection = evhttp_request_get_connection(request);
    m_requests.emplace(id, request);
    m_connections.emplace(connection, id);
    evhttp_connection_set_closecb(connection, &HttpServer::closed, this);
    m_onRequest(read(request, id));
}

} // namespace radishvane::drivers
