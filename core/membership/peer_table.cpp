#include "core/membership/peer_table.h"

#include <algorithm>
#include <utility>

namespace radishvane
{

namespace
{

/// Sent heartbeats that are remembered for echoes.
constexpr std::size_t rememberedHeartbeats = 64;
/// Time for which an address told by a peer is tried.
constexpr Duration seedLife{30'000};
/// Age told while nothing was ever confirmed.
constexpr Duration neverConfirmed{24 * 3'600'000};

} // namespace

PeerTable::PeerTable(PeerAddress self, DetectorKind detector) : m_self(std::move(self)), m_detectorKind(detector)
{
}

PeerEffects PeerTable::handle(const PeerEvent &event, TimePoint now)
{
    m_now = now;
    m_effects.clear();
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    return std::exchange(m_effects, {});
}

std::vector<PeerTable::PeerView> PeerTable::peers() const
{
    std::vector<PeerView> views;
    for (const auto &[host, peer] : m_peers) {
        views.push_back({peer.address, peer.live, peer.config});
    }
    return views;
}

void PeerTable::on(const HeartbeatReceived &event)
{
    const Heartbeat &heartbeat = event.heartbeat;
    if (heartbeat.sender.holder.host == m_self.holder.host) {
        return;
    }
    Peer *peer = admitSender(heartbeat.sender);
    if (peer == nullptr || heartbeat.sequence <= peer->sequence) {
        // A datagram of an earlier start, or one that was overtaken.
        return;
    }
    peer->sequence = heartbeat.sequence;
    peer->config = std::max(peer->config, heartbeat.config);
    peer->lastHeard = m_now;
    noteHeard(peer->detector, m_now);
    const bool serves = !heartbeat.leaving;
    if (peer->live != serves) {
        note(*peer, serves ? PeerChange::Returned : PeerChange::Left);
        peer->live = serves;
        reportLive();
    }
    peer->leaving = heartbeat.leaving;
    for (const PeerAddress &address : heartbeat.known) {
        learn(address);
    }
    // Without an echo the version counts, but not the time of its confirmation.
    m_effects.push_back(PeerConfigSeen{heartbeat.sender.holder.host, heartbeat.config, TimePoint{}});
    readEchoes(heartbeat);
    m_effects.push_back(
        PeerUsageSeen{heartbeat.sender.holder.host, heartbeat.spent, heartbeat.spare, heartbeat.demand});
}

void PeerTable::on(const PeerSeed &event)
{
    if (event.endpoint != m_self.endpoint) {
        m_seeds[event.endpoint] = TimePoint::max();
    }
}

void PeerTable::on(const OwnConfig &event)
{
    m_config = event.version;
    m_configConfirmed = TimePoint{};
}

void PeerTable::on(const OwnConfigConfirmed &event)
{
    m_configConfirmed = std::max(m_configConfirmed, event.at);
}

void PeerTable::on(const OwnUsage &event)
{
    m_usage.spent.insert(m_usage.spent.end(), event.spent.begin(), event.spent.end());
    m_usage.spare = event.spare;
}

void PeerTable::on(const OwnDemand &event)
{
    m_demand[{event.demand.team, event.demand.use}] = event.demand;
}

void PeerTable::on(const SessionIdle &event)
{
    const auto found = m_peers.find(event.holder.host);
    if (found != m_peers.end() && found->second.address.holder == event.holder) {
        found->second.sessionIdle = event.idle;
    }
}

void PeerTable::on(const OwnHolder &event)
{
    m_self.holder = event.holder;
}

void PeerTable::on(const PeerTick &)
{
    suspectSilent();
    sendHeartbeats();
}

void PeerTable::on(const PeerStop &)
{
    m_leaving = true;
    sendHeartbeats();
}

PeerTable::Peer *PeerTable::admitSender(const PeerAddress &sender)
{
    const auto found = m_peers.find(sender.holder.host);
    if (found == m_peers.end()) {
        Peer peer{sender, makeDetector(m_detectorKind, heartbeatInterval), 0, {}, false, false, m_now, notVouched};
        const auto entry = m_peers.emplace(sender.holder.host, std::move(peer)).first;
        note(entry->second, PeerChange::Joined);
        return &entry->second;
    }
    Peer &peer = found->second;
    if (sender.holder.incarnation < peer.address.holder.incarnation) {
        return nullptr;
    }
    if (sender.holder.incarnation > peer.address.holder.incarnation) {
        const bool restarted = peer.sequence > 0 && peer.address.holder.incarnation != Incarnation{};
        peer.detector = makeDetector(m_detectorKind, heartbeatInterval);
        peer.sequence = 0;
        peer.sessionIdle = notVouched;
        if (restarted) {
            note(peer, PeerChange::Restarted);
        }
    }
    peer.address = sender;
    return &peer;
}

void PeerTable::learn(const PeerAddress &address)
{
    if (address.holder.host == m_self.holder.host || m_peers.contains(address.holder.host)) {
        return;
    }
    m_seeds.try_emplace(address.endpoint, m_now + seedLife);
}

void PeerTable::readEchoes(const Heartbeat &heartbeat)
{
    for (const HeartbeatEcho &echo : heartbeat.echoes) {
        const auto sent = m_sentAt.find(echo.sequence);
        if (echo.holder != m_self.holder || sent == m_sentAt.end()) {
            continue;
        }
        // The peer wrote this after it had our heartbeat, so not before our heartbeat was sent.
        const TimePoint at = sent->second;
        m_effects.push_back(PeerConfigSeen{heartbeat.sender.holder.host, heartbeat.config, at - heartbeat.configAge});
        m_effects.push_back(SessionVouched{heartbeat.sender.holder, at, echo.sessionIdle});
    }
}

void PeerTable::suspectSilent()
{
    bool changed = false;
    for (auto &[host, peer] : m_peers) {
        if (peer.live && isSuspected(peer.detector, m_now)) {
            peer.live = false;
            changed = true;
            note(peer, PeerChange::Suspected);
        }
    }
    const auto forgotten
        = std::erase_if(m_peers, [this](const auto &entry) { return m_now - entry.second.lastHeard > forgetAfter; });
    if (changed || forgotten > 0) {
        reportLive();
    }
}

void PeerTable::sendHeartbeats()
{
    const Heartbeat heartbeat = ownHeartbeat();
    m_sentAt.emplace(m_sequence, m_now);
    if (m_sentAt.size() > rememberedHeartbeats) {
        m_sentAt.erase(m_sentAt.begin());
    }
    std::erase_if(m_seeds, [this](const auto &seed) { return seed.second <= m_now; });
    std::set<Endpoint> targets;
    for (const auto &[endpoint, until] : m_seeds) {
        targets.insert(endpoint);
    }
    for (const auto &[host, peer] : m_peers) {
        targets.insert(peer.address.endpoint);
    }
    for (const Endpoint &target : targets) {
        m_effects.push_back(SendHeartbeat{target, heartbeat});
    }
}

Heartbeat PeerTable::ownHeartbeat()
{
    Heartbeat heartbeat;
    heartbeat.sender = m_self;
    heartbeat.sequence = ++m_sequence;
    heartbeat.leaving = m_leaving;
    heartbeat.config = m_config;
    const bool confirmed = m_configConfirmed != TimePoint{};
    heartbeat.configAge = confirmed ? std::chrono::ceil<Duration>(m_now - m_configConfirmed) : neverConfirmed;
    for (const auto &[host, peer] : m_peers) {
        heartbeat.echoes.push_back({peer.address.holder, peer.sequence, peer.sessionIdle});
        if (peer.live) {
            heartbeat.known.push_back(peer.address);
        }
    }
    heartbeat.spent = std::exchange(m_usage.spent, {});
    heartbeat.spare = m_usage.spare;
    for (auto entry = m_demand.begin(); entry != m_demand.end();) {
        heartbeat.demand.push_back(entry->second);
        // An idle team is told once, then left out.
        const bool idle = entry->second.running == 0 && entry->second.waiting == 0;
        entry = idle ? m_demand.erase(entry) : std::next(entry);
    }
    return heartbeat;
}

void PeerTable::reportLive()
{
    PeersChanged changed;
    changed.live.push_back(m_self);
    for (const auto &[host, peer] : m_peers) {
        if (peer.live) {
            changed.live.push_back(peer.address);
        }
    }
    std::sort(changed.live.begin(), changed.live.end());
    m_effects.push_back(std::move(changed));
}

void PeerTable::note(const Peer &peer, PeerChange change)
{
    m_effects.push_back(PeerNoted{peer.address, change});
}

} // namespace radishvane
