#pragma once

#include "core/base/result.h"
#include "core/messages/peer_messages.h"

#include <string>
#include <string_view>

namespace radishvane::drivers
{

/// Why bytes from another process could not be read.
enum class PeerCodecError {
    TooLarge,
    Malformed,
};

/// Log names, in the order of the enumerators.
inline constexpr std::array<std::string_view, 2> peerCodecErrorNames{"too-large", "malformed"};

/// Largest datagram that is read.
inline constexpr std::size_t mostDatagramBytes = 32 << 10;
/// Largest stream message that is read.
inline constexpr std::size_t mostStreamBytes = 32 << 20;

std::string encodeHeartbeat(const Heartbeat &heartbeat);
/// Reads a datagram, which may come from anybody.
Result<Heartbeat, LayerError<PeerCodecError>> decodeHeartbeat(std::string_view bytes);

std::string encodeStreamMessage(const PeerStreamMessage &message);
Result<PeerStreamMessage, LayerError<PeerCodecError>> decodeStreamMessage(std::string_view bytes);

} // namespace radishvane::drivers
