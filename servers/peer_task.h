#pragma once

#include "core/membership/peer_table.h"
#include "drivers/datagram_socket.h"
#include "drivers/mailbox.h"
#include "drivers/peer_stream.h"
#include "drivers/timer.h"
#include "servers/task_messages.h"

#include <sigc++/signal.h>

#include <variant>

namespace radishvane::servers
{

/// Ask an entry host for the files of a configuration.
struct FetchConfig
{
    HostId peer;
    ConfigVersion version;
};

/// Files that this entry host can give to others.
struct OfferConfig
{
    ConfigVersion version;
    std::string files;
};

/// Owns the sockets towards the other entry hosts.
class PeerTask
{
public:
    using Message = std::variant<PeerEvent, FetchConfig, OfferConfig>;

    PeerTask(drivers::EventLoop &loop, const Clock &clock, const PeerAddress &self, DetectorKind detector);

    bool listen(const Endpoint &endpoint);
    void post(Message message);

    sigc::signal<void(const PeersChanged &)> peersChanged;
    sigc::signal<void(const PeerConfigObserved &)> configObserved;
    sigc::signal<void(const PeerUsageObserved &)> usageObserved;
    sigc::signal<void(const SessionLivenessConfirmed &)> livenessConfirmed;
    sigc::signal<void(const ConfigFiles &)> configReceived;
    sigc::signal<void(const MembershipStatus &)> statusChanged;

private:
    void on(const PeerEvent &message);
    void on(const FetchConfig &message);
    void on(const OfferConfig &message);
    void handle(const PeerEvent &event);
    void apply(const SendHeartbeat &effect);
    void apply(const PeersChanged &effect);
    void apply(const PeerConfigObserved &effect);
    void apply(const PeerUsageObserved &effect);
    void apply(const SessionLivenessConfirmed &effect);
    void apply(const PeerLogEntry &effect);
    void onDatagram(std::string_view bytes);
    std::optional<PeerStreamMessage> answerTo(const PeerStreamMessage &question) const;
    void onTick();

    const Clock &m_clock;
    PeerTable m_table;
    OfferConfig m_offer;
    MembershipStatus m_status;
    drivers::DatagramSocket m_datagrams;
    drivers::PeerStream m_stream;
    drivers::Mailbox<Message> m_mailbox;
    drivers::Timer m_timer;
};

} // namespace radishvane::servers
