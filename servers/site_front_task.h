#pragma once

#include "core/cells/call_authorizer.h"
#include "core/cells/owner_contact.h"
#include "core/stop/host_stop_controller.h"
#include "drivers/event_log.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "drivers/mailbox.h"
#include "servers/site_messages.h"

#include <sigc++/signal.h>

#include <map>
#include <variant>

namespace radishvane::servers
{

/// No call is open at the ports of a host that is about to end.
struct CallsEnded
{
};

/// Owns the ports of callers, of the balancer and of other entry hosts. Checks calls, and passes them to the cell's
/// owner, which may be this process.
class SiteFrontTask
{
public:
    using Message = std::variant<cells::SiteConfigPtr, OperatorContact, OwnerKnown, cells::AnswerCall,
                                 cells::RequestHandover, StopStage, CallsEnded>;

    struct Ports
    {
        Endpoint callers;
        Endpoint ready;
        Endpoint link;
    };

    /// Longest wait for the owner's answer.
    static constexpr Duration ownerTimeout{2'200};
    /// When a refused caller had best come back.
    static constexpr Duration retryAfter{1'000};
    /// Interval at which the number of open requests is told.
    static constexpr Duration statusInterval{100};
    /// Interval at which the age of what is believed is told.
    static constexpr Duration agesInterval{1'000};

    SiteFrontTask(drivers::EventLoop &loop, const Clock &clock, drivers::EventLog &log, Ports ports,
                  Duration keysWithin);

    /// @return the name of the port that cannot be bound; empty when all are.
    std::string listen();
    void post(Message message);

    sigc::signal<void(const CellQuestion &)> asked;
    sigc::signal<void(const cells::HandoverAnswered &)> handoverAnswered;
    sigc::signal<void(const OpenCallsCounted &)> openCallsCounted;
    /// Every call has its answer, the answers are written, and the ports are closed.
    sigc::signal<void()> openCallsAnswered;
    sigc::signal<void(const CallMeasured &)> callMeasured;
    sigc::signal<void(const BeliefAges &)> agesChanged;
    sigc::signal<void(const TaskLoadPtr &)> loadMeasured;

private:
    /// Where a question came from, and so where its answer goes.
    enum class Source {
        Caller,
        Link,
        /// The cell of this process, which is not the owner.
        Cell,
    };

    struct Open
    {
        Source source = Source::Caller;
        /// Id at the server or the cell that it came from.
        ExchangeId exchange;
        std::string subject;
        /// What the caller is told if the cell's owner does not answer.
        cells::CallAnswer inDoubt = cells::CallAnswer::Unavailable;
        TimePoint since;
    };

    void on(const cells::SiteConfigPtr &message);
    void on(const OperatorContact &message);
    void on(const OwnerKnown &message);
    void on(const cells::AnswerCall &message);
    void on(const cells::RequestHandover &message);
    void on(const StopStage &message);
    void on(const CallsEnded &message);

    void take(const drivers::HttpRequest &request);
    void pass(const cells::AuthorizedCall &pass, const drivers::HttpRequest &request);
    void takeLink(const drivers::HttpRequest &request);
    void forward(const CellQuestion &question, ExchangeId id, Duration timeout);
    /// Asks the owner for an answer that needs no store.
    void probeOwner();
    void noteOwner(bool isSilent);
    void settle(const cells::AnswerCall &answer);
    void answerOpenCalls();
    void closeWhenIdle();
    bool isReady() const;
    void tellStatus();
    void onTick();

    const Clock &m_clock;
    drivers::EventLog &m_log;
    Ports m_ports;
    cells::CallAuthorizer m_authorizer;
    OwnerKnown m_owner;
    cells::OwnerContact m_contact;
    bool m_wasSilent = false;
    StopStage m_stage = StopStage::Serving;
    bool m_wasReady = false;
    TimePoint m_nextAges;
    std::uint64_t m_lastId = 0;
    std::map<ExchangeId, Open> m_open;
    drivers::TaskStatistics m_statistics;
    drivers::HttpServer m_callers;
    drivers::HttpServer m_ready;
    drivers::HttpServer m_link;
    drivers::HttpClient m_http;
    drivers::Mailbox<Message> m_mailbox;
    drivers::Timer m_timer;
};

} // namespace radishvane::servers
