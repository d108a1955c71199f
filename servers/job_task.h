#pragma once

#include "core/jobs/job_controller.h"
#include "drivers/http_client.h"
#include "drivers/http_types.h"
#include "drivers/mailbox.h"
#include "drivers/timer.h"
#include "servers/task_messages.h"

#include <sigc++/signal.h>

#include <variant>

namespace radishvane::servers
{

/// Owns the connections to workers and the jobs of this entry host.
class JobTask
{
public:
    using Message = std::variant<JobEvent, drivers::HttpRequest>;

    static constexpr Duration tickInterval{100};
    static constexpr Duration statusInterval{1'000};
    static constexpr Duration workerTimeout{2'000};

    JobTask(drivers::EventLoop &loop, const Clock &clock, HostId host, std::uint64_t seed);

    void post(Message message);

    sigc::signal<void(const AnswerCaller &)> answered;
    sigc::signal<void(const PlatformCall &)> platformCalled;
    sigc::signal<void(const JobDemand &)> demandChanged;
    sigc::signal<void(const JobStatus &)> statusChanged;
    sigc::signal<void()> handedBack;

private:
    void on(const JobEvent &message);
    void on(const drivers::HttpRequest &message);
    void handle(const JobEvent &event);
    void apply(const PlatformCall &effect);
    void apply(const WorkerCall &effect);
    void apply(const AnswerJob &effect);
    void apply(const JobDemand &effect);
    void apply(const JobLogEntry &effect);
    void apply(const AllJobsHandedBack &effect);
    void onTick();

    const Clock &m_clock;
    JobController m_controller;
    JobStatus m_status;
    TimePoint m_nextStatus;
    drivers::HttpClient m_http;
    drivers::Mailbox<Message> m_mailbox;
    drivers::Timer m_timer;
};

} // namespace radishvane::servers
