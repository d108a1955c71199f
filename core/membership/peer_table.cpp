#include "core/membership/peer_table.h"

#include <algorithm>
#include <utility>

namespace radishvane
{

namespace
{

/// Number of sent heartbeats whose send times are kept for echoes.
constexpr std::size_t maxRememberedHeartbeats = 64;
/// Encoded sizes, in bytes, for the size limit of a heartbeat: the header with one named peer, one echo, and one number
/// with the length of its name.
constexpr std::size_t headerBytes = 120;
constexpr std::size_t echoBytes = 28;
constexpr std::size_t numberBytes = 5;
/// Time for which heartbeats are sent to an address that a peer has named.
constexpr Duration seedLifetime{30'000};
/// Age of the configuration to send while none has been confirmed.
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
    Peer *peer = acceptSender(heartbeat.sender);
    if (peer == nullptr || heartbeat.sequence <= peer->sequence) {
        // A datagram from an earlier incarnation, or a duplicate or reordered one.
        return;
    }
    peer->sequence = heartbeat.sequence;
    peer->config = std::max(peer->config, heartbeat.config);
    peer->lastHeartbeat = m_now;
    recordHeartbeat(peer->detector, m_now);
    const bool live = !heartbeat.leaving;
    if (peer->live != live) {
        log(*peer, live ? PeerChange::Returned : PeerChange::Left);
        peer->live = live;
        reportLive();
    }
    peer->leaving = heartbeat.leaving;
    for (const PeerAddress &address : heartbeat.known) {
        addSeed(address);
    }
    // Only an echo bounds the time of confirmation, so that the version is reported without it here.
    m_effects.push_back(PeerConfigObserved{heartbeat.sender.holder.host, heartbeat.config, TimePoint{}});
    processEchoes(heartbeat);
    m_effects.push_back(
        PeerUsageObserved{heartbeat.sender.holder.host, heartbeat.spent, heartbeat.spare, heartbeat.demand});
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
    m_configConfirmedAt = TimePoint{};
}

void PeerTable::on(const OwnConfigConfirmed &event)
{
    m_configConfirmedAt = std::max(m_configConfirmedAt, event.at);
}

void PeerTable::on(const OwnUsage &event)
{
    for (const HeartbeatUsage &spent : event.spent) {
        m_spent[{spent.service, spent.team}] += spent.slotMilliseconds;
    }
    m_spare = event.spare;
}

void PeerTable::on(const OwnDemand &event)
{
    m_demand[{event.demand.team, event.demand.use}] = event.demand;
}

void PeerTable::on(const SessionIdleObserved &event)
{
    const auto found = m_peers.find(event.holder.host);
    if (found != m_peers.end() && found->second.address.holder == event.holder) {
        found->second.sessionIdle = event.idle;
    }
}

void PeerTable::on(const OwnHolderAssigned &event)
{
    m_self.holder = event.holder;
}

void PeerTable::on(const PeerTick &)
{
    suspectUnreachable();
    sendHeartbeats();
}

void PeerTable::on(const PeerStop &)
{
    m_leaving = true;
    sendHeartbeats();
}

PeerTable::Peer *PeerTable::acceptSender(const PeerAddress &sender)
{
    const auto found = m_peers.find(sender.holder.host);
    if (found == m_peers.end()) {
        Peer peer{
            sender, makeDetector(m_detectorKind, heartbeatInterval), 0, {}, false, false, m_now, sessionIdleUnknown};
        const auto entry = m_peers.emplace(sender.holder.host, std::move(peer)).first;
        log(entry->second, PeerChange::Joined);
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
        peer.sessionIdle = sessionIdleUnknown;
        if (restarted) {
            log(peer, PeerChange::Restarted);
        }
    }
    peer.address = sender;
    return &peer;
}

void PeerTable::addSeed(const PeerAddress &address)
{
    if (address.holder.host == m_self.holder.host || m_peers.contains(address.holder.host)) {
        return;
    }
    m_seeds.try_emplace(address.endpoint, m_now + seedLifetime);
}

void PeerTable::processEchoes(const Heartbeat &heartbeat)
{
    for (const HeartbeatEcho &echo : heartbeat.echoes) {
        const auto sent = m_sentAt.find(echo.sequence);
        if (echo.holder != m_self.holder || sent == m_sentAt.end()) {
            continue;
        }
        // The peer wrote the echo after receiving this host's heartbeat, hence not before that was sent.
        const TimePoint at = sent->second;
        m_effects.push_back(
            PeerConfigObserved{heartbeat.sender.holder.host, heartbeat.config, at - heartbeat.configAge});
        m_effects.push_back(SessionLivenessConfirmed{heartbeat.sender.holder, at, echo.sessionIdle});
    }
}

void PeerTable::suspectUnreachable()
{
    bool changed = false;
    for (auto &[host, peer] : m_peers) {
        if (peer.live && isSuspected(peer.detector, m_now)) {
            peer.live = false;
            changed = true;
            log(peer, PeerChange::Suspected);
        }
    }
    const auto forgotten = std::erase_if(
        m_peers, [this](const auto &entry) { return m_now - entry.second.lastHeartbeat > forgetTimeout; });
    if (changed || forgotten > 0) {
        reportLive();
    }
}

void PeerTable::sendHeartbeats()
{
    const Heartbeat heartbeat = ownHeartbeat();
    m_sentAt.emplace(m_sequence, m_now);
    if (m_sentAt.size() > maxRememberedHeartbeats) {
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
    const bool confirmed = m_configConfirmedAt != TimePoint{};
    heartbeat.configAge = confirmed ? std::chrono::ceil<Duration>(m_now - m_configConfirmedAt) : neverConfirmed;
    for (const auto &[host, peer] : m_peers) {
        heartbeat.echoes.push_back({peer.address.holder, peer.sequence, peer.sessionIdle});
    }
    addKnownPeer(heartbeat);
    addUsage(heartbeat);
    return heartbeat;
}

void PeerTable::addKnownPeer(Heartbeat &heartbeat)
{
    std::vector<const Peer *> live;
    for (const auto &[host, peer] : m_peers) {
        if (peer.live) {
            live.push_back(&peer);
        }
    }
    if (!live.empty()) {
        heartbeat.known.push_back(live[m_nextKnownPeer++ % live.size()]->address);
    }
}

void PeerTable::addUsage(Heartbeat &heartbeat)
{
    const std::size_t targets = std::max<std::size_t>(m_peers.size(), 1);
    std::size_t bytesLeft = maxBytesPerSecond * heartbeatInterval.count() / 1'000 / targets;
    const std::size_t headerSize = headerBytes + heartbeat.echoes.size() * echoBytes;
    bytesLeft -= std::min(bytesLeft, headerSize);
    const auto reserve = [&bytesLeft](std::size_t bytes) {
        const bool fits = bytes <= bytesLeft;
        bytesLeft -= fits ? bytes : 0;
        return fits;
    };
    for (const HeartbeatSpareSlots &spare : m_spare) {
        if (spare.slots > 0 && reserve(spare.service.name().size() + numberBytes)) {
            heartbeat.spare.push_back(spare);
        }
    }
    // Demand is sent round-robin, so that every team's demand is repeated before receivers consider it stale.
    auto demand = m_demand.lower_bound(m_nextDemand);
    for (std::size_t remaining = m_demand.size(); remaining > 0; --remaining) {
        demand = demand == m_demand.end() ? m_demand.begin() : demand;
        if (!reserve(demand->second.team.name().size() + 2 * numberBytes)) {
            break;
        }
        heartbeat.demand.push_back(demand->second);
        // The demand of an idle team is sent once and then removed.
        const bool idle = demand->second.running == 0 && demand->second.waiting == 0;
        demand = idle ? m_demand.erase(demand) : std::next(demand);
    }
    m_nextDemand = demand == m_demand.end() ? std::pair<TeamId, RightsUse>() : demand->first;
    for (auto spent = m_spent.begin(); spent != m_spent.end();) {
        if (!reserve(spent->first.first.name().size() + spent->first.second.name().size() + 2 * numberBytes)) {
            break;
        }
        heartbeat.spent.push_back({spent->first.first, spent->first.second, spent->second});
        spent = m_spent.erase(spent);
    }
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

void PeerTable::log(const Peer &peer, PeerChange change)
{
    m_effects.push_back(PeerLogEntry{peer.address, change});
}

} // namespace radishvane
