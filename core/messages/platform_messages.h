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

/// A row as stored in the table.
struct StoredRow
{
    std::string key;
    /// Increases with each write; 0 means that the row is absent.
    std::uint64_t version = 0;
    RowValue value;
    /// Writer token of the write that created this version.
    std::string writer;
};

/// One conditional write of a transaction.
struct RowWrite
{
    std::string key;
    /// Version that the row must have for the write to take effect; 0 if the row must be absent.
    std::uint64_t expected = 0;
    /// New value; nullopt removes the row.
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

/// Transaction that writes all rows or none.
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

/// Reboots a host once per token. A repeated request with the same token returns the progress of that reboot.
struct RebootHost
{
    HostId host;
    std::string token;
};

using PlatformRequest = std::variant<ReadRow, ScanRows, WriteRows, PutObject, ReadObject, ListHosts, RebootHost>;

/// A request with the id that its answer carries.
struct PlatformCall
{
    OperationId id;
    PlatformRequest request;
    /// Writer token for WriteRows; a repeated write keeps its token.
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

/// The transaction took effect; the new versions are in the order of the writes.
struct RowsWritten
{
    std::vector<std::uint64_t> versions;
};

/// The transaction did not take effect, because a row had another version than expected.
struct WriteConflict
{
    std::string key;
    /// An earlier answer to this write was lost: the write may have taken effect and been overwritten since.
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

/// State of a host in the platform's list.
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

/// Progress of a reboot.
struct RebootState
{
    bool done = false;
};

/// Reason why the platform gave no usable answer.
enum class PlatformError {
    /// The connection failed, or the platform refused the request: nothing took effect.
    Unavailable,
    /// The request was sent but not answered: a write may have taken effect.
    AnswerLost,
    /// The answer could not be parsed.
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
