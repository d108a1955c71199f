#include "core/quota/rights_ledger.h"

#include "core/quota/lease_times.h"

#include <algorithm>
#include <utility>

namespace radishvane
{

namespace
{

/// Rights requested beyond the present demand, so that the next request does not wait for a write.
constexpr std::uint32_t headroom = 1;

std::size_t indexOf(RightsUse use)
{
    return static_cast<std::size_t>(use);
}

constexpr std::array<RightsUse, 2> allUses{RightsUse::Requests, RightsUse::Jobs};

} // namespace

RightsLedger::RightsLedger(HostId host) : m_host(std::move(host))
{
}

LedgerEffects RightsLedger::handle(const LedgerEvent &event, TimePoint now)
{
    m_now = now;
    m_effects.clear();
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    return std::exchange(m_effects, {});
}

void RightsLedger::on(const PlatformAnswered &event)
{
    const auto operation = m_operations.find(event.id);
    if (operation == m_operations.end()) {
        return;
    }
    const TeamId team = operation->second;
    m_operations.erase(operation);
    TeamState &state = m_teams[team];
    state.operation = {};
    if (const auto *found = std::get_if<RowFound>(&event.answer)) {
        onRow(team, state, found->row);
    } else if (std::holds_alternative<RowAbsent>(event.answer)) {
        onRow(team, state, StoredRow{rowKey::rightsOf(team), 0, RightsRow{team, 0, {}, {}}, {}});
    } else if (const auto *written = std::get_if<RowsWritten>(&event.answer)) {
        onWritten(team, state, *written);
    } else {
        // After a conflict or a failed call, the rights of this host are read from the row before anything else.
        state.rowKnown = false;
        if (const auto *failed = std::get_if<PlatformFailed>(&event.answer)) {
            handleWriteFailure(state, failed->error);
        }
        state.nextCheck
            = m_now + (std::holds_alternative<WriteConflict>(event.answer) ? Duration(0) : starvedRetryInterval);
    }
    reconcile(team, state);
    finishStop();
}

void RightsLedger::handleWriteFailure(TeamState &state, PlatformError error)
{
    const bool wasWritePending = state.writePending;
    state.writePending = false;
    if (!wasWritePending || error == PlatformError::Unavailable) {
        return;
    }
    // The write may still take effect and remove the rights that it released, so they are not used until another write
    // resolves its outcome.
    state.inDoubt = true;
    for (std::size_t index = 0; index < useCount; ++index) {
        Rights &held = state.use[index].held;
        held = Rights{std::min(held.standing, state.pendingRights[index].standing),
                      std::min(held.leased, state.pendingRights[index].leased)};
    }
}

void RightsLedger::on(const LedgerConfig &event)
{
    const std::shared_ptr<const Config> before = std::exchange(m_config, event.config);
    m_longestRun = Duration(0);
    for (const auto &[id, service] : m_config->services) {
        m_longestRun = std::max(m_longestRun, service.longestRun);
    }
    for (const auto &[team, settings] : m_config->teams) {
        TeamState &state = m_teams[team];
        const auto old = before == nullptr ? m_config->teams.end() : before->teams.find(team);
        if (before != nullptr && old != before->teams.end() && old->second.ceiling > settings.ceiling) {
            // Reads the row again, because only the row shows whether the grants still fit under the lower ceiling.
            state.rowKnown = false;
        }
        reconcile(team, state);
    }
}

void RightsLedger::on(const LedgerDemand &event)
{
    TeamState &state = m_teams[event.team];
    UseState &use = state.use[indexOf(event.use)];
    use.running = event.running;
    use.waiting = event.waiting;
    use.confirmed = std::max(use.confirmed, event.generation);
    reconcile(event.team, state);
    finishStop();
}

void RightsLedger::on(const LedgerPeerDemand &event)
{
    TeamState &state = m_teams[event.team];
    state.peers[{event.peer, event.use}] = {event.running + event.waiting, m_now};
}

void RightsLedger::on(const LedgerPeers &event)
{
    m_liveHosts = event.live;
}

void RightsLedger::on(const LedgerHostList &event)
{
    m_holders.updateHosts(event.hosts, m_now);
}

void RightsLedger::on(const SessionHeld &event)
{
    m_self = event.holder;
    m_epoch = event.epoch;
    for (auto &[team, state] : m_teams) {
        // Leased rights of the previous epoch are void; the row is read again for the grants that remain.
        state.rowKnown = false;
        for (const RightsUse kind : allUses) {
            UseState &use = state.use[indexOf(kind)];
            use.held.leased = 0;
            setAllowance(team, use, kind, Rights{use.allowed.standing, 0});
        }
    }
}

void RightsLedger::on(const SessionLost &event)
{
    m_epoch = 0;
    for (auto &[team, state] : m_teams) {
        for (const RightsUse kind : allUses) {
            UseState &use = state.use[indexOf(kind)];
            // When another process took the name of this host, that process owns the standing rights.
            use.held = Rights{event.nameTaken ? 0 : use.held.standing, 0};
            setAllowance(team, use, kind, use.held);
        }
    }
}

void RightsLedger::on(const SessionsObserved &event)
{
    m_holders.updateSessions(event, m_now);
}

void RightsLedger::on(const LedgerTick &)
{
    const double passed = std::chrono::duration<double>(m_now - m_budgetAt).count();
    m_writeBudget = std::min(writesPerSecond, m_writeBudget + passed * writesPerSecond);
    m_budgetAt = m_now;
    for (auto &[team, state] : m_teams) {
        reconcile(team, state);
    }
    finishStop();
}

void RightsLedger::on(const LedgerStop &)
{
    m_stopping = true;
    for (auto &[team, state] : m_teams) {
        reconcile(team, state);
    }
    finishStop();
}

void RightsLedger::reconcile(const TeamId &team, TeamState &state)
{
    if (state.operation != OperationId{} || m_epoch == 0 || m_config == nullptr) {
        return;
    }
    updateTurn(state, ceilingOf(team));
    const RightsPerUse wanted = targetRights(team, state);
    raiseAllowance(team, state, wanted);
    bool needsMore = false;
    bool hasSurplus = false;
    for (std::size_t index = 0; index < useCount; ++index) {
        const Rights &held = state.use[index].held;
        needsMore = needsMore || wanted[index].standing > held.standing || wanted[index].leased > held.leased;
        hasSurplus = hasSurplus || wanted[index].standing < held.standing || wanted[index].leased < held.leased;
    }
    state.surplusSince = hasSurplus ? std::min(state.surplusSince, m_now) : TimePoint::max();
    const bool overCeiling = state.rowKnown && state.row.granted() > ceilingOf(team);
    const bool surplusExpired = hasSurplus && m_now - state.surplusSince >= surplusGracePeriod;
    const bool giveBack = hasSurplus && (m_stopping || overCeiling || surplusExpired || peersAreShort(state));
    const bool holds = state.use[0].held.total() + state.use[1].held.total() > 0;
    const bool unread = !state.rowKnown && (needsMore || hasSurplus || holds);
    if ((!needsMore && !giveBack && !unread && !state.inDoubt) || m_now < state.nextCheck) {
        return;
    }
    if (!state.rowKnown) {
        read(team, state);
        return;
    }
    if (giveBack && lowerAllowance(team, state, wanted)) {
        return;
    }
    write(team, state, wanted);
}

void RightsLedger::updateTurn(TeamState &state, std::uint32_t ceiling)
{
    const UseState &use = state.use[indexOf(RightsUse::Requests)];
    const std::uint32_t demand = use.demand() + peerDemand(state);
    const bool mustTakeTurns
        = demand > ceiling && use.held.total() == 1 && use.held.leased == 1 && peersAreShort(state);
    if (!mustTakeTurns) {
        state.turnEndsAt = TimePoint::max();
        return;
    }
    if (state.turnEndsAt == TimePoint::max()) {
        state.turnEndsAt = m_now + turnLength;
    } else if (m_now >= state.turnEndsAt) {
        state.turnEndsAt = TimePoint::max();
        state.backoffUntil = m_now + turnLength;
    }
}

RightsLedger::RightsPerUse RightsLedger::targetRights(const TeamId &team, const TeamState &state) const
{
    RightsPerUse wanted{};
    if (m_stopping) {
        return wanted;
    }
    const auto settings = m_config->teams.find(team);
    if (settings == m_config->teams.end()) {
        return wanted;
    }
    wanted[indexOf(RightsUse::Requests)].standing = standingRights(settings->second);
    if (m_now < state.backoffUntil) {
        return wanted;
    }
    for (std::size_t index = 0; index < useCount; ++index) {
        const std::uint32_t demand = state.use[index].demand();
        const std::uint32_t need = demand == 0 ? 0 : fairShare(state, demand, settings->second.ceiling);
        const std::uint32_t standing = wanted[index].standing;
        wanted[index].leased = need > standing ? need - standing : 0;
    }
    return wanted;
}

std::uint32_t RightsLedger::fairShare(const TeamState &state, std::uint32_t need, std::uint32_t ceiling) const
{
    std::uint64_t total = peerDemand(state);
    for (const UseState &use : state.use) {
        total += use.demand();
    }
    if (total + headroom <= ceiling) {
        return need + headroom;
    }
    // Rounds up, so that all rights are used; the conditional writes of the row decide which host gets the last ones.
    const std::uint64_t part = (static_cast<std::uint64_t>(ceiling) * need + total - 1) / total;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(part, need + headroom));
}

