#include "core/base/enum_names.h"
#include "core/fleet/explanation.h"
#include "drivers/config_files.h"
#include "main/commands/command_line.h"
#include "main/commands/platform_session.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <memory>
#include <optional>

namespace radishvane::commands
{

namespace
{

/// Kinds of things that can be explained.
enum class Subject {
    Host,
    Job,
    Team,
    Pool,
};

/// Names on the command line, in the order of the enumerators.
constexpr std::array<std::string_view, 4> subjectNames{"host", "job", "team", "pool"};

struct Options
{
    Endpoint platform;
    std::string name;
    OutputFormat format = OutputFormat::Text;
};

/// Reads everything that an explanation looks at.
class ViewReader
{
public:
    explicit ViewReader(const Endpoint &platform)
        : m_platform(platform, uniqueWriter(), [this](const PlatformAnswered &answered) { on(answered); })
    {
    }

    /// @return nothing when the platform cannot be reached or no configuration is in force.
    std::optional<FleetSnapshot> read()
    {
        call(ReadRow{std::string(rowKey::config)});
        call(ListHosts{});
        for (const std::string_view prefix : {rowKey::pools, rowKey::hosts, rowKey::rights, rowKey::jobs}) {
            call(ScanRows{std::string(prefix)});
        }
        m_platform.run();
        if (m_failed || m_view.declared == nullptr) {
            return std::nullopt;
        }
        m_view.now = drivers::SystemClock().wallNow();
        return m_view;
    }

private:
    void call(PlatformRequest request)
    {
        m_platform.send(PlatformCall{OperationId{++m_calls}, std::move(request)});
        ++m_unanswered;
    }

    void on(const PlatformAnswered &answered)
    {
        if (const auto *config = std::get_if<RowFound>(&answered.answer)) {
            call(ReadObject{std::get<ConfigRow>(config->row.value).object});
        } else if (const auto *object = std::get_if<ObjectFound>(&answered.answer)) {
            auto files = drivers::readPacked(object->bytes);
            m_view.declared = files ? std::make_shared<Config>(std::move(files).value()) : nullptr;
        } else if (const auto *listed = std::get_if<HostsListed>(&answered.answer)) {
            for (const ListedHost &host : listed->hosts) {
                m_view.listed.emplace(host.host, host.listing);
            }
        } else if (const auto *rows = std::get_if<RowsFound>(&answered.answer)) {
            for (const StoredRow &stored : rows->rows) {
                std::visit([this](const auto &row) { add(row); }, stored.value);
            }
        } else {
            m_failed = true;
        }
        if (--m_unanswered == 0) {
            m_platform.stop();
        }
    }

    void add(const HostRow &row)
    {
        m_view.hosts.emplace(row.host, row);
    }

    void add(const PoolRow &row)
    {
        m_view.pools.emplace(row.pool, row);
    }

    void add(const RightsRow &row)
    {
        m_view.rights.emplace(row.team, row);
    }

    void add(const JobRow &row)
    {
        m_view.jobs.emplace(row.id, row);
    }

    // Rows of these kinds are not asked for.
    void add(const ConfigRow &)
    {
    }

    void add(const SessionRow &)
    {
    }

    void add(const ClaimRow &)
    {
    }

    FleetSnapshot m_view;
    std::uint64_t m_calls = 0;
    int m_unanswered = 0;
    bool m_failed = false;
    PlatformSession m_platform;
};

std::optional<Findings> explain(const FleetSnapshot &view, Subject subject, const std::string &name)
{
    switch (subject) {
    case Subject::Host:
        return explainHost(view, HostId(name));
    case Subject::Job:
        return explainJob(view, JobId(name));
    case Subject::Team:
        return explainTeam(view, TeamId(name));
    case Subject::Pool:
        return explainPool(view, PoolId(name));
    }
    return std::nullopt;
}

void print(const Findings &findings, const std::string &name, OutputFormat format)
{
    if (format == OutputFormat::Json) {
        nlohmann::json list = nlohmann::json::array();
        for (const Finding &finding : findings) {
            list.push_back({{"fact", enumName(factNames, finding.fact)}, {"value", finding.value}});
        }
        std::cout << nlohmann::json{{"name", name}, {"findings", list}}.dump() << '\n';
        return;
    }
    for (const Finding &finding : findings) {
        std::cout << enumName(factNames, finding.fact) << ": " << finding.value << '\n';
    }
}

ExitCode run(const Options &options, Subject subject)
{
    const auto view = ViewReader(options.platform).read();
    if (!view) {
        std::cerr << "explain: the platform cannot be read, or no version is in force\n";
        return ExitCode::Unavailable;
    }
    const auto findings = explain(*view, subject, options.name);
    if (!findings) {
        std::cerr << "explain: no " << enumName(subjectNames, subject) << " has the name '" << options.name << "'\n";
        return ExitCode::BadInput;
    }
    print(*findings, options.name, options.format);
    return ExitCode::Done;
}

} // namespace

void addExplain(CLI::App &app, ExitCode &exitCode)
{
    CLI::App *command = app.add_subcommand("explain", "Tell why a job waits, a host drains or a team is held back");
    command->require_subcommand(1);
    for (std::size_t index = 0; index < subjectNames.size(); ++index) {
        auto options = std::make_shared<Options>();
        CLI::App *subject = command->add_subcommand(std::string(subjectNames[index]));
        subject->add_option("name", options->name)->required();
        addEndpoint(*subject, "--platform", options->platform, "the platform's table service")->required();
        addOutput(*subject, options->format);
        subject->callback([options, index, &exitCode] { exitCode = run(*options, static_cast<Subject>(index)); });
    }
}

} // namespace radishvane::commands
