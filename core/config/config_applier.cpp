#include "core/config/config_applier.h"

#include <algorithm>

namespace radishvane
{

namespace
{

bool mayHaveTakenEffect(const PlatformAnswer &answer)
{
    const auto *conflict = std::get_if<WriteConflict>(&answer);
    const auto *failed = std::get_if<PlatformFailed>(&answer);
    const bool lost = failed != nullptr && failed->error != PlatformError::Unavailable;
    return lost || (conflict != nullptr && conflict->inDoubt);
}

std::string failureDetail(const PlatformAnswer &answer)
{
    const auto *failed = std::get_if<PlatformFailed>(&answer);
    return failed == nullptr ? std::string() : failed->detail;
}

} // namespace

ConfigApplier::ConfigApplier(std::string packedFiles, std::string writer, std::optional<ConfigVersion> expected)
    : m_files(std::move(packedFiles)), m_object("config-" + std::move(writer)), m_expected(expected)
{
}

ApplyEffects ConfigApplier::begin()
{
    return call(Step::Reading, ReadRow{std::string(rowKey::config)});
}

ApplyEffects ConfigApplier::answered(const PlatformAnswered &answered)
{
    if (answered.id != m_operation) {
        return {};
    }
    switch (m_step) {
    case Step::Reading:
        return onRead(answered.answer);
    case Step::Storing:
        return onStored(answered.answer);
    case Step::Writing:
        return onWritten(answered.answer);
    case Step::Checking:
        return onChecked(answered.answer);
    case Step::Ended:
        return {};
    }
    return {};
}

ApplyEffects ConfigApplier::onRead(const PlatformAnswer &answer)
{
    if (const auto *found = std::get_if<RowFound>(&answer)) {
        m_row = std::get<ConfigRow>(found->row.value);
        m_rowVersion = found->row.version;
    } else if (!std::holds_alternative<RowAbsent>(answer)) {
        return end(ApplyOutcome::Unavailable, {}, failureDetail(answer));
    }
    if (m_expected && *m_expected != m_row.version) {
        return end(ApplyOutcome::Conflict, m_row.version, "the current version differs from the expected version");
    }
    return call(Step::Storing, PutObject{m_object, m_files});
}

ApplyEffects ConfigApplier::onStored(const PlatformAnswer &answer)
{
    if (!std::holds_alternative<ObjectStored>(answer)) {
        return end(ApplyOutcome::Unavailable, m_row.version, failureDetail(answer));
    }
    m_row.version.value += 1;
    m_row.object = m_object;
    m_row.recentObjects.insert(m_row.recentObjects.begin(), m_object);
    if (m_row.recentObjects.size() > maxRecentObjects) {
        m_row.recentObjects.resize(maxRecentObjects);
    }
    return call(Step::Writing, WriteRows{{RowWrite{std::string(rowKey::config), m_rowVersion, RowValue(m_row)}}});
}

ApplyEffects ConfigApplier::onWritten(const PlatformAnswer &answer)
{
    if (std::holds_alternative<RowsWritten>(answer)) {
        return end(ApplyOutcome::Applied, m_row.version, "");
    }
    if (mayHaveTakenEffect(answer)) {
        return call(Step::Checking, ReadRow{std::string(rowKey::config)});
    }
    if (std::holds_alternative<WriteConflict>(answer)) {
        return end(ApplyOutcome::Conflict, m_row.version, "another operator applied this version first");
    }
    return end(ApplyOutcome::Unavailable, m_row.version, failureDetail(answer));
}

ApplyEffects ConfigApplier::onChecked(const PlatformAnswer &answer)
{
    const auto *found = std::get_if<RowFound>(&answer);
    if (found == nullptr) {
        return end(ApplyOutcome::Unknown, m_row.version,
                   "the answer to the write was lost and the configuration row cannot be read");
    }
    const auto &row = std::get<ConfigRow>(found->row.value);
    const bool applied
        = std::find(row.recentObjects.begin(), row.recentObjects.end(), m_object) != row.recentObjects.end();
    if (applied) {
        return end(ApplyOutcome::Applied, m_row.version, "");
    }
    return end(ApplyOutcome::Conflict, row.version, "another operator applied a version first");
}

ApplyEffects ConfigApplier::call(Step step, PlatformRequest request)
{
    m_step = step;
    ++m_operation.value;
    return {PlatformCall{m_operation, std::move(request)}};
}

ApplyEffects ConfigApplier::end(ApplyOutcome outcome, ConfigVersion version, std::string detail)
{
    m_step = Step::Ended;
    return {ApplyEnded{outcome, version, std::move(detail)}};
}

} // namespace radishvane
