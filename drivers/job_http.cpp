#include "drivers/job_http.h"

#include "core/base/enum_names.h"
#include "core/base/overloaded.h"
#include "drivers/caller_http.h"
#include "drivers/json_codec.h"

#include <algorithm>

namespace radishvane::drivers
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view jobsPath = "/v1/jobs";
constexpr std::size_t mostNameBytes = 64;
constexpr std::uint32_t mostMachineSize = 1'000'000;
/// Longest time within which a job must end: 30 days.
constexpr std::uint32_t mostMilliseconds = 2'592'000'000;

/// Names that callers choose become keys of rows, so their letters are bounded.
bool isPlainName(const std::string &text)
{
    return !text.empty() && text.size() <= mostNameBytes && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    });
}

/// Reads fields of the body; remembers the first that is wrong.
class BodyReader
{
public:
    explicit BodyReader(const Json &json) : m_json(json)
    {
    }

    std::uint32_t number(const char *field, std::uint32_t fallback, std::uint32_t most)
    {
        m_known.push_back(field);
        if (!m_json.contains(field)) {
            return fallback;
        }
        const Json &value = m_json.at(field);
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > most) {
            fail(std::string(field) + " must be a whole number up to " + std::to_string(most) + ", not "
                 + describeJson(value));
            return fallback;
        }
        return value.get<std::uint32_t>();
    }

    bool flag(const char *field)
    {
        m_known.push_back(field);
        if (!m_json.contains(field)) {
            return false;
        }
        if (!m_json.at(field).is_boolean()) {
            fail(std::string(field) + " must be true or false, not " + describeJson(m_json.at(field)));
            return false;
        }
        return m_json.at(field).get<bool>();
    }

    std::string text(const char *field)
    {
        m_known.push_back(field);
        if (!m_json.contains(field)) {
            return {};
        }
        if (!m_json.at(field).is_string()) {
            fail(std::string(field) + " must be text, not " + describeJson(m_json.at(field)));
            return {};
        }
        return m_json.at(field).get<std::string>();
    }

    void finish()
    {
        for (const auto &[field, value] : m_json.items()) {
            if (std::find(m_known.begin(), m_known.end(), field) == m_known.end()) {
                fail("'" + field + "' is not a field of a job");
            }
        }
    }

    void fail(std::string detail)
    {
        if (m_error.empty()) {
            m_error = std::move(detail);
        }
    }

    const std::string &error() const
    {
        return m_error;
    }

private:
    const Json &m_json;
    std::vector<std::string> m_known;
    std::string m_error;
};

JobSpec readSpec(BodyReader &body)
{
    JobSpec spec;
    spec.kind = body.text("kind");
    spec.idempotent = body.flag("idempotent");
    spec.needs.cores = body.number("cores", 1, mostMachineSize);
    spec.needs.memoryGb = body.number("memory_gb", 1, mostMachineSize);
    spec.needs.accelerators = body.number("accelerators", 0, mostMachineSize);
    spec.declaredRun = Duration(
        body.number("declared_run_ms", static_cast<std::uint32_t>(spec.declaredRun.count()), mostMilliseconds));
    spec.endWithin
        = Duration(body.number("end_within_ms", static_cast<std::uint32_t>(spec.endWithin.count()), mostMilliseconds));
    spec.payload = body.text("payload");
    body.finish();
    if (!isPlainName(spec.kind)) {
        body.fail("kind must be 1 to 64 letters, digits, hyphens or underscores, not '" + spec.kind + "'");
    }
    return spec;
}

Result<JobRequest, JobHttpError> readSubmission(const HttpRequest &http)
{
    const Json json = parseJson(http.body).value_or(Json());
    if (!json.is_object()) {
        return JobHttpError{httpStatus::badRequest, "the body is not a JSON object"};
    }
    BodyReader body(json);
    JobSubmitted submitted{http.id, callerKey(http.headers), headerValue(http.headers, "Idempotency-Key"),
                           readSpec(body)};
    if (!submitted.idempotencyKey.empty() && !isPlainName(submitted.idempotencyKey)) {
        body.fail("Idempotency-Key must be 1 to 64 letters, digits, hyphens or underscores, not '"
                  + submitted.idempotencyKey + "'");
    }
    if (!body.error().empty()) {
        return JobHttpError{httpStatus::badRequest, body.error()};
    }
    return JobRequest(std::move(submitted));
}

HttpAnswer jsonAnswer(int status, const Json &json)
{
    return {status, {{"Content-Type", "application/json"}}, writeJson(json) + '\n'};
}

HttpAnswer answerOf(const JobAccepted &accepted)
{
    return jsonAnswer(httpStatus::accepted, {{"job", accepted.job.name()}, {"state", "queued"}});
}

HttpAnswer answerOf(const JobFound &found)
{
    const JobRow &row = found.row;
    return jsonAnswer(httpStatus::ok,
                      {{"job", row.id.name()},
                       {"kind", row.kind},
                       {"state", enumName(jobStateNames, row.state)},
                       {"reason", enumName(jobReasonNames, row.reason)},
                       {"attempts", row.attempts},
                       {"worker", row.worker.name()},
                       {"cancel_asked", row.cancelRequested},
                       {"result", row.result}});
}

