#pragma once

#include "core/messages/platform_messages.h"

#include <map>
#include <set>
#include <string>

namespace radishvane::tests
{

/// How the fake platform treats a call.
enum class PlatformFault {
    None,
    /// Nothing takes effect, and the caller knows it.
    Down,
    /// Nothing takes effect, and the caller gets no answer.
    Swallowed,
    /// The call takes effect, and the caller gets no answer.
    AnswerLost,
};

/// The platform's table and object store in memory, answering at once.
class FakePlatform
{
public:
    PlatformAnswer answer(const PlatformCall &call, PlatformFault fault = PlatformFault::None);

    /// Questions about a reboot until it is done.
    static constexpr int rebootAsks = 3;
    /// Hosts that never come back from a reboot.
    std::set<HostId> neverBack;
    /// Reboots by host and token.
    const std::map<std::string, int> &reboots() const;

    const std::map<std::string, StoredRow> &rows() const;
    std::size_t writes() const;

private:
    PlatformAnswer perform(const PlatformCall &call);
    PlatformAnswer write(const WriteRows &request, const std::string &writer);

    std::map<std::string, StoredRow> m_rows;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, int> m_reboots;
    std::uint64_t m_lastVersion = 0;
    std::size_t m_writes = 0;
};

} // namespace radishvane::tests
