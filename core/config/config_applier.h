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

/// Result of applying a set of files.
enum class ApplyOutcome {
    Applied,
    /// Another operator had applied a set before; nothing was changed.
    Conflict,
    /// The platform could not be reached; nothing was changed.
    Unavailable,
    /// The platform's answer was lost and the row could not be read back; the set may be in force.
    Unknown,
};

/// Names for operators, in the order of the enumerators.
inline constexpr std::array<std::string_view, 4> applyOutcomeNames{"applied", "conflict", "unavailable", "unknown"};

struct ApplyEnded
{
    ApplyOutcome outcome{};
    /// The applied version or, after a conflict, the version found in the table.
    ConfigVersion version;
    std::string detail;
};

using ApplyEffect = std::variant<PlatformCall, ApplyEnded>;
using ApplyEffects = std::vector<ApplyEffect>;

/// Applies one validated set of files: stores it as an object, then advances the current version by a conditional
/// write.
class ConfigApplier
{
public:
    /// Number of recent object names in the row. A writer whose answer was lost finds out from them whether its write
    /// was applied.
    static constexpr std::size_t maxRecentObjects = 16;

    /// @param writer unique id of this run, which becomes part of the object's name.
    /// @param expected version that must be the current one, if the operator specifies it.
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