HttpAnswer answerOf(const JobNotFound &)
{
    return jsonAnswer(httpStatus::notFound, {{"error", "unknown-job"}});
}

HttpAnswer answerOf(const JobRefused &refused)
{
    return refusalAnswer(refused.reason, std::nullopt);
}

HttpAnswer answerOf(const JobInDoubt &doubt)
{
    HttpAnswer answer = jsonAnswer(httpStatus::gatewayTimeout,
                                   {{"error", "answer-lost"}, {"outcome", "unknown"}, {"job", doubt.job.name()}});
    answer.headers.push_back({"X-Radishvane-Outcome", "unknown"});
    return answer;
}

std::string taskPath(const JobId &job)
{
    return "/tasks/" + job.name();
}

} // namespace

Result<JobRequest, JobHttpError> readJobRequest(const HttpRequest &http)
{
    const std::string key = callerKey(http.headers);
    if (http.path == jobsPath) {
        if (http.method != HttpMethod::Post) {
            return JobHttpError{httpStatus::methodNotAllowed, "jobs are submitted by POST"};
        }
        return readSubmission(http);
    }
    const JobId job(http.path.substr(jobsPath.size() + 1));
    if (http.method == HttpMethod::Get) {
        return JobRequest(JobQueried{http.id, key, job});
    }
    if (http.method == HttpMethod::Delete) {
        return JobRequest(JobCancelRequested{http.id, key, job});
    }
    return JobHttpError{httpStatus::methodNotAllowed, "a job is read by GET and cancelled by DELETE"};
}

HttpAnswer jobErrorAnswer(const JobHttpError &error)
{
    HttpAnswer answer
        = jsonAnswer(error.status, {{"error", "malformed"}, {"outcome", "not-run"}, {"detail", error.detail}});
    answer.headers.push_back({"X-Radishvane-Outcome", "not-run"});
    return answer;
}

HttpAnswer jobAnswer(const AnswerJob &answer)
{
    return std::visit([](const auto &alternative) { return answerOf(alternative); }, answer.answer);
}

HttpCall workerHttpCall(const WorkerCall &call, Duration timeout)
{
    HttpCall http;
    http.endpoint = call.worker;
    http.method = HttpMethod::Post;
    http.timeout = timeout;
    std::visit(Overloaded{
                   [&](const StartTask &start) {
                       http.target = "/tasks";
                       http.body = writeJson({{"task", start.job.name()},
                                              {"epoch", start.epoch},
                                              {"lease_ms", start.lease.count()},
                                              {"cores", start.needs.cores},
                                              {"memory_gb", start.needs.memoryGb},
                                              {"accelerators", start.needs.accelerators},
                                              {"kind", start.kind},
                                              {"payload_object", start.payload},
                                              {"checkpoint_object", start.checkpoint}});
                   },
                   [&](const RenewTask &renew) {
                       http.target = taskPath(renew.job) + "/lease";
                       http.body = writeJson({{"epoch", renew.epoch}, {"lease_ms", renew.lease.count()}});
                   },
                   [&](const FenceTask &fence) {
                       http.target = taskPath(fence.job) + "/fence";
                       http.body = writeJson({{"epoch", fence.epoch}});
                   },
                   [&](const CheckpointTask &checkpoint) {
                       http.target = taskPath(checkpoint.job) + "/checkpoint";
                       http.body = writeJson({{"epoch", checkpoint.epoch}});
                   },
                   [&](const StopTaskRun &stop) {
                       http.target = taskPath(stop.job) + "/stop";
                       http.body = writeJson({{"epoch", stop.epoch}});
                   },
               },
               call.request);
    return http;
}

WorkerAnswered readWorkerOutcome(WorkerCallId id, const HttpOutcome &outcome)
{
    if (const auto *failure = std::get_if<HttpFailure>(&outcome)) {
        return {id, *failure == HttpFailure::NotSent ? WorkerFailure::NotSent : WorkerFailure::AnswerLost};
    }
    const Json json = parseJson(std::get<HttpAnswer>(outcome).body).value_or(Json());
    const auto state = json.is_object() ? enumValue<TaskState>(taskStateNames, textField(json, "state")) : std::nullopt;
    if (!state) {
        return {id, WorkerFailure::AnswerLost};
    }
    const auto ran = wholeNumber(json.value("ran_ms", Json(0)));
    const auto usedMemory = wholeNumber(json.value("used_memory_gb", Json(0)));
    const Json canCheckpoint = json.value("can_checkpoint", Json(false));
    if (!ran || !usedMemory || *usedMemory > mostMachineSize || !canCheckpoint.is_boolean()) {
        return {id, WorkerFailure::AnswerLost};
    }
    TaskReport report;
    report.state = *state;
    report.result = textField(json, "result");
    report.ran = Duration(*ran);
    report.usedMemoryGb = static_cast<std::uint32_t>(*usedMemory);
    report.canCheckpoint = canCheckpoint.get<bool>();
    report.checkpoint = textField(json, "checkpoint_object");
    return {id, report};
}

} // namespace radishvane::drivers
