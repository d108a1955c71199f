#pragma once

#include <cstdint>
#include <cstdlib>

namespace radishvane::tests
{

/// The port that a test uses in place of this one; RADISHVANE_PORT_SHIFT keeps builds that are tested at one time
/// apart.
inline std::uint16_t shiftedPort(int port)
{
    const char *shift = std::getenv("RADISHVANE_PORT_SHIFT");
    return static_cast<std::uint16_t>(port + (shift == nullptr ? 0 : std::atoi(shift)));
}

} // namespace radishvane::tests
