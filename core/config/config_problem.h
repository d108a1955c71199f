#pragma once

#include "core/config/document.h"

#include <array>
#include <string>
#include <string_view>

namespace radishvane
{

/// Kind of error in a set of declarative files.
enum class ConfigProblemKind {
    Syntax,
    WrongType,
    MissingField,
    UnknownField,
    UnknownName,
    DuplicateName,
    OutOfRange,
    MissingFile,
};

/// Names for operators, in the order of the enumerators.
inline constexpr std::array<std::string_view, 8> configProblemKindNames{
    "syntax",       "wrong-type",     "missing-field", "unknown-field",
    "unknown-name", "duplicate-name", "out-of-range",  "missing-file",
};

/// One error in the files, with its position, field and value.
struct ConfigProblem
{
    ConfigProblemKind kind{};
    Position at;
    std::string field;
    std::string value;
    std::string message;
};

/// Formats a problem as one line: file:line:column: kind: field 'value' message.
std::string describe(const ConfigProblem &problem);

} // namespace radishvane