std::uint32_t RightsLedger::peerDemand(const TeamState &state) const
{
    std::uint32_t total = 0;
    for (const auto &[peer, need] : state.peers) {
        total += m_now - need.reportedAt <= peerDemandLifetime ? need.demand : 0;
    }
    return total;
}

std::uint32_t RightsLedger::standingRights(const Team &team) const
{
    constexpr std::uint32_t percent = 100;
    const std::uint32_t total = (team.ceiling * team.standingPercent + percent - 1) / percent;
    // Orders the hosts round-robin over the zones, so that the remainder is spread over the zones.
    std::map<ZoneId, std::uint32_t> ranks;
    std::vector<std::tuple<std::uint32_t, ZoneId, HostId>> order;
    for (const auto &[host, zone] : m_liveHosts) {
        order.emplace_back(ranks[zone]++, zone, host);
    }
    std::sort(order.begin(), order.end());
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        if (std::get<HostId>(order[rank]) == m_host) {
            const auto count = static_cast<std::uint32_t>(order.size());
            return total / count + (rank < total % count ? 1 : 0);
        }
    }
    return 0;
}

std::uint32_t RightsLedger::ceilingOf(const TeamId &team) const
{
    const auto found = m_config->teams.find(team);
    return found == m_config->teams.end() ? 0 : found->second.ceiling;
}

