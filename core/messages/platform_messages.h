#pragma once

#include "core/messages/rows.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace radishvane
{

/// A row as it stands in the table.
struct StoredRow
{
    std::string key;
    /// Grows with each write; 0 stands for an absent row.
    std::uint64_t version = 0;
    RowValue value;
    /// Token of the write that made this version.
    std::string writer;
};

/// One conditional write of a transaction.
struct RowWrite
{
    std::string key;
    /// Version that the row must have; 0 when it must be absent.
    std::uint64_t expected = 0;
    /// Nothing removes the row.
    std::optional<RowValue> value;
};

// Requests to the platform.

struct ReadRow
{
    std::string key;
};

struct ScanRows
{
    std::string prefix;
};

/// Writes all rows or none.
struct WriteRows
{
    std::vector<RowWrite> writes;
};

struct PutObject
{
    std::string name;
    std::string bytes;
};

struct ReadObject
{
    std::string name;
};

struct ListHosts
{
};

/// Reboots a host once for each token; asked again with the same token, tells how far that reboot is.
struct RebootHost
{
    HostId host;
    std::string token;
};

using PlatformRequest = std::variant<ReadRow, ScanRows, WriteRows, PutObject, ReadObject, ListHosts, RebootHost>;

/// A request with the id that its answer repeats.
struct PlatformCall
{
    OperationId id;
    PlatformRequest request;
    /// Writer token for WriteRows; a write sent again keeps its token.
    std::string writer = {};
};

// Answers of the platform.

struct RowFound
{
    StoredRow row;
};

struct RowAbsent
{
    std::string key;
};

struct RowsFound
{
    std::vector<StoredRow> rows;
};

/// The transaction took effect; the new versions stand in the order of the writes.
struct RowsWritten
{
    std::vector<std::uint64_t> versions;
};

/// The transaction did not take effect, since a row had another version.
struct WriteConflict
{
    std::string key;
    /// An answer was lost on the way: the write may have taken effect and been overwritten since.
    bool inDoubt = false;
};

struct ObjectStored
{
};

struct ObjectFound
{
    std::string bytes;
};

struct ObjectAbsent
{
};

/// How the platform lists a host.
enum class HostListing {
    Live,
    Leaving,
};

/// Wire names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 2> hostListingNames{"live", "leaving"};

struct ListedHost
{
    HostId host;
    HostListing listing = HostListing::Live;
};

struct HostsListed
{
    std::vector<ListedHost> hosts;
};

/// How far a reboot is.
struct RebootState
{
    bool done = false;
};

/// Why the platform gave no answer of use.
enum class PlatformError {
    /// No connection, or the platform refused: nothing took effect.
    Unavailable,
    /// No answer came: a write may have taken effect.
    AnswerLost,
    /// The answer could not be read.
    BadAnswer,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 3> platformErrorNames{"unavailable", "answer-lost", "bad-answer"};

struct PlatformFailed
{
    PlatformError error{};
    std::string detail;
};

using PlatformAnswer = std::variant<RowFound, RowAbsent, RowsFound, RowsWritten, WriteConflict, ObjectStored,
                                    ObjectFound, ObjectAbsent, HostsListed, RebootState, PlatformFailed>;

struct PlatformAnswered
{
    OperationId id;
    PlatformAnswer answer;
};

} // namespace radishvane
