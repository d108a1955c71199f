#pragma once

#include "core/base/result.h"
#include "core/jobs/job_messages.h"
#include "drivers/http_client.h"
#include "drivers/http_types.h"

#include <string>
#include <variant>

namespace radishvane::drivers
{

/// A request about jobs that cannot be read, with the value at fault.
struct JobHttpError
{
    int status = httpStatus::badRequest;
    std::string detail;
};

using JobRequest = std::variant<JobSubmitted, JobQueried, JobCancelRequested>;

/// Reads a request to /v1/jobs or /v1/jobs/ID.
Result<JobRequest, JobHttpError> readJobRequest(const HttpRequest &http);

HttpAnswer jobErrorAnswer(const JobHttpError &error);
HttpAnswer jobAnswer(const AnswerJob &answer);

/// One call to a worker as HTTP.
HttpCall workerHttpCall(const WorkerCall &call, Duration timeout);

/// What a worker's HTTP answer means.
WorkerAnswered readWorkerOutcome(WorkerCallId id, const HttpOutcome &outcome);

} // namespace radishvane::drivers
