#pragma once

#include "core/base/clock.h"
#include "core/messages/platform_messages.h"

#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace radishvane
{

/// Hand a call to the platform.
struct SendToPlatform
{
    PlatformCall call;
};

/// Give an answer to whoever asked.
struct DeliverAnswer
{
    PlatformAnswered answered;
};

using ResolverEffect = std::variant<SendToPlatform, DeliverAnswer>;
using ResolverEffects = std::vector<ResolverEffect>;

/// Finds out how a conditional write ended whose answer was lost, by the writer token that the row carries.
///
/// While the rows still have the versions that the write expects, the write is sent again with the same token; it
/// cannot take effect twice, since it is conditional.
class WriteResolver
{
public:
    /// Time after which a write in doubt is reported as such.
    static constexpr Duration resolveWithin{5'000};
    /// Interval between looks at the row of a write in doubt.
    static constexpr Duration lookInterval{250};

    /// @param writer unique to this process.
    explicit WriteResolver(std::string writer);

    ResolverEffects submit(const PlatformCall &call, TimePoint now);
    ResolverEffects answered(const PlatformAnswered &answered, TimePoint now);
    ResolverEffects timePassed(TimePoint now);

private:
    struct Pending
    {
        PlatformCall call;
        /// Set once an answer was lost.
        bool inDoubt = false;
        /// A look at the rows is under way.
        bool looking = false;
        TimePoint deadline;
        TimePoint nextLook;
        /// Versions read so far, in the order of the writes.
        std::vector<std::uint64_t> versions;
    };

    struct Asked
    {
        OperationId original;
        bool isLook = false;
    };

    void send(Pending &pending, PlatformRequest request, bool isLook);
    void onWriteAnswer(Pending &pending, const PlatformAnswer &answer, TimePoint now);
    void onLook(Pending &pending, const PlatformAnswer &answer, TimePoint now);
    void onRowSeen(Pending &pending, std::uint64_t version, const std::string &writer, TimePoint now);
    void look(Pending &pending);
    void deliver(const Pending &pending, PlatformAnswer answer);
    const RowWrite &nextWrite(const Pending &pending) const;

    std::string m_writer;
    std::uint64_t m_lastId = 0;
    ResolverEffects m_effects;
    std::unordered_map<OperationId, Pending> m_pending;
    /// Calls under way at the platform, by the id that they were sent with.
    std::unordered_map<OperationId, Asked> m_asked;
};

} // namespace radishvane
