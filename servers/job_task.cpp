#include "servers/job_task.h"

#include "core/base/enum_names.h"
#include "drivers/job_http.h"
#include "drivers/log.h"

namespace radishvane::servers
{

JobTask::JobTask(drivers::EventLoop &loop, const Clock &clock, HostId host, std::uint64_t seed)
    : m_clock(clock)
    , m_controller(std::move(host), seed)
    , m_http(loop)
    , m_mailbox(
          loop,
          [this](Message &&message) { std::visit([this](const auto &alternative) { on(alternative); }, message); })
    , m_timer(loop, tickInterval, [this] { onTick(); })
{
}

void JobTask::post(Message message)
{
    m_mailbox.post(std::move(message));
}

void JobTask::on(const JobEvent &message)
{
    handle(message);
}

void JobTask::on(const drivers::HttpRequest &message)
{
    const auto request = drivers::readJobRequest(message);
    if (!request) {
        answered.emit(AnswerCaller{message.id, drivers::jobErrorAnswer(request.error())});
        return;
    }
    std::visit([this](const auto &alternative) { handle(alternative); }, request.value());
}

void JobTask::handle(const JobEvent &event)
{
    for (const JobEffect &effect : m_controller.handle(event, m_clock.instant())) {
        std::visit([this](const auto &alternative) { apply(alternative); }, effect);
    }
}

void JobTask::apply(const PlatformCall &effect)
{
    platformCalled.emit(effect);
}

void JobTask::apply(const WorkerCall &effect)
{
    m_http.send(drivers::workerHttpCall(effect, workerTimeout), [this, id = effect.id](drivers::HttpOutcome &&outcome) {
        handle(drivers::readWorkerOutcome(id, outcome));
    });
}

void JobTask::apply(const AnswerJob &effect)
{
    answered.emit(AnswerCaller{effect.exchange, drivers::jobAnswer(effect)});
}

void JobTask::apply(const JobDemand &effect)
{
    demandChanged.emit(effect);
}

void JobTask::apply(const JobLogEntry &effect)
{
    ++m_status.steps[std::string(enumName(jobStepNames, effect.step))];
    drivers::logLine(drivers::LogLevel::Info, enumName(jobStepNames, effect.step),
                     {{"job", effect.job.name()},
                      {"team", effect.team.name()},
                      {"worker", effect.worker.name()},
                      {"state", std::string(enumName(jobStateNames, effect.state))},
                      {"reason", std::string(enumName(jobReasonNames, effect.reason))},
                      {"attempts", std::to_string(effect.attempts)}});
}

void JobTask::apply(const AllJobsHandedBack &)
{
    handedBack.emit();
}

void JobTask::onTick()
{
    handle(JobTick{});
    const TimePoint now = m_clock.now();
    if (now >= m_nextStatus) {
        m_nextStatus = now + statusInterval;
        m_status.owned = m_controller.owned();
        statusChanged.emit(m_status);
    }
}

} // namespace radishvane::servers
