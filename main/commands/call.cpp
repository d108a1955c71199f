#include "core/base/enum_names.h"
#include "drivers/blocking_http.h"
#include "main/commands/command_line.h"

#include <iostream>
#include <memory>

namespace radishvane::commands
{

namespace
{

struct Options
{
    Endpoint entry;
    std::string method = "POST";
    std::string path;
    std::string key;
    std::string body;
    std::string idempotencyKey;
    bool idempotent = false;
    bool urgent = false;
    std::uint32_t timeoutMilliseconds = 30'000;
};

drivers::HttpCall makeCall(const Options &options)
{
    drivers::HttpCall call;
    call.endpoint = options.entry;
    call.method
        = enumValue<drivers::HttpMethod>(drivers::httpMethodNames, options.method).value_or(drivers::HttpMethod::Post);
    call.target = options.path;
    call.body = options.body;
    call.timeout = Duration(options.timeoutMilliseconds);
    call.headers.push_back({"X-Radishvane-Timeout-Ms", std::to_string(options.timeoutMilliseconds)});
    if (!options.key.empty()) {
        call.headers.push_back({"Authorization", "Bearer " + options.key});
    }
    if (!options.idempotencyKey.empty()) {
        call.headers.push_back({"Idempotency-Key", options.idempotencyKey});
    }
    if (options.idempotent) {
        call.headers.push_back({"X-Radishvane-Idempotent", "true"});
    }
    if (options.urgent) {
        call.headers.push_back({"X-Radishvane-Urgent", "true"});
    }
    return call;
}

ExitCode run(const Options &options)
{
    drivers::BlockingHttp http;
    const auto outcome = http.call(makeCall(options));
    if (const auto *failure = std::get_if<drivers::HttpFailure>(&outcome)) {
        return printFailure("call", options.entry, *failure);
    }
    const auto &answer = std::get<drivers::HttpAnswer>(outcome);
    std::cerr << "status " << answer.status << ", outcome "
              << drivers::headerValue(answer.headers, "X-Radishvane-Outcome") << '\n';
    std::cout << answer.body;
    return answer.status < drivers::httpStatus::badRequest ? ExitCode::Done : ExitCode::Failed;
}

} // namespace

void addCall(CLI::App &app, ExitCode &exitCode)
{
    auto options = std::make_shared<Options>();
    CLI::App *command = app.add_subcommand("call", "Send one request through an entry host, as a caller does");
    addEndpoint(*command, "--entry", options->entry, "callers' port of an entry host")->required();
    command->add_option("path", options->path, "path, as in /v1/services/quotes/quote or /v1/jobs")->required();
    command->add_option("--method", options->method, "HTTP method")
        ->check(CLI::IsMember({"GET", "POST", "PUT", "DELETE", "HEAD", "PATCH"}));
    command->add_option("--key", options->key, "the team's key");
    command->add_option("--body", options->body, "bytes of the request");
    command->add_option("--idempotency-key", options->idempotencyKey, "name of a request that must not run twice");
    command->add_flag("--idempotent", options->idempotent, "the request may run again after a failure");
    command->add_flag("--urgent", options->urgent, "start ahead of others");
    command->add_option("--timeout-ms", options->timeoutMilliseconds, "time within which the answer is of use");
    command->callback([options, &exitCode] { exitCode = run(*options); });
}

} // namespace radishvane::commands
