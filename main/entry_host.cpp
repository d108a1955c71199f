#include "main/entry_host.h"

#include "drivers/log.h"

#include <sigc++/functors/mem_fun.h>

#include <thread>

namespace radishvane
{

namespace
{

/// Longest wait for the platform to take rights back.
constexpr Duration releaseWait{5'000};

std::string processName(const HolderId &start)
{
    return start.host.name() + '-' + std::to_string(start.incarnation.value);
}

HolderId startOf(const drivers::Settings &settings, const Clock &clock)
{
    // The wall clock makes a later start larger; the table corrects it when the clock was set back in between.
    const auto started = static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    return HolderId{settings.host, Incarnation{started}};
}

} // namespace

EntryHost::EntryHost(const drivers::Settings &settings)
    : m_settings(settings)
    , m_start(startOf(settings, m_clock))
    , m_front(m_requestLoop, settings.limits)
    , m_requests(m_requestLoop, m_clock, settings.zone, processName(m_start), m_start.incarnation.value)
    , m_platform(m_controlLoop, m_clock, settings.platform, processName(m_start), settings.platformTimeout)
    , m_config(m_controlLoop, m_clock)
    , m_claims(m_controlLoop, m_clock, m_start)
    , m_rights(m_controlLoop, m_clock, settings.host, settings.zone, settings.peerAddress, m_start.incarnation)
    , m_peers(m_controlLoop, m_clock, PeerAddress{m_start, settings.zone, settings.peerAddress},
              DetectorKind::FixedWait)
    , m_hosts(m_controlLoop)
    , m_jobs(m_controlLoop, m_clock, settings.host, m_start.incarnation.value)
    , m_fleet(m_controlLoop, m_clock, settings.host)
    , m_operator(m_controlLoop, settings.host, settings.zone)
    , m_stop(m_controlLoop, m_clock, HostStopTimes{settings.leaveWait, settings.stopWait, releaseWait})
{
    wireRequests();
    wireConfig();
    wireRights();
    wireJobs();
    wireFleet();
    wirePeers();
    wirePlatform();
    wireStop();
    wireStatus();
    for (const Endpoint &peer : settings.peers) {
        m_peers.post(PeerEvent(PeerSeed{peer}));
    }
}

std::string EntryHost::listen()
{
    if (!m_peers.listen(m_settings.peerListen)) {
        return "peer_listen";
    }
    if (!m_operator.listen(m_settings.operatorListen)) {
        return "operator_listen";
    }
    return {};
}

void EntryHost::run()
{
    std::thread requests([this] { m_requestLoop.run(); });
    m_controlLoop.run();
    m_requestLoop.stop();
    requests.join();
}

void EntryHost::wireRequests()
{
    m_front.requestCame.connect([this](const drivers::CallerRequest &request) { m_requests.post(request); });
    m_front.callerLeft.connect(
        [this](ExchangeId exchange) { m_requests.post(RequestEvent(CallerDisconnected{exchange})); });
    m_requests.answered.connect([this](const servers::AnswerCaller &answer) { m_front.post(answer); });
    m_requests.claimAsked.connect([this](const ClaimKey &claim) { m_claims.post(claim); });
    m_requests.claimReleased.connect([this](const ReleaseClaim &claim) { m_claims.post(claim); });
    m_requests.demandChanged.connect(sigc::mem_fun(*this, &EntryHost::onDemand));
    m_requests.usageReported.connect(sigc::mem_fun(*this, &EntryHost::onUsageReport));
    m_claims.decided.connect([this](const ClaimDecided &decided) { m_requests.post(RequestEvent(decided)); });
    m_hosts.placed.connect([this](const HostPlacementsUpdated &placed) {
        m_requests.post(RequestEvent(placed));
        m_jobs.post(JobEvent(placed));
    });
    m_hosts.leavingChanged.connect(
        [this](const std::set<HostId> &leaving) { m_requests.post(RequestEvent(LeavingHosts{leaving})); });
}

void EntryHost::wireConfig()
{
    m_config.adopted.connect([this](const ConfigAdopted &adopted) {
        m_requests.post(RequestEvent(ConfigInForce{adopted.config}));
        m_rights.post(LedgerConfig{adopted.config});
        m_peers.post(servers::OfferConfig{adopted.config->version, adopted.files});
        m_peers.post(PeerEvent(OwnConfig{adopted.config->version}));
    });
    m_config.confirmed.connect([this](TimePoint at) {
        m_requests.post(RequestEvent(ConfigConfirmed{at}));
        m_peers.post(PeerEvent(OwnConfigConfirmed{at}));
    });
    // Callers come in only once there is something to serve them by; until then the balancer goes elsewhere.
    m_config.servable.connect([this] { m_front.post(servers::StartAccepting{m_settings.listen}); });
    m_config.outdated.connect([this] { m_requests.post(RequestEvent(ConfigSuspended{})); });
    m_config.peerAsked.connect([this](const QueryPeerConfig &ask) {
        m_peers.post(servers::FetchConfig{ask.peer, ask.version});
    });
}

void EntryHost::wireRights()
{
    m_rights.allowanceSet.connect([this](const AllowanceSet &allowance) {
        switch (allowance.use) {
        case RightsUse::Requests:
            m_requests.post(RequestEvent(
                TeamAllowance{allowance.team, allowance.standing, allowance.leased, allowance.generation}));
            return;
        case RightsUse::Jobs:
            m_jobs.post(
                JobEvent(JobAllowance{allowance.team, allowance.standing, allowance.leased, allowance.generation}));
            return;
        }
    });
    m_rights.leaseExtended.connect([this](TimePoint until) { m_requests.post(RequestEvent(LeaseExtended{until})); });
    m_rights.holderKnown.connect(
        [this](const HolderId &holder) { m_peers.post(PeerEvent(OwnHolderAssigned{holder})); });
    m_rights.sessionsObserved.connect([this](const SessionsObserved &seen) {
        for (const SessionsObserved::ObservedSession &session : seen.sessions) {
            m_peers.post(PeerEvent(PeerSeed{session.row.peer}));
            m_peers.post(PeerEvent(SessionIdleObserved{session.row.holder, session.idle}));
        }
    });
    m_hosts.listed.connect([this](const std::set<HostId> &hosts) { m_rights.post(LedgerHostList{hosts}); });
}

void EntryHost::wireJobs()
{
    m_front.jobRequestCame.connect([this](const drivers::HttpRequest &request) { m_jobs.post(request); });
    m_jobs.answered.connect([this](const servers::AnswerCaller &answer) { m_front.post(answer); });
    m_jobs.demandChanged.connect([this](const JobDemand &demand) {
        m_rights.post(LedgerDemand{demand.team, RightsUse::Jobs, demand.running, demand.waiting, demand.generation});
        m_peers.post(
            PeerEvent(OwnDemand{HeartbeatDemand{demand.team, RightsUse::Jobs, demand.running, demand.waiting}}));
    });
    m_jobs.handedBack.connect([this] { m_stop.post(JobsHandedBack{}); });
    m_config.adopted.connect(
        [this](const ConfigAdopted &adopted) { m_jobs.post(JobEvent(JobConfig{adopted.config})); });
    m_rights.leaseExtended.connect([this](TimePoint until) { m_jobs.post(JobEvent(JobLease{until})); });
    m_rights.holderKnown.connect([this](const HolderId &holder) { m_jobs.post(JobEvent(JobHolder{holder})); });
    m_rights.sessionsObserved.connect([this](const SessionsObserved &seen) { m_jobs.post(JobEvent(seen)); });
    m_hosts.leavingChanged.connect(
        [this](const std::set<HostId> &leaving) { m_jobs.post(JobEvent(JobLeavingHosts{leaving})); });
}

void EntryHost::wireFleet()
{
    m_config.adopted.connect(
        [this](const ConfigAdopted &adopted) { m_fleet.post(FleetConfigChanged{adopted.config}); });
    m_hosts.listedLive.connect([this](const std::set<HostId> &live) { m_fleet.post(FleetHostListRead{live}); });
}

void EntryHost::wirePeers()
{
    m_peers.peersChanged.connect(sigc::mem_fun(*this, &EntryHost::onPeersChanged));
    m_peers.usageObserved.connect(sigc::mem_fun(*this, &EntryHost::onPeerUsage));
    m_peers.configObserved.connect([this](const PeerConfigObserved &seen) {
        m_config.post(PeerConfigAnnounced{seen.version, seen.peer, seen.confirmedAt});
    });
    m_peers.configReceived.connect([this](const ConfigFiles &files) {
        m_config.post(PeerConfigReceived{files.version, files.files});
    });
    m_peers.livenessConfirmed.connect([this](const SessionLivenessConfirmed &confirmation) {
        m_rights.post(LivenessConfirmationReceived{confirmation.confirmedBy.host, confirmation.at, confirmation.idle});
    });
    onPeersChanged(PeersChanged{{PeerAddress{m_start, m_settings.zone, m_settings.peerAddress}}});
}

void EntryHost::wirePlatform()
{
    using servers::PlatformUser;
    const auto connect = [this](auto &task, PlatformUser user) {
        task.platformCalled.connect([this, user](const PlatformCall &call) { m_platform.post({user, call}); });
        m_platform.answered[static_cast<std::size_t>(user)].connect(
            [&task](const PlatformAnswered &answered) { task.post(answered); });
    };
    connect(m_config, PlatformUser::Config);
    connect(m_rights, PlatformUser::Rights);
    connect(m_claims, PlatformUser::Claims);
    connect(m_hosts, PlatformUser::Hosts);
    connect(m_jobs, PlatformUser::Jobs);
    connect(m_fleet, PlatformUser::Fleet);
}

void EntryHost::wireStop()
{
    m_stop.stageChanged.connect(sigc::mem_fun(*this, &EntryHost::onStage));
    m_requests.statusChanged.connect([this](const servers::RequestStatus &status) {
        m_stop.post(OpenCallsCounted{status.waiting + status.running});
    });
    m_requests.openRequestsAnswered.connect([this] { m_front.post(servers::AnswerRemaining{}); });
    m_front.openCallsAnswered.connect([this] { m_stop.post(OpenCallsAnswered{}); });
    m_rights.released.connect([this] { m_stop.post(RightsReleased{}); });
}

void EntryHost::wireStatus()
{
    m_requests.statusChanged.connect([this](const servers::RequestStatus &status) { m_operator.post(status); });
    m_config.statusChanged.connect([this](const servers::ConfigStatus &status) { m_operator.post(status); });
    m_peers.statusChanged.connect([this](const servers::MembershipStatus &status) { m_operator.post(status); });
    m_rights.statusChanged.connect([this](const servers::RightsStatus &status) { m_operator.post(status); });
    m_hosts.leavingChanged.connect(
        [this](const std::set<HostId> &leaving) { m_operator.post(servers::LeavingStatus{leaving}); });
    m_jobs.statusChanged.connect([this](const servers::JobStatus &status) { m_operator.post(status); });
    m_platform.statusChanged.connect([this](const servers::PlatformStatus &status) { m_operator.post(status); });
}

void EntryHost::onPeersChanged(const PeersChanged &changed)
{
    LedgerPeers peers;
    EntryHostPosition place{0, static_cast<std::uint32_t>(changed.live.size())};
    for (std::size_t index = 0; index < changed.live.size(); ++index) {
        const PeerAddress &peer = changed.live[index];
        peers.live.emplace_back(peer.holder.host, peer.zone);
        if (peer.holder.host == m_settings.host) {
            place.index = static_cast<std::uint32_t>(index);
        }
    }
    m_requests.post(RequestEvent(place));
    JobPeers jobPeers;
    for (const auto &[host, zone] : peers.live) {
        jobPeers.live.push_back(host);
    }
    m_fleet.post(FleetPeersChanged{jobPeers.live});
    m_jobs.post(JobEvent(jobPeers));
    m_rights.post(peers);
}

void EntryHost::onPeerUsage(const PeerUsageObserved &usage)
{
    postSpent(usage.spent);
    for (const HeartbeatUsage &spent : usage.spent) {
        m_requests.post(
            RequestEvent(PeerUsage{spent.service, spent.team, static_cast<double>(spent.slotMilliseconds)}));
    }
    for (const HeartbeatSpareSlots &spare : usage.spare) {
        m_requests.post(RequestEvent(PeerSpareSlots{usage.peer, spare.service, spare.slots}));
    }
    for (const HeartbeatDemand &demand : usage.demand) {
        m_rights.post(LedgerPeerDemand{usage.peer, demand.team, demand.use, demand.running, demand.waiting});
    }
}

void EntryHost::onUsageReport(const UsageReport &report)
{
    OwnUsage usage;
    for (const SpentSlotTime &spent : report.spent) {
        usage.spent.push_back({spent.service, spent.team, static_cast<std::uint32_t>(spent.slotMilliseconds)});
    }
    for (const SpareSlots &spare : report.spare) {
        usage.spare.push_back({spare.service, spare.slots});
    }
    m_peers.post(PeerEvent(usage));
    postSpent(report.spent);
}

template<typename Spent>
void EntryHost::postSpent(const std::vector<Spent> &spent)
{
    std::map<ServiceId, double> services;
    for (const Spent &entry : spent) {
        services[entry.service] += entry.slotMilliseconds;
    }
    for (const auto &[service, milliseconds] : services) {
        m_fleet.post(FleetUsageReported{service, milliseconds});
    }
}

void EntryHost::onDemand(const TeamDemand &demand)
{
    m_rights.post(LedgerDemand{demand.team, RightsUse::Requests, demand.running, demand.waiting, demand.generation});
    m_peers.post(
        PeerEvent(OwnDemand{HeartbeatDemand{demand.team, RightsUse::Requests, demand.running, demand.waiting}}));
}

void EntryHost::onStage(StopStage stage)
{
    m_operator.post(stage);
    switch (stage) {
    case StopStage::Serving:
        return;
    case StopStage::Leaving:
        m_front.post(servers::CloseAfterAnswers{});
        return;
    case StopStage::Finishing:
        m_front.post(servers::StopAccepting{});
        m_requests.post(RequestEvent(StopRequested{m_clock.now() + m_settings.stopWait}));
        m_jobs.post(JobEvent(JobStop{}));
        return;
    case StopStage::Releasing:
        m_requests.post(RequestEvent(AnswerOpenRequests{}));
        m_peers.post(PeerEvent(PeerStop{}));
        m_rights.post(servers::ReleaseRights{});
        return;
    case StopStage::Stopped:
        m_controlLoop.stop();
        return;
    }
}

} // namespace radishvane
