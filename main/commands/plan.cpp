#include "core/base/enum_names.h"
#include "core/config/config_diff.h"
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

struct Options
{
    std::string folder;
    Endpoint platform;
    OutputFormat format = OutputFormat::Text;
};

/// The configuration in force, with its version; an empty one before the first.
std::optional<Config> readCurrent(const Endpoint &platformPort)
{
    std::optional<Config> current;
    ConfigVersion version;
    std::uint64_t calls = 0;
    PlatformSession platform(platformPort, uniqueWriter(), [&](const PlatformAnswered &answered) {
        if (const auto *row = std::get_if<RowFound>(&answered.answer)) {
            const auto &config = std::get<ConfigRow>(row->row.value);
            version = config.version;
            platform.send(PlatformCall{OperationId{++calls}, ReadObject{config.object}});
            return;
        }
        if (std::holds_alternative<RowAbsent>(answered.answer)) {
            current = Config{};
        } else if (const auto *object = std::get_if<ObjectFound>(&answered.answer)) {
            auto config = drivers::readPacked(object->bytes);
            if (config) {
                current = std::move(config).value();
                current->version = version;
            }
        }
        platform.stop();
    });
    platform.send(PlatformCall{OperationId{++calls}, ReadRow{std::string(rowKey::config)}});
    platform.run();
    return current;
}

void print(const Config &current, const std::vector<ConfigChange> &changes, OutputFormat format)
{
    if (format == OutputFormat::Json) {
        nlohmann::json list = nlohmann::json::array();
        for (const ConfigChange &change : changes) {
            list.push_back({{"change", enumName(configChangeKindNames, change.kind)},
                            {"what", change.objectKind},
                            {"name", change.name},
                            {"detail", change.detail}});
        }
        std::cout << nlohmann::json{{"version", current.version.value}, {"changes", list}}.dump() << '\n';
        return;
    }
    std::cout << "against version " << current.version.value << ": " << changes.size() << " changes\n";
    for (const ConfigChange &change : changes) {
        std::cout << "  " << enumName(configChangeKindNames, change.kind) << ' ' << change.objectKind << ' '
                  << change.name;
        std::cout << (change.detail.empty() ? "" : ": ") << change.detail << '\n';
    }
}

ExitCode run(const Options &options)
{
    const auto checked = readAndCheck(options.folder, options.format);
    if (!checked) {
        return ExitCode::BadInput;
    }
    const auto current = readCurrent(options.platform);
    if (!current) {
        std::cerr << "plan: the version in force cannot be read\n";
        return ExitCode::Unavailable;
    }
    print(*current, diffConfigs(*current, checked->config), options.format);
    return ExitCode::Done;
}

} // namespace

void addPlan(CLI::App &app, ExitCode &exitCode)
{
    auto options = std::make_shared<Options>();
    CLI::App *command
        = app.add_subcommand("plan", "Show what a set of declarative files would change, and change nothing");
    addFolder(*command, options->folder);
    addEndpoint(*command, "--platform", options->platform, "the platform's table service")->required();
    addOutput(*command, options->format);
    command->callback([options, &exitCode] { exitCode = run(*options); });
}

} // namespace radishvane::commands
