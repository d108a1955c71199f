#include "servers/peer_task.h"

#include "core/base/enum_names.h"
#include "core/base/overloaded.h"
#include "drivers/log.h"
#include "drivers/peer_codec.h"

namespace radishvane::servers
{

PeerTask::PeerTask(drivers::EventLoop &loop, const Clock &clock, const PeerAddress &self, DetectorKind detector)
    : m_clock(clock)
    , m_table(self, detector)
    , m_datagrams(loop, [this](std::string_view bytes) { onDatagram(bytes); })
    , m_stream(
          loop, [this](const PeerStreamMessage &question) { return answerTo(question); },
          [this](const PeerStreamMessage &answer) {
              if (const auto *files = std::get_if<ConfigFiles>(&answer)) {
                  configReceived.emit(*files);
              }
          })
    , m_mailbox(
          loop,
          [this](Message &&message) { std::visit([this](const auto &alternative) { on(alternative); }, message); })
    , m_timer(loop, PeerTable::heartbeatInterval, [this] { onTick(); })
{
}

bool PeerTask::listen(const Endpoint &endpoint)
{
    return m_datagrams.bind(endpoint) && m_stream.listen(endpoint);
}

void PeerTask::post(Message message)
{
    m_mailbox.post(std::move(message));
}

void PeerTask::on(const PeerEvent &message)
{
    handle(message);
}

void PeerTask::on(const FetchConfig &message)
{
    for (const PeerTable::PeerView &peer : m_table.peers()) {
        if (peer.address.holder.host == message.peer) {
            m_stream.ask(peer.address.endpoint, ConfigRequest{message.version});
        }
    }
}

void PeerTask::on(const OfferConfig &message)
{
    m_offer = message;
}

void PeerTask::handle(const PeerEvent &event)
{
    for (const PeerEffect &effect : m_table.handle(event, m_clock.now())) {
        std::visit([this](const auto &alternative) { apply(alternative); }, effect);
    }
}

void PeerTask::apply(const SendHeartbeat &effect)
{
    const std::string bytes = drivers::encodeHeartbeat(effect.heartbeat);
    m_status.bytesSent += bytes.size();
    m_datagrams.send(effect.to, bytes);
}

void PeerTask::apply(const PeersChanged &effect)
{
    peersChanged.emit(effect);
}

void PeerTask::apply(const PeerConfigObserved &effect)
{
    configObserved.emit(effect);
}

void PeerTask::apply(const PeerUsageObserved &effect)
{
    usageObserved.emit(effect);
}

void PeerTask::apply(const SessionLivenessConfirmed &effect)
{
    livenessConfirmed.emit(effect);
}

void PeerTask::apply(const PeerLogEntry &effect)
{
    drivers::logLine(drivers::LogLevel::Info, "peer",
                     {{"host", effect.peer.holder.host.name()},
                      {"zone", effect.peer.zone.name()},
                      {"change", std::string(enumName(peerChangeNames, effect.change))}});
}

void PeerTask::onDatagram(std::string_view bytes)
{
    auto heartbeat = drivers::decodeHeartbeat(bytes);
    if (!heartbeat) {
        ++m_status.datagramsRefused;
        drivers::logLine(drivers::LogLevel::Warning, "datagram-refused",
                         {{"reason", std::string(enumName(drivers::peerCodecErrorNames, heartbeat.error().code))},
                          {"detail", heartbeat.error().detail}});
        return;
    }
    handle(HeartbeatReceived{std::move(heartbeat).value()});
}

std::optional<PeerStreamMessage> PeerTask::answerTo(const PeerStreamMessage &question) const
{
    return std::visit(Overloaded{
                          [this](const ConfigRequest &wanted) -> std::optional<PeerStreamMessage> {
                              if (m_offer.version < wanted.version) {
                                  return std::nullopt;
                              }
                              return ConfigFiles{m_offer.version, m_offer.files};
                          },
                          [](const ConfigFiles &) -> std::optional<PeerStreamMessage> { return std::nullopt; },
                      },
                      question);
}

void PeerTask::onTick()
{
    handle(PeerTick{});
    m_status.peers.clear();
    for (const PeerTable::PeerView &peer : m_table.peers()) {
        m_status.peers.push_back({peer.address.holder.host, peer.address.zone, peer.live, peer.config});
    }
    statusChanged.emit(m_status);
}

} // namespace radishvane::servers
