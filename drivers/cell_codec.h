#pragma once

#include "core/base/result.h"
#include "core/cells/cell_messages.h"

#include <string>
#include <string_view>
#include <variant>

namespace radishvane::drivers
{

/// Why bytes of a row or of another entry host's message could not be read.
enum class CellCodecError {
    TooLarge,
    Malformed,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 2> cellCodecErrorNames{"too-large", "malformed"};

template<typename Value>
using CellDecoded = Result<Value, LayerError<CellCodecError>>;

/// Largest row or message that is read.
inline constexpr std::size_t mostCellBytes = 1 << 20;

/// A question of another entry host, or of a caller that it serves. New alternatives go to the end, since the encoding
/// contains their positions.
using LinkQuestion
    = std::variant<cells::SubmitJob, cells::QueryJob, cells::CancelJob, cells::QueryPending, cells::RequestHandover>;

std::string encodeRow(const cells::OwnerRow &row);
std::string encodeRow(const cells::JobRow &row);
std::string encodeRow(const cells::ProgressRow &row);
std::string encodeRow(const cells::RosterRow &row);
std::string encodeRow(const cells::WaveRow &row);
std::string encodeRow(const cells::HostOrdersRow &row);
std::string encodeRow(const cells::ReleaseRow &row);

/// Size of the result of encodeRow(), without encoding.
std::size_t encodedSize(const cells::OwnerRow &row);
std::size_t encodedSize(const cells::JobRow &row);
std::size_t encodedSize(const cells::ProgressRow &row);
std::size_t encodedSize(const cells::RosterRow &row);
std::size_t encodedSize(const cells::WaveRow &row);
std::size_t encodedSize(const cells::HostOrdersRow &row);
std::size_t encodedSize(const cells::ReleaseRow &row);

std::string encodeQuestion(const LinkQuestion &question);
std::string encodeAnswer(const cells::AnswerCall &answer);

CellDecoded<cells::OwnerRow> decodeOwnerRow(std::string_view bytes);
CellDecoded<cells::JobRow> decodeJobRow(std::string_view bytes);
CellDecoded<cells::ProgressRow> decodeProgressRow(std::string_view bytes);
CellDecoded<cells::RosterRow> decodeRosterRow(std::string_view bytes);
CellDecoded<cells::WaveRow> decodeWaveRow(std::string_view bytes);
CellDecoded<cells::HostOrdersRow> decodeHostOrdersRow(std::string_view bytes);
CellDecoded<cells::ReleaseRow> decodeReleaseRow(std::string_view bytes);
CellDecoded<LinkQuestion> decodeQuestion(std::string_view bytes);
CellDecoded<cells::AnswerCall> decodeAnswer(std::string_view bytes);

} // namespace radishvane::drivers
