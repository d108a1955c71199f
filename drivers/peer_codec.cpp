#include "drivers/peer_codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/variant.hpp>

#include <algorithm>
#include <limits>
#include <sstream>
#include <stdexcept>

namespace radishvane
{

namespace
{

/// Bounds on what a length in a message may claim, checked before anything is allocated.
constexpr std::uint32_t mostItems = 4'096;
constexpr std::uint32_t mostTextBytes = drivers::mostStreamBytes;

/// Names and addresses are short, and a length of one byte keeps heartbeats small.
template<typename Archive>
void nameField(Archive &archive, std::string &text)
{
    auto size = static_cast<std::uint8_t>(text.size());
    archive(size);
    text.resize(size);
    archive(cereal::binary_data(text.data(), text.size()));
}

template<typename Archive>
void textField(Archive &archive, std::string &text)
{
    auto size = static_cast<std::uint32_t>(text.size());
    archive(size);
    if (size > mostTextBytes) {
        throw std::length_error("text of " + std::to_string(size) + " bytes");
    }
    text.resize(size);
    archive(cereal::binary_data(text.data(), text.size()));
}

template<typename Archive, typename Item>
void listField(Archive &archive, std::vector<Item> &items)
{
    auto size = static_cast<std::uint32_t>(items.size());
    archive(size);
    if (size > mostItems) {
        throw std::length_error("list of " + std::to_string(size) + " items");
    }
    items.resize(size);
    for (Item &item : items) {
        archive(item);
    }
}

template<typename Archive>
void durationField(Archive &archive, Duration &duration)
{
    auto count = static_cast<std::uint32_t>(
        std::clamp<Duration::rep>(duration.count(), 0, std::numeric_limits<std::uint32_t>::max()));
    archive(count);
    duration = Duration(count);
}

} // namespace

template<typename Archive, typename Tag>
void serialize(Archive &archive, NameId<Tag> &id)
{
    std::string name = id.name();
    nameField(archive, name);
    id = NameId<Tag>(std::move(name));
}

template<typename Archive, typename Tag>
void serialize(Archive &archive, NumberId<Tag> &id)
{
    archive(id.value);
}

template<typename Archive>
void serialize(Archive &archive, Endpoint &endpoint)
{
    nameField(archive, endpoint.address);
    archive(endpoint.port);
}

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
void serialize(Archive &archive, PeerSpent &spent)
{
    archive(spent.service, spent.team, spent.slotMilliseconds);
}

template<typename Archive>
void serialize(Archive &archive, PeerSpare &spare)
{
    archive(spare.service, spare.slots);
}

template<typename Archive>
void serialize(Archive &archive, PeerDemand &demand)
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
    archive(heartbeat.sender, heartbeat.sequence, heartbeat.leaving, heartbeat.config);
    durationField(archive, heartbeat.configAge);
    listField(archive, heartbeat.echoes);
    listField(archive, heartbeat.known);
    listField(archive, heartbeat.spent);
    listField(archive, heartbeat.spare);
    listField(archive, heartbeat.demand);
}

template<typename Archive>
void serialize(Archive &archive, ConfigWanted &message)
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