bool RightsLedger::peersAreShort(const TeamState &state) const
{
    return std::any_of(state.peers.begin(), state.peers.end(), [&](const auto &entry) {
        const auto &[peer, need] = entry;
        if (m_now - need.reportedAt > peerDemandLifetime) {
            return false;
        }
        std::uint32_t granted = 0;
        for (const RightsGrant &grant : state.row.grants) {
            granted += grant.holder.host == peer.first && grant.use == peer.second ? grant.total() : 0;
        }
        return need.demand > granted;
    });
}

void RightsLedger::raiseAllowance(const TeamId &team, TeamState &state, const RightsPerUse &wanted)
{
    for (const RightsUse kind : allUses) {
        UseState &use = state.use[indexOf(kind)];
        const Rights &target = wanted[indexOf(kind)];
        const Rights raised{std::max(use.allowed.standing, std::min(target.standing, use.held.standing)),
                            std::max(use.allowed.leased, std::min(target.leased, use.held.leased))};
        if (raised != use.allowed) {
            setAllowance(team, use, kind, raised);
        }
    }
}

bool RightsLedger::lowerAllowance(const TeamId &team, TeamState &state, const RightsPerUse &wanted)
{
    bool unconfirmed = false;
    for (const RightsUse kind : allUses) {
        UseState &use = state.use[indexOf(kind)];
        const Rights &target = wanted[indexOf(kind)];
        const Rights lowered{std::min(use.allowed.standing, target.standing),
                             std::min(use.allowed.leased, target.leased)};
        if (lowered != use.allowed) {
            setAllowance(team, use, kind, lowered);
        }
        unconfirmed = unconfirmed || use.confirmed < use.generation;
    }
    return unconfirmed;
}

