#include "drivers/site_settings.h"

#include "core/config/field_reader.h"
#include "drivers/settings.h"

namespace radishvane::drivers
{

namespace
{

constexpr Range millisecondsRange{1, 3'600'000};
constexpr Range secondsRange{1, 86'400};
constexpr Range rowBytesRange{1'024, 1 << 20};
constexpr double minCores = 0.001;
constexpr double maxCores = 1'024;
constexpr double minLinkMbps = 0.001;
constexpr double maxLinkMbps = 1'000'000;
constexpr double minOrdersPerSecond = 0.001;
constexpr double maxOrdersPerSecond = 1'000'000;

Duration milliseconds(FieldReader &fields, const std::string &field)
{
    return Duration(fields.number(field, millisecondsRange));
}

Duration seconds(FieldReader &fields, const std::string &field)
{
    return std::chrono::seconds(fields.number(field, secondsRange));
}

} // namespace

Result<SiteSettings, std::vector<ConfigProblem>> readSiteSettings(const FileText &file)
{
    auto document = parseYaml(file);
    if (!document) {
        return std::vector<ConfigProblem>{document.error()};
    }
    std::vector<ConfigProblem> problems;
    FieldReader fields(document.value().root, "the settings", problems);
    SiteSettings settings;
    settings.host = HostId(fields.text("host"));
    settings.zone = ZoneId(fields.text("zone"));
    settings.listen = fields.endpoint("listen");
    settings.readyListen = fields.endpoint("ready_listen");
    settings.linkListen = fields.endpoint("link_listen");
    settings.metricsListen = fields.endpoint("metrics_listen");
    settings.store = fields.endpoint("store");
    settings.storeRowBytes
        = fields.number("store_row_bytes", rowBytesRange, static_cast<std::uint32_t>(settings.storeRowBytes));
    settings.hostService = fields.endpoint("host_service");
    settings.admission = fields.optionalEndpoint("admission").value_or(Endpoint{});
    settings.mostHold = milliseconds(fields, "most_hold_ms");
    settings.workerStop = milliseconds(fields, "worker_stop_ms");
    settings.keysWithin = milliseconds(fields, "keys_within_ms");
    settings.stopWithin = seconds(fields, "stop_within_s");
    settings.keepEnded = seconds(fields, "keep_ended_s");
    settings.capacity.cores = fields.decimal("cores", minCores, maxCores, settings.capacity.cores)
        * fields.decimal("core_speed", minCores, maxCores, 1);
    settings.capacity.linkMbps = fields.decimal("link_mbps", minLinkMbps, maxLinkMbps, settings.capacity.linkMbps);
    settings.hostServiceLimits.ordersPerSecond = fields.decimal(
        "host_orders_per_s", minOrdersPerSecond, maxOrdersPerSecond, settings.hostServiceLimits.ordersPerSecond);
    settings.logLevel = readLogLevel(fields);
    fields.finish();
    if (!problems.empty()) {
        return problems;
    }
    return settings;
}

} // namespace radishvane::drivers
