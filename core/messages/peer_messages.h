#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/config/config.h"
#include "core/messages/rows.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace radishvane
{

/// Identity and address of an entry host, as the other entry hosts know them.
struct PeerAddress
{
    HolderId holder;
    ZoneId zone;
    Endpoint endpoint;

    auto operator<=>(const PeerAddress &) const = default;
};

/// Session idle time sent by a process that has not itself observed a renewal of the session, since an earlier process
/// of its host may have ended that session.
inline constexpr Duration sessionIdleUnknown{24 * 3'600'000};

/// Latest heartbeat that the sender received from one other entry host.
struct HeartbeatEcho
{
    HolderId holder;
    std::uint64_t sequence = 0;
    /// Time for which the sender has observed no renewal of this holder's session while the table was reachable.
    Duration sessionIdle = sessionIdleUnknown;
};

/// Slot time that one team used on one service since the last heartbeat that carried usage.
struct HeartbeatUsage
{
    ServiceId service;
    TeamId team;
    std::uint32_t slotMilliseconds = 0;
};

/// Free request slots of one service at the sender.
struct HeartbeatSpareSlots
{
    ServiceId service;
    std::uint32_t slots = 0;
};

/// Rights of one team that the sender uses and still needs.
struct HeartbeatDemand
{
    TeamId team;
    RightsUse use = RightsUse::Requests;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// Message that each entry host sends to each other one by UDP at a fixed interval.
struct Heartbeat
{
    PeerAddress sender;
    std::uint64_t sequence = 0;
    /// The sender is shutting down and gets no share of slots any more.
    bool leaving = false;
    ConfigVersion config;
    /// Time since the sender last confirmed that its configuration is the newest.
    Duration configAge{};
    std::vector<HeartbeatEcho> echoes;
    /// Other live entry hosts, so that all entry hosts discover a new one.
    std::vector<PeerAddress> known;
    std::vector<HeartbeatUsage> spent;
    std::vector<HeartbeatSpareSlots> spare;
    std::vector<HeartbeatDemand> demand;
};

/// Request for the files of a configuration, sent by TCP.
struct ConfigRequest
{
    ConfigVersion version;
};

/// Files of a configuration, sent by TCP.
struct ConfigFiles
{
    ConfigVersion version;
    std::string files;
};

using PeerStreamMessage = std::variant<ConfigRequest, ConfigFiles>;

} // namespace radishvane
