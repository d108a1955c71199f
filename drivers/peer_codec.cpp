#include "drivers/peer_codec.h"

#include "drivers/cereal_fields.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/variant.hpp>

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace radishvane
{

template<typename Archive>
void serialize(Archive &archive, HolderId &holder)
{
    archive(holder.host, holder.incarnation);
}

template<typename Archive>
void serialize(Archive &archive, PeerAddress &address)
{
    archive(address.holder, address.zone, address.endpoint);
}

template<typename Archive>
void serialize(Archive &archive, HeartbeatEcho &echo)
{
    auto sequence = static_cast<std::uint32_t>(echo.sequence);
    archive(echo.holder, sequence);
    echo.sequence = sequence;
    durationField(archive, echo.sessionIdle);
}

template<typename Archive>
void serialize(Archive &archive, HeartbeatUsage &spent)
{
    archive(spent.service, spent.team, spent.slotMilliseconds);
}

template<typename Archive>
void serialize(Archive &archive, HeartbeatSpareSlots &spare)
{
    archive(spare.service, spare.slots);
}

template<typename Archive>
void serialize(Archive &archive, HeartbeatDemand &demand)
{
    auto use = static_cast<std::uint8_t>(demand.use);
    auto running = static_cast<std::uint16_t>(
        std::min<std::uint32_t>(demand.running, std::numeric_limits<std::uint16_t>::max()));
    auto waiting = static_cast<std::uint16_t>(
        std::min<std::uint32_t>(demand.waiting, std::numeric_limits<std::uint16_t>::max()));
    archive(demand.team, use, running, waiting);
    demand.running = running;
    demand.waiting = waiting;
    if (use >= rightsUseNames.size()) {
        throw std::out_of_range("use of rights " + std::to_string(use));
    }
    demand.use = static_cast<RightsUse>(use);
}

template<typename Archive>
void serialize(Archive &archive, Heartbeat &heartbeat)
{
    archive(heartbeat.sender, heartbeat.sequence);
    flagField(archive, heartbeat.leaving);
    archive(heartbeat.config);
    durationField(archive, heartbeat.configAge);
    listField(archive, heartbeat.echoes);
    listField(archive, heartbeat.known);
    listField(archive, heartbeat.spent);
    listField(archive, heartbeat.spare);
    listField(archive, heartbeat.demand);
}

template<typename Archive>
void serialize(Archive &archive, ConfigRequest &message)
{
    archive(message.version);
}

template<typename Archive>
void serialize(Archive &archive, ConfigFiles &message)
{
    archive(message.version);
    textField(archive, message.files);
}

} // namespace radishvane

namespace radishvane::drivers
{

namespace
{

template<typename Message>
std::string encode(Message message)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
    return stream.str();
}

template<typename Message>
Result<Message, LayerError<PeerCodecError>> decode(std::string_view bytes, std::size_t most)
{
    if (bytes.size() > most) {
        return LayerError<PeerCodecError>{PeerCodecError::TooLarge, std::to_string(bytes.size()) + " bytes"};
    }
    try {
        std::istringstream stream{std::string(bytes)};
        cereal::PortableBinaryInputArchive archive(stream);
        Message message;
        archive(message);
        return message;
    } catch (const std::exception &error) {
        return LayerError<PeerCodecError>{PeerCodecError::Malformed, error.what()};
    }
}

} // namespace

std::string encodeHeartbeat(const Heartbeat &heartbeat)
{
    return encode(heartbeat);
}

Result<Heartbeat, LayerError<PeerCodecError>> decodeHeartbeat(std::string_view bytes)
{
    return decode<Heartbeat>(bytes, mostDatagramBytes);
}

std::string encodeStreamMessage(const PeerStreamMessage &message)
{
    return encode(message);
}

Result<PeerStreamMessage, LayerError<PeerCodecError>> decodeStreamMessage(std::string_view bytes)
{
    return decode<PeerStreamMessage>(bytes, mostStreamBytes);
}

} // namespace radishvane::drivers
