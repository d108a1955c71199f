#pragma once

#include "core/base/result.h"
#include "core/messages/rows.h"

#include <string>

namespace radishvane::drivers
{

/// Why bytes from the platform could not be read as a row.
enum class CodecError {
    NotJson,
    MissingField,
    UnknownKind,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 3> codecErrorNames{"not-json", "missing-field", "unknown-kind"};

/// JSON text of a row's value.
std::string encodeRow(const RowValue &value);

/// Reads a row's value; the kind follows from the key.
Result<RowValue, LayerError<CodecError>> decodeRow(const std::string &key, const std::string &text);

} // namespace radishvane::drivers