void RightsLedger::read(const TeamId &team, TeamState &state)
{
    state.operation = call(team, ReadRow{rowKey::rightsOf(team)});
}

void RightsLedger::write(const TeamId &team, TeamState &state, const RightsPerUse &wanted)
{
    RightsRow row = state.row;
    const bool reclaimed = reclaimExpiredGrants(row);
    std::erase_if(row.grants, [this](const RightsGrant &grant) { return grant.holder == m_self; });
    if (m_config->version >= row.version) {
        row.team = team;
        row.ceiling = ceilingOf(team);
        row.version = m_config->version;
    }
    const std::uint32_t others = row.granted();
    const RightsPerUse own = grantableRights(state, wanted, row.ceiling > others ? row.ceiling - others : 0);
    bool changed = reclaimed || state.inDoubt;
    bool grown = false;
    bool starved = false;
    for (const RightsUse kind : allUses) {
        const Rights &rights = own[indexOf(kind)];
        const Rights &held = state.use[indexOf(kind)].held;
        changed = changed || rights != held;
        grown = grown || rights.total() > held.total();
        starved = starved || wanted[indexOf(kind)].total() > rights.total();
        if (rights.total() > 0) {
            row.grants.push_back({m_self, kind, m_epoch, rights.standing, rights.leased});
        }
    }
    if (!changed) {
        state.nextCheck = m_now + starvedRetryInterval;
        if (starved) {
            // No right is free: the row is read again before the next attempt.
            state.rowKnown = false;
            log(team, state, LedgerChange::Refused);
        }
        return;
    }
    if (!consumeWriteBudget()) {
        return;
    }
    state.pendingRow = row;
    state.pendingRights = own;
    state.writePending = true;
    const std::uint64_t expected = state.rowVersion;
    state.operation = call(team, WriteRows{{RowWrite{rowKey::rightsOf(team), expected, RowValue(std::move(row))}}});
    log(team, state, reclaimed ? LedgerChange::Reclaimed : grown ? LedgerChange::Grown : LedgerChange::Shrunk);
}

RightsLedger::RightsPerUse RightsLedger::grantableRights(const TeamState &state, const RightsPerUse &wanted,
                                                         std::uint32_t free) const
{
    RightsPerUse own{};
    // Rights that may be in use are kept even above the current ceiling, but only as far as the row still grants them:
    // work beyond that was started in an earlier session and has ended by the time other hosts reclaim its rights.
    for (std::size_t index = 0; index < useCount; ++index) {
        const UseState &use = state.use[index];
        own[index] = use.allowed;
        if (use.running > own[index].total()) {
            // Work that was started under a standing right continues under a leased one.
            const std::uint32_t inRow = use.rowTotal > own[index].standing ? use.rowTotal - own[index].standing : 0;
            own[index].leased = std::min(use.running - own[index].standing, std::max(inRow, own[index].leased));
        }
        free -= std::min(free, own[index].total());
    }
    for (std::size_t index = 0; index < useCount; ++index) {
        const std::uint32_t standing
            = wanted[index].standing > own[index].standing ? wanted[index].standing - own[index].standing : 0;
        const std::uint32_t taken = std::min(standing, free);
        own[index].standing += taken;
        free -= taken;
    }
    for (std::size_t index = 0; index < useCount; ++index) {
        const std::uint32_t leased
            = wanted[index].leased > own[index].leased ? wanted[index].leased - own[index].leased : 0;
        const std::uint32_t taken = std::min(leased, free);
        own[index].leased += taken;
        free -= taken;
    }
    return own;
}

