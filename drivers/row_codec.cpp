#include "drivers/row_codec.h"

#include "core/base/enum_names.h"
#include "core/base/overloaded.h"
#include "drivers/json_codec.h"

namespace radishvane::drivers
{

namespace
{

using Json = nlohmann::json;

template<typename Enum, std::size_t Count>
Enum enumField(const Json &json, const char *field, const std::array<std::string_view, Count> &names)
{
    const auto name = json.at(field).get<std::string>();
    const auto value = enumValue<Enum>(names, name);
    if (!value) {
        throw std::runtime_error(std::string(field) + " has the unknown value '" + name + "'");
    }
    return *value;
}

template<typename Id>
Id nameField(const Json &json, const char *field)
{
    return Id(json.at(field).get<std::string>());
}

template<typename Id>
std::vector<Id> namesField(const Json &json, const char *field)
{
    std::vector<Id> ids;
    for (const auto &name : json.at(field)) {
        ids.push_back(Id(name.get<std::string>()));
    }
    return ids;
}

template<typename Id>
Json namesJson(const std::vector<Id> &ids)
{
    Json names = Json::array();
    for (const Id &id : ids) {
        names.push_back(id.name());
    }
    return names;
}

std::int64_t toNumber(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime timeField(const Json &json, const char *field)
{
    return WallTime(Duration(json.at(field).get<std::int64_t>()));
}

Json holderJson(const HolderId &holder)
{
    return {{"host", holder.host.name()}, {"incarnation", holder.incarnation.value}};
}

HolderId holderField(const Json &json, const char *field)
{
    const Json &holder = json.at(field);
    return {nameField<HostId>(holder, "host"), Incarnation{holder.at("incarnation").get<std::uint64_t>()}};
}

Json toJson(const ConfigRow &row)
{
    return {{"version", row.version.value}, {"object", row.object}, {"recent_objects", row.recentObjects}};
}

Json toJson(const SessionRow &row)
{
    return {{"holder", holderJson(row.holder)},
            {"zone", row.zone.name()},
            {"epoch", row.epoch},
            {"renewals", row.renewals},
            {"ended", row.ended},
            {"peer_address", row.peer.address},
            {"peer_port", row.peer.port},
            {"witnesses", namesJson(row.witnesses)}};
}

Json toJson(const RightsRow &row)
{
    Json grants = Json::array();
    for (const RightsGrant &grant : row.grants) {
        grants.push_back({{"holder", holderJson(grant.holder)},
                          {"use", enumName(rightsUseNames, grant.use)},
                          {"epoch", grant.epoch},
                          {"standing", grant.standing},
                          {"leased", grant.leased}});
    }
    return {{"team", row.team.name()}, {"ceiling", row.ceiling}, {"version", row.version.value}, {"grants", grants}};
}

Json toJson(const ClaimRow &row)
{
    return {
        {"holder", holderJson(row.holder)}, {"exchange", row.exchange.value}, {"claimed_at", toNumber(row.claimedAt)}};
}

Json toJson(const JobRow &row)
{
    return {{"id", row.id.name()},
            {"team", row.team.name()},
            {"kind", row.kind},
            {"idempotent", row.idempotent},
            {"cores", row.needs.cores},
            {"memory_gb", row.needs.memoryGb},
            {"accelerators", row.needs.accelerators},
            {"declared_run_ms", row.declaredRun.count()},
            {"payload", row.payload},
            {"checkpoint", row.checkpoint},
            {"submitted_at", toNumber(row.submittedAt)},
            {"end_by", toNumber(row.endBy)},
            {"state", enumName(jobStateNames, row.state)},
            {"reason", enumName(jobReasonNames, row.reason)},
            {"owner", holderJson(row.owner)},
            {"epoch", row.epoch},
            {"attempts", row.attempts},
            {"worker", row.worker.name()},
            {"cancel_asked", row.cancelRequested},
            {"result", row.result}};
}

Json toJson(const PoolRow &row)
{
    Json out = Json::array();
    for (const HostOutage &host : row.out) {
        out.push_back({{"host", host.host.name()},
                       {"phase", enumName(hostPhaseNames, host.phase)},
                       {"cause", enumName(drainCauseNames, host.cause)},
                       {"target", host.target.name()},
                       {"since", toNumber(host.since)}});
    }
    return {{"pool", row.pool.name()}, {"out", out}, {"failed", namesJson(row.failed)}};
}

Json toJson(const HostRow &row)
{
    return {{"host", row.host.name()},
            {"pool", row.pool.name()},
            {"maintained_at", toNumber(row.maintainedAt)},
            {"declared", row.declared.name()}};
}

ConfigRow configRow(const Json &json)
{
    ConfigRow row;
    row.version = ConfigVersion{json.at("version").get<std::uint64_t>()};
    row.object = json.at("object").get<std::string>();
    row.recentObjects = json.at("recent_objects").get<std::vector<std::string>>();
    return row;
}

SessionRow sessionRow(const Json &json)
{
    SessionRow row;
    row.holder = holderField(json, "holder");
    row.zone = nameField<ZoneId>(json, "zone");
    row.epoch = json.at("epoch").get<std::uint64_t>();
    row.renewals = json.at("renewals").get<std::uint64_t>();
    row.ended = json.at("ended").get<bool>();
    row.peer = Endpoint{json.at("peer_address").get<std::string>(), json.at("peer_port").get<std::uint16_t>()};
    row.witnesses = namesField<HostId>(json, "witnesses");
    return row;
}

RightsRow rightsRow(const Json &json)
{
    RightsRow row;
    row.team = nameField<TeamId>(json, "team");
    row.ceiling = json.at("ceiling").get<std::uint32_t>();
    row.version = ConfigVersion{json.at("version").get<std::uint64_t>()};
    for (const Json &grant : json.at("grants")) {
        row.grants.push_back({holderField(grant, "holder"), enumField<RightsUse>(grant, "use", rightsUseNames),
                              grant.at("epoch").get<std::uint64_t>(), grant.at("standing").get<std::uint32_t>(),
                              grant.at("leased").get<std::uint32_t>()});
    }
    return row;
}

ClaimRow claimRow(const Json &json)
{
    return {holderField(json, "holder"), ExchangeId{json.at("exchange").get<std::uint64_t>()},
            timeField(json, "claimed_at")};
}

JobRow jobRow(const Json &json)
{
    JobRow row;
    row.id = nameField<JobId>(json, "id");
    row.team = nameField<TeamId>(json, "team");
    row.kind = json.at("kind").get<std::string>();
    row.idempotent = json.at("idempotent").get<bool>();
    row.needs.cores = json.at("cores").get<std::uint32_t>();
    row.needs.memoryGb = json.at("memory_gb").get<std::uint32_t>();
    row.needs.accelerators = json.at("accelerators").get<std::uint32_t>();
    row.declaredRun = Duration(json.at("declared_run_ms").get<std::int64_t>());
    row.payload = json.at("payload").get<std::string>();
    row.submittedAt = timeField(json, "submitted_at");
    row.endBy = timeField(json, "end_by");
    row.state = enumField<JobState>(json, "state", jobStateNames);
    row.reason = enumField<JobReason>(json, "reason", jobReasonNames);
    row.owner = holderField(json, "owner");
    row.epoch = json.at("epoch").get<std::uint64_t>();
    row.attempts = json.at("attempts").get<std::uint32_t>();
    row.worker = nameField<HostId>(json, "worker");
    row.cancelRequested = json.at("cancel_asked").get<bool>();
    row.result = json.at("result").get<std::string>();
    row.checkpoint = json.at("checkpoint").get<std::string>();
    return row;
}

PoolRow poolRow(const Json &json)
{
    PoolRow row;
    row.pool = nameField<PoolId>(json, "pool");
    for (const Json &host : json.at("out")) {
        row.out.push_back({nameField<HostId>(host, "host"), enumField<HostPhase>(host, "phase", hostPhaseNames),
                           enumField<DrainCause>(host, "cause", drainCauseNames), nameField<PoolId>(host, "target"),
                           timeField(host, "since")});
    }
    row.failed = namesField<HostId>(json, "failed");
    return row;
}

HostRow hostRow(const Json &json)
{
    return {nameField<HostId>(json, "host"), nameField<PoolId>(json, "pool"), timeField(json, "maintained_at"),
            nameField<PoolId>(json, "declared")};
}

bool startsWith(const std::string &key, std::string_view prefix)
{
    return std::string_view(key).starts_with(prefix);
}

Result<RowValue, LayerError<CodecError>> decodeJson(const std::string &key, const Json &json)
{
    if (key == rowKey::config) {
        return RowValue(configRow(json));
    }
    if (startsWith(key, rowKey::sessions)) {
        return RowValue(sessionRow(json));
    }
    if (startsWith(key, rowKey::rights)) {
        return RowValue(rightsRow(json));
    }
    if (startsWith(key, rowKey::claims)) {
        return RowValue(claimRow(json));
    }
    if (startsWith(key, rowKey::jobs)) {
        return RowValue(jobRow(json));
    }
    if (startsWith(key, rowKey::pools)) {
        return RowValue(poolRow(json));
    }
    if (startsWith(key, rowKey::hosts)) {
        return RowValue(hostRow(json));
    }
    return LayerError<CodecError>{CodecError::UnknownKind, "no kind of row has the key '" + key + "'"};
}

} // namespace

std::string encodeRow(const RowValue &value)
{
    return std::visit([](const auto &row) { return writeJson(toJson(row)); }, value);
}

Result<RowValue, LayerError<CodecError>> decodeRow(const std::string &key, const std::string &text)
{
    const auto json = parseJson(text);
    if (!json) {
        return LayerError<CodecError>{CodecError::NotJson, "row '" + key + "' is not JSON"};
    }
    try {
        return decodeJson(key, *json);
    } catch (const std::exception &error) {
        return LayerError<CodecError>{CodecError::MissingField, "row '" + key + "': " + error.what()};
    }
}

} // namespace radishvane::drivers
