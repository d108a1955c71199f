#include "drivers/settings.h"

#include "core/base/enum_names.h"
#include "core/config/field_reader.h"

namespace radishvane::drivers
{

namespace
{

constexpr Range bodyRange{1'024, 64 << 20};
constexpr Range headerRange{1'024, 1 << 20};
constexpr Range waitRange{0, 600'000};

std::vector<Endpoint> readPeers(FieldReader &fields, std::vector<ConfigProblem> &problems)
{
    std::vector<Endpoint> peers;
    for (const Node &item : fields.items("peers")) {
        const auto *text = std::get_if<Scalar>(&item.value);
        const auto endpoint = text == nullptr ? std::nullopt : parseEndpoint(*text);
        if (!endpoint) {
            problems.push_back({ConfigProblemKind::OutOfRange, item.at, "peers", text == nullptr ? "" : *text,
                                "must be an IPv4 address and a port"});
            continue;
        }
        peers.push_back(*endpoint);
    }
    return peers;
}

} // namespace

LogLevel readLogLevel(FieldReader &fields)
{
    if (!fields.has("log_level")) {
        return LogLevel::Info;
    }
    const std::string name = fields.text("log_level");
    const auto level = enumValue<LogLevel>(logLevelNames, name);
    if (!level) {
        fields.report(ConfigProblemKind::OutOfRange, "log_level", name, "must be debug, info, warning or error");
    }
    return level.value_or(LogLevel::Info);
}

Result<Settings, std::vector<ConfigProblem>> readSettings(const FileText &file)
{
    auto document = parseYaml(file);
    if (!document) {
        return std::vector<ConfigProblem>{document.error()};
    }
    std::vector<ConfigProblem> problems;
    FieldReader fields(document.value().root, "the settings", problems);
    Settings settings;
    settings.host = HostId(fields.name("host"));
    settings.zone = ZoneId(fields.name("zone"));
    settings.listen = fields.endpoint("listen");
    settings.operatorListen = fields.endpoint("operator_listen");
    settings.peerListen = fields.endpoint("peer_listen");
    settings.peerAddress = fields.optionalEndpoint("peer_address").value_or(settings.peerListen);
    settings.platform = fields.endpoint("platform");
    settings.peers = readPeers(fields, problems);
    settings.limits.bodyBytes
        = fields.number("body_bytes", bodyRange, static_cast<std::uint32_t>(settings.limits.bodyBytes));
    settings.limits.headerBytes
        = fields.number("header_bytes", headerRange, static_cast<std::uint32_t>(settings.limits.headerBytes));
    settings.platformTimeout = Duration(
        fields.number("platform_timeout_ms", waitRange, static_cast<std::uint32_t>(settings.platformTimeout.count())));
    settings.leaveWait
        = Duration(fields.number("leave_wait_ms", waitRange, static_cast<std::uint32_t>(settings.leaveWait.count())));
    settings.stopWait
        = Duration(fields.number("stop_wait_ms", waitRange, static_cast<std::uint32_t>(settings.stopWait.count())));
    settings.logLevel = readLogLevel(fields);
    fields.finish();
    if (!problems.empty()) {
        return problems;
    }
    return settings;
}

} // namespace radishvane::drivers
