#include "servers/site_front_task.h"

#include "core/base/enum_names.h"
#include "core/base/overloaded.h"
#include "drivers/cell_codec.h"
#include "platform/caller_wire.h"

namespace radishvane::servers
{

namespace
{

constexpr auto linkPath = "/cell";

std::string subjectOf(const CellQuestion &question)
{
    return std::visit(Overloaded{
                          [](const cells::SubmitJob &ask) { return ask.id.name(); },
                          [](const cells::QueryJob &ask) { return ask.id.name(); },
                          [](const cells::CancelJob &ask) { return ask.id.name(); },
                          [](const cells::QueryPending &ask) { return ask.queue.name(); },
                          [](const cells::RequestHandover &ask) { return ask.host.name(); },
                      },
                      question);
}

/// What a caller is told when the owner's answer did not come.
cells::CallAnswer answerInDoubt(const CellQuestion &question)
{
    return std::visit(Overloaded{
                          [](const cells::SubmitJob &) { return cells::CallAnswer::InDoubt; },
                          [](const cells::QueryJob &) { return cells::CallAnswer::Unavailable; },
                          [](const cells::CancelJob &) { return cells::CallAnswer::InDoubt; },
                          [](const cells::QueryPending &) { return cells::CallAnswer::Unavailable; },
                          [](const cells::RequestHandover &) { return cells::CallAnswer::Unavailable; },
                      },
                      question);
}

drivers::HttpCall linkCall(const Endpoint &link, const CellQuestion &question, Duration timeout)
{
    drivers::HttpCall call;
    call.endpoint = link;
    call.peer = drivers::PeerKind::EntryHost;
    call.method = drivers::HttpMethod::Post;
    call.target = linkPath;
    call.body = drivers::encodeQuestion(question);
    call.timeout = timeout;
    return call;
}

/// For the log: whole milliseconds.
std::string inMilliseconds(TimePoint::duration time)
{
    return std::to_string(std::chrono::duration_cast<Duration>(time).count());
}

} // namespace

SiteFrontTask::SiteFrontTask(drivers::EventLoop &loop, const Clock &clock, drivers::EventLog &log, Ports ports,
                             Duration keysWithin)
    : m_clock(clock)
    , m_log(log)
    , m_ports(std::move(ports))
    , m_authorizer(keysWithin)
    , m_statistics(clock, statusInterval)
    , m_callers(
          loop, drivers::HttpLimits{},
          [this](drivers::HttpRequest &&request) { m_statistics.measure([&] { take(request); }); },
          [](ExchangeId) {
              // The question goes on: a job that was asked for is stored all the same.
          })
    , m_ready(
          loop, drivers::HttpLimits{},
          [this](drivers::HttpRequest &&request) { m_ready.answer(request.id, platform::readyAnswer(isReady())); },
          [](ExchangeId) {})
    , m_link(
          loop, drivers::HttpLimits{},
          [this](drivers::HttpRequest &&request) { m_statistics.measure([&] { takeLink(request); }); },
          [](ExchangeId) {})
    , m_http(loop, &m_statistics)
    , m_mailbox(loop,
                [this](Message &&message) {
                    m_statistics.measure(
                        [&] { std::visit([this](const auto &alternative) { on(alternative); }, message); });
                })
    , m_timer(loop, statusInterval, [this] { onTick(); })
{
}

std::string SiteFrontTask::listen()
{
    if (!m_callers.listen(m_ports.callers)) {
        return "listen";
    }
    if (!m_ready.listen(m_ports.ready)) {
        return "ready_listen";
    }
    return m_link.listen(m_ports.link) ? std::string() : std::string("link_listen");
}

void SiteFrontTask::post(Message message)
{
    m_mailbox.post(std::move(message));
}

void SiteFrontTask::on(const cells::SiteConfigPtr &message)
{
    m_authorizer.observe(message);
}

void SiteFrontTask::on(const OperatorContact &message)
{
    m_authorizer.observeContact(message.asked);
}

void SiteFrontTask::on(const OwnerKnown &message)
{
    const bool isSame = m_owner.owner && message.owner && m_owner.owner->epoch == message.owner->epoch
        && m_owner.owner->host == message.owner->host;
    if (!isSame) {
        m_contact.changeOwner();
    }
    m_owner = message;
}

void SiteFrontTask::on(const StopStage &message)
{
    m_stage = message;
    switch (message) {
    case StopStage::Serving:
    case StopStage::Finishing:
    case StopStage::Stopped:
        return;
    case StopStage::Leaving:
        m_callers.closeAfterAnswers();
        m_link.closeAfterAnswers();
        return;
    case StopStage::Releasing:
        m_callers.stopAccepting();
        answerOpenCalls();
        return;
    }
}

void SiteFrontTask::answerOpenCalls()
{
    std::vector<cells::AnswerCall> answers;
    answers.reserve(m_open.size());
    for (const auto &[id, open] : m_open) {
        answers.push_back(cells::AnswerCall{id, open.inDoubt, {}, 0, retryAfter});
    }
    for (const cells::AnswerCall &answer : answers) {
        settle(answer);
    }
    closeWhenIdle();
}

void SiteFrontTask::closeWhenIdle()
{
    m_callers.notifyWhenIdle([this] { m_link.notifyWhenIdle([this] { m_mailbox.post(CallsEnded{}); }); });
}

void SiteFrontTask::on(const CallsEnded &)
{
    if (m_callers.open() + m_link.open() > 0) {
        // Another call has been read meanwhile.
        closeWhenIdle();
        return;
    }
    m_callers.close();
    m_link.close();
    openCallsAnswered.emit();
}

bool SiteFrontTask::isReady() const
{
    return m_stage == StopStage::Serving && m_authorizer.hasFreshKeys(m_clock.now());
}

void SiteFrontTask::take(const drivers::HttpRequest &request)
{
    const cells::CallRequest call = platform::readCallRequest(request);
    const bool isRefusing = m_stage != StopStage::Serving && m_stage != StopStage::Leaving;
    const cells::CallVerdict verdict
        = isRefusing ? cells::CallVerdict(cells::CallRefusal::Stopping) : m_authorizer.check(call, m_clock.now());
    std::visit(Overloaded{
                   [&](const cells::AuthorizedCall &passed) { pass(passed, request); },
                   [&](cells::CallRefusal refusal) {
                       m_log.line(
                           drivers::LogLevel::Info, drivers::HostEvent::CallRefused,
                           {{"subject", call.path},
                            {"reason", std::string(enumName(cells::callRefusalNames, refusal))},
                            {"config", std::to_string(m_authorizer.config() ? m_authorizer.config()->version : 0)},
                            {"contact_ms", inMilliseconds(m_clock.now() - m_authorizer.lastContact())}});
                       // Another host can serve the call at once.
                       const Duration delay = refusal == cells::CallRefusal::Stopping ? Duration{0} : retryAfter;
                       m_callers.answer(request.id, platform::refusalAnswer(refusal, delay));
                   },
               },
               verdict);
}

void SiteFrontTask::pass(const cells::AuthorizedCall &pass, const drivers::HttpRequest &request)
{
    const ExchangeId id{++m_lastId};
    CellQuestion question;
    switch (pass.kind) {
    case cells::CallKind::Submit: {
        auto spec = platform::readGraph(request.body);
        if (!spec) {
            m_log.line(drivers::LogLevel::Info, drivers::HostEvent::CallRefused,
                       {{"subject", pass.job.name()}, {"reason", spec.error()}});
            m_callers.answer(request.id, platform::badBodyAnswer(spec.error()));
            return;
        }
        question = cells::SubmitJob{id, pass.job, pass.queue, pass.team, std::move(spec.value())};
        break;
    }
    case cells::CallKind::Cancel:
        question = cells::CancelJob{id, pass.job};
        break;
    case cells::CallKind::Query:
    case cells::CallKind::Other:
        question = pass.job.empty() ? CellQuestion(cells::QueryPending{id, pass.queue})
                                    : CellQuestion(cells::QueryJob{id, pass.job});
        break;
    }
    m_open[id] = Open{Source::Caller, request.id, subjectOf(question), answerInDoubt(question), m_clock.now()};
    if (m_owner.isSelf) {
        asked.emit(question);
        return;
    }
    forward(question, id, std::min(platform::callerTimeout(request, ownerTimeout), ownerTimeout));
}

void SiteFrontTask::forward(const CellQuestion &question, ExchangeId id, Duration timeout)
{
    if (!m_owner.owner || m_owner.owner->host.empty()) {
        settle(cells::AnswerCall{id, cells::CallAnswer::Unavailable, {}, 0, retryAfter});
        return;
    }
    const TimePoint now = m_clock.now();
    if (m_contact.isSilent(now)) {
        settle(cells::AnswerCall{id, cells::CallAnswer::Unavailable, {}, 0, m_contact.retryAfter(now)});
        return;
    }
    const drivers::HttpCall call = linkCall(m_owner.owner->link, question, timeout);
    const auto owner = m_contact.questionSent(now);
    m_http.send(call, [this, id, owner, inDoubt = answerInDoubt(question)](drivers::HttpOutcome &&outcome) {
        cells::AnswerCall answer{id, inDoubt, {}, 0, retryAfter};
        if (const auto *http = std::get_if<drivers::HttpAnswer>(&outcome)) {
            m_contact.answered(owner);
            const auto decoded = drivers::decodeAnswer(http->body);
            if (http->status == drivers::httpStatus::ok && decoded) {
                answer = decoded.value();
                answer.exchange = id;
            }
        } else if (std::get<drivers::HttpFailure>(outcome) == drivers::HttpFailure::NotSent) {
            answer.answer = cells::CallAnswer::Unavailable;
        }
        settle(answer);
    });
}

void SiteFrontTask::probeOwner()
{
    if (m_owner.isSelf || !m_owner.owner || m_owner.owner->host.empty()) {
        return;
    }
    const auto owner = m_contact.probeSent(m_clock.now());
    m_http.send(linkCall(m_owner.owner->link, cells::QueryPending{}, cells::OwnerContact::probeTimeout),
                [this, owner](drivers::HttpOutcome &&outcome) {
                    if (std::holds_alternative<drivers::HttpAnswer>(outcome)) {
                        m_contact.answered(owner);
                    } else {
                        m_contact.probeFailed(owner);
                    }
                });
}

void SiteFrontTask::noteOwner(bool isSilent)
{
    if (isSilent == m_wasSilent) {
        return;
    }
    m_wasSilent = isSilent;
    m_log.line(isSilent ? drivers::LogLevel::Warning : drivers::LogLevel::Info,
               isSilent ? drivers::HostEvent::DependencyLost : drivers::HostEvent::DependencyRegained,
               {{"dependency", "owner"},
                {"owner", m_owner.owner ? m_owner.owner->host.name() : std::string()},
                {"epoch", std::to_string(m_owner.owner ? m_owner.owner->epoch : 0)}});
}

void SiteFrontTask::takeLink(const drivers::HttpRequest &request)
{
    auto question = drivers::decodeQuestion(request.body);
    if (!question) {
        m_log.line(drivers::LogLevel::Warning, drivers::HostEvent::LinkMessageUnreadable,
                   {{"reason", question.error().detail}});
        m_link.answer(request.id, drivers::HttpAnswer{drivers::httpStatus::badRequest, {}, {}});
        return;
    }
    const ExchangeId id{++m_lastId};
    m_open[id]
        = Open{Source::Link, request.id, subjectOf(question.value()), answerInDoubt(question.value()), m_clock.now()};
    std::visit([id](auto &ask) { ask.exchange = id; }, question.value());
    // Only an owner answers; a process that is none says so at once.
    asked.emit(question.value());
}

void SiteFrontTask::on(const cells::AnswerCall &message)
{
    settle(message);
}

void SiteFrontTask::on(const cells::RequestHandover &message)
{
    const ExchangeId id{++m_lastId};
    m_open[id]
        = Open{Source::Cell, message.exchange, message.host.name(), cells::CallAnswer::Unavailable, m_clock.now()};
    forward(message, id, ownerTimeout);
}

void SiteFrontTask::settle(const cells::AnswerCall &answer)
{
    const auto found = m_open.find(answer.exchange);
    if (found == m_open.end()) {
        return;
    }
    const Open open = found->second;
    m_open.erase(found);
    switch (open.source) {
    case Source::Caller:
        callMeasured.emit(CallMeasured{answer.answer, toMilliseconds(m_clock.now() - open.since)});
        m_log.line(drivers::LogLevel::Info, drivers::HostEvent::CallAnswered,
                   {{"subject", open.subject},
                    {"outcome", std::string(enumName(cells::callAnswerNames, answer.answer))},
                    {"ms", inMilliseconds(m_clock.now() - open.since)},
                    {"owner", m_owner.owner ? m_owner.owner->host.name() : std::string()},
                    {"epoch", std::to_string(m_owner.owner ? m_owner.owner->epoch : 0)}});
        m_callers.answer(open.exchange, platform::callAnswer(answer));
        return;
    case Source::Link:
        m_link.answer(open.exchange, drivers::HttpAnswer{drivers::httpStatus::ok, {}, drivers::encodeAnswer(answer)});
        return;
    case Source::Cell:
        handoverAnswered.emit(cells::HandoverAnswered{open.exchange, answer.answer});
        return;
    }
}

void SiteFrontTask::onTick()
{
    if (m_statistics.tick()) {
        loadMeasured.emit(std::make_shared<const TaskLoad>(TaskLoad{SiteTask::Front, m_statistics.take()}));
    }
    m_statistics.measure([this] {
        const TimePoint now = m_clock.now();
        m_contact.tick(now);
        if (m_contact.isProbeDue(now)) {
            probeOwner();
        }
        noteOwner(m_contact.isSilent(now));
        tellStatus();
    });
}

void SiteFrontTask::tellStatus()
{
    openCallsCounted.emit(OpenCallsCounted{m_callers.open() + m_link.open()});
    const TimePoint now = m_clock.now();
    if (now >= m_nextAges) {
        m_nextAges = now + agesInterval;
        agesChanged.emit(BeliefAges{m_authorizer.config() ? m_authorizer.config()->version : 0,
                                    toMilliseconds(now - m_authorizer.lastContact()), m_owner.isSelf, m_log.dropped()});
    }
    const bool ready = isReady();
    if (ready != m_wasReady) {
        m_wasReady = ready;
        m_log.line(drivers::LogLevel::Info, ready ? drivers::HostEvent::Ready : drivers::HostEvent::NotReady, {});
    }
}

} // namespace radishvane::servers
