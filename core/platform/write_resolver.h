#pragma once

#include "core/base/clock.h"
#include "core/messages/platform_messages.h"

#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace radishvane
{

/// Sends a call to the platform.
struct SendToPlatform
{
    PlatformCall call;
};

/// Delivers the final answer to the submitter of the call.
struct DeliverAnswer
{
    PlatformAnswered answered;
};

using ResolverEffect = std::variant<SendToPlatform, DeliverAnswer>;
using ResolverEffects = std::vector<ResolverEffect>;

/// Resolves the outcome of conditional writes whose answer was lost, by the writer token that each row carries.
///
/// A resolver reads the written rows back. As long as a row still has the version that the write expects, the write is
/// repeated with the same token. It cannot take effect twice, because it is conditional.
class WriteResolver
{
public:
    /// Time after which a write whose outcome is still unknown is answered with PlatformError::AnswerLost.
    static constexpr Duration resolveTimeout{5'000};
    /// Interval between reads of the rows of a write in doubt.
    static constexpr Duration probeInterval{250};

    /// @param writer prefix of the writer tokens; unique to this process.
    explicit WriteResolver(std::string writer);

    ResolverEffects submit(const PlatformCall &call, TimePoint now);
    ResolverEffects answered(const PlatformAnswered &answered, TimePoint now);
    /// Reads the rows of the writes in doubt that are due, and gives up on those past their deadline.
    ResolverEffects timePassed(TimePoint now);

private:
    struct Pending
    {
        PlatformCall call;
        /// Set once an answer to the write was lost.
        bool inDoubt = false;
        /// A read of a row is in flight.
        bool probing = false;
        TimePoint deadline;
        TimePoint nextProbe;
        /// Versions read so far, in the order of the writes.
        std::vector<std::uint64_t> versions;
    };

    struct OutstandingCall
    {
        /// Id under which the call was submitted.
        OperationId original;
        /// The call reads a row of a write in doubt.
        bool isProbe = false;
    };

    void send(Pending &pending, PlatformRequest request, bool isProbe);
    void onWriteAnswer(Pending &pending, const PlatformAnswer &answer, TimePoint now);
    void onProbeAnswer(Pending &pending, const PlatformAnswer &answer, TimePoint now);
    void onRowProbed(Pending &pending, std::uint64_t version, const std::string &writer, TimePoint now);
    void probe(Pending &pending);
    void deliver(const Pending &pending, PlatformAnswer answer);
    const RowWrite &nextWrite(const Pending &pending) const;

    std::string m_writer;
    std::uint64_t m_lastId = 0;
    ResolverEffects m_effects;
    std::unordered_map<OperationId, Pending> m_pending;
    /// Calls in flight at the platform, by the id that they were sent with.
    std::unordered_map<OperationId, OutstandingCall> m_outstanding;
};

} // namespace radishvane
