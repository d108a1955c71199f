#pragma once

#include "drivers/caller_http.h"
#include "drivers/http_server.h"
#include "drivers/mailbox.h"
#include "servers/task_messages.h"

#include <sigc++/signal.h>

#include <variant>

namespace radishvane::servers
{

/// Bind the callers' port, when it is not bound yet.
struct StartAccepting
{
    Endpoint endpoint;
};

/// Close each connection after its next answer, so that callers go to other entry hosts.
struct CloseAfterAnswers
{
};

/// Accept no more connections.
struct StopAccepting
{
};

/// Answer each request that no other task has answered: its outcome is unknown.
struct AnswerRemaining
{
};

/// No request is open at the port of a host that is about to end.
struct RequestsEnded
{
};

/// Owns the callers' port: reads requests and writes answers, and decides nothing about them.
class FrontTask
{
public:
    using Message
        = std::variant<AnswerCaller, StartAccepting, CloseAfterAnswers, StopAccepting, AnswerRemaining, RequestsEnded>;

    FrontTask(drivers::EventLoop &loop, drivers::HttpLimits limits);

    void post(Message message);

    sigc::signal<void(const drivers::CallerRequest &)> requestCame;
    sigc::signal<void(const drivers::HttpRequest &)> jobRequestCame;
    sigc::signal<void(ExchangeId)> callerLeft;
    /// Every request has its answer, the answers are written, and the port is closed.
    sigc::signal<void()> openCallsAnswered;

private:
    void on(const AnswerCaller &message);
    void on(const StartAccepting &message);
    void on(const CloseAfterAnswers &message);
    void on(const StopAccepting &message);
    void on(const AnswerRemaining &message);
    void on(const RequestsEnded &message);
    void closeWhenIdle();
    void receive(drivers::HttpRequest &&http);

    std::size_t m_bodyBytes;
    bool m_accepting = false;
    bool m_stopping = false;
    drivers::HttpServer m_server;
    drivers::Mailbox<Message> m_mailbox;
};

} // namespace radishvane::servers