bool RightsLedger::reclaimExpiredGrants(RightsRow &row)
{
    bool dropped = false;
    for (RightsGrant &grant : row.grants) {
        if (grant.holder == m_self) {
            continue;
        }
        if (grant.leased > 0 && m_holders.areLeasedRightsReclaimable(grant.holder, grant.epoch, m_longestRun, m_now)) {
            grant.leased = 0;
            dropped = true;
        }
        if (grant.standing > 0 && m_holders.areStandingRightsReclaimable(grant.holder, m_longestRun, m_now)) {
            grant.standing = 0;
            dropped = true;
        }
    }
    std::erase_if(row.grants, [](const RightsGrant &grant) { return grant.total() == 0; });
    return dropped;
}

void RightsLedger::onRow(const TeamId &team, TeamState &state, const StoredRow &stored)
{
    state.row = std::get<RightsRow>(stored.value);
    state.rowVersion = stored.version;
    state.rowKnown = true;
    state.writePending = false;
    for (const RightsUse kind : allUses) {
        UseState &use = state.use[indexOf(kind)];
        use.held = Rights{};
        use.rowTotal = 0;
        for (const RightsGrant &grant : state.row.grants) {
            if (grant.holder == m_self && grant.use == kind) {
                use.held = limitToPendingWrite(state, kind,
                                               Rights{grant.standing, grant.epoch == m_epoch ? grant.leased : 0});
                use.rowTotal = grant.total();
            }
        }
        const Rights bounded{std::min(use.allowed.standing, use.held.standing),
                             std::min(use.allowed.leased, use.held.leased)};
        if (bounded != use.allowed) {
            setAllowance(team, use, kind, bounded);
        }
    }
}

RightsLedger::Rights RightsLedger::limitToPendingWrite(const TeamState &state, RightsUse kind, Rights rights)
{
    if (!state.inDoubt) {
        return rights;
    }
    const Rights &written = state.pendingRights[indexOf(kind)];
    return Rights{std::min(rights.standing, written.standing), std::min(rights.leased, written.leased)};
}

void RightsLedger::onWritten(const TeamId &, TeamState &state, const RowsWritten &written)
{
    state.writePending = false;
    state.inDoubt = false;
    state.row = state.pendingRow;
    state.rowVersion = written.versions.front();
    state.nextCheck = m_now + writeInterval;
    for (std::size_t index = 0; index < useCount; ++index) {
        state.use[index].held = state.pendingRights[index];
        state.use[index].rowTotal = state.pendingRights[index].total();
    }
}

void RightsLedger::setAllowance(const TeamId &team, UseState &use, RightsUse kind, Rights rights)
{
    use.allowed = rights;
    use.generation = ++m_lastGeneration;
    m_effects.push_back(AllowanceSet{team, kind, rights.standing, rights.leased, use.generation});
}

bool RightsLedger::consumeWriteBudget()
{
    if (m_writeBudget < 1) {
        return false;
    }
    m_writeBudget -= 1;
    return true;
}

OperationId RightsLedger::call(const TeamId &team, PlatformRequest request)
{
    const OperationId id{++m_lastOperation};
    m_operations.emplace(id, team);
    m_effects.push_back(PlatformCall{id, std::move(request)});
    return id;
}

void RightsLedger::log(const TeamId &team, const TeamState &state, LedgerChange change)
{
    std::uint32_t own = 0;
    for (const Rights &rights : state.pendingRights) {
        own += rights.total();
    }
    const RightsRow &row = change == LedgerChange::Refused ? state.row : state.pendingRow;
    m_effects.push_back(LedgerLogEntry{team, change, own, row.granted(), row.ceiling});
}

void RightsLedger::finishStop()
{
    if (!m_stopping || m_released) {
        return;
    }
    for (const auto &[team, state] : m_teams) {
        const bool holds = state.use[0].held.total() + state.use[1].held.total() > 0;
        if (holds || state.operation != OperationId{}) {
            return;
        }
    }
    m_released = true;
    m_effects.push_back(LedgerReleased{});
}

} // namespace radishvane
