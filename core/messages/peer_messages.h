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

/// An entry host as others know it.
struct PeerAddress
{
    HolderId holder;
    ZoneId zone;
    Endpoint endpoint;

    auto operator<=>(const PeerAddress &) const = default;
};

/// Told in place of an idle time by a process that has not itself seen the session alive: an earlier process of its
/// host may have ended it.
inline constexpr Duration sessionIdleUnknown{24 * 3'600'000};

/// Latest heartbeat that the sender had from one other entry host.
struct HeartbeatEcho
{
    HolderId holder;
    std::uint64_t sequence = 0;
    /// Time that the sender has seen this holder's session without a renewal while the table answered.
    Duration sessionIdle = sessionIdleUnknown;
};

/// Slot time spent by one team on one service since the last heartbeat with usage.
struct HeartbeatUsage
{
    ServiceId service;
    TeamId team;
    std::uint32_t slotMilliseconds = 0;
};

struct HeartbeatSpareSlots
{
    ServiceId service;
    std::uint32_t slots = 0;
};

/// Rights of one team that the sender uses and wants.
struct HeartbeatDemand
{
    TeamId team;
    RightsUse use = RightsUse::Requests;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// What each entry host tells each other one at a fixed interval, by UDP.
struct Heartbeat
{
    PeerAddress sender;
    std::uint64_t sequence = 0;
    /// The sender stops and should get no new share of slots.
    bool leaving = false;
    ConfigVersion config;
    /// Time since the sender's configuration was confirmed to be the newest.
    Duration configAge{};
    std::vector<HeartbeatEcho> echoes;
    /// Other live entry hosts, so that a new one is found by all.
    std::vector<PeerAddress> known;
    std::vector<HeartbeatUsage> spent;
    std::vector<HeartbeatSpareSlots> spare;
    std::vector<HeartbeatDemand> demand;
};

/// Asks for the files of a configuration, by TCP.
struct ConfigRequest
{
    ConfigVersion version;
};

/// Files of a configuration, by TCP.
struct ConfigFiles
{
    ConfigVersion version;
    std::string files;
};

using PeerStreamMessage = std::variant<ConfigRequest, ConfigFiles>;

} // namespace radishvane
