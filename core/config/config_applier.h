#pragma once

#include "core/messages/platform_messages.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace radishvane
{

/// How the application of a set of files ended.
enum class ApplyOutcome {
    Applied,
    /// Another operator applied a set first; nothing was changed.
    Conflict,
    /// The platform could not be reached; nothing was changed.
    Unavailable,
    /// The platform's answer was lost and the row could not be read; the set may be in force.
    Unknown,
};

/// Names for operators, in the order of the enumerators.
inline constexpr std::array<std::string_view, 4> applyOutcomeNames{"applied", "conflict", "unavailable", "unknown"};

struct ApplyEnded
{
    ApplyOutcome outcome{};
    /// The version applied, or the version that stands in its way.
    ConfigVersion version;
    std::string detail;
};

using ApplyEffect = std::variant<PlatformCall, ApplyEnded>;
using ApplyEffects = std::vector<ApplyEffect>;

/// Applies one checked set of files: stores the object, then moves the current version by one conditional write.
class ConfigApplier
{
public:
    /// Objects remembered in the row, for writers whose answer was lost.
    static constexpr std::size_t rememberedObjects = 16;

    /// @param writer unique to this application; it names the object.
    /// @param expected version that must be current, when the operator names one.
    ConfigApplier(std::string packedFiles, std::string writer, std::optional<ConfigVersion> expected);

    ApplyEffects begin();
    ApplyEffects answered(const PlatformAnswered &answered);

private:
    enum class Step {
        Reading,
        Storing,
        Writing,
        Checking,
        Ended,
    };

    ApplyEffects onRead(const PlatformAnswer &answer);
    ApplyEffects onStored(const PlatformAnswer &answer);
    ApplyEffects onWritten(const PlatformAnswer &answer);
    ApplyEffects onChecked(const PlatformAnswer &answer);
    ApplyEffects call(Step step, PlatformRequest request);
    ApplyEffects end(ApplyOutcome outcome, ConfigVersion version, std::string detail);

    std::string m_files;
    std::string m_object;
    std::optional<ConfigVersion> m_expected;
    Step m_step = Step::Reading;
    OperationId m_operation;
    ConfigRow m_row;
    std::uint64_t m_rowVersion = 0;
};

} // namespace radishvane
