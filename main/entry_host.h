#pragma once

#include "drivers/event_loop.h"
#include "drivers/settings.h"
#include "drivers/system_clock.h"
#include "servers/claim_task.h"
#include "servers/config_task.h"
#include "servers/fleet_task.h"
#include "servers/front_task.h"
#include "servers/hosts_task.h"
#include "servers/job_task.h"
#include "servers/operator_task.h"
#include "servers/peer_task.h"
#include "servers/platform_task.h"
#include "servers/request_task.h"
#include "servers/rights_task.h"
#include "servers/stop_task.h"

#include <string>

namespace radishvane
{

/// One entry host: its tasks, and the wiring from each task's outputs to the mailboxes of others.
///
/// Two event loops, each with its thread: requests, and everything else, so that a slow platform or a large
/// configuration never holds a request up.
class EntryHost
{
public:
    explicit EntryHost(const drivers::Settings &settings);

    /// Binds the ports of peers and operators; that of callers is bound with the first configuration. @return the name
    /// of the port that could not be bound, or nothing.
    std::string listen();
    /// Runs until the host has stopped.
    void run();

private:
    void wireRequests();
    void wireConfig();
    void wireRights();
    void wireJobs();
    void wireFleet();
    void wirePeers();
    void wirePlatform();
    void wireStop();
    void wireStatus();
    void onPeersChanged(const PeersChanged &changed);
    void onPeerUsage(const PeerUsageObserved &usage);
    void onUsageReport(const UsageReport &report);
    /// Tells the fleet task the slot time of each service, all teams together.
    template<typename Spent>
    void postSpent(const std::vector<Spent> &spent);
    void onDemand(const TeamDemand &demand);
    void onStage(StopStage stage);

    drivers::Settings m_settings;
    drivers::SystemClock m_clock;
    HolderId m_start;
    drivers::EventLoop m_requestLoop;
    drivers::EventLoop m_controlLoop;
    servers::FrontTask m_front;
    servers::RequestTask m_requests;
    servers::PlatformTask m_platform;
    servers::ConfigTask m_config;
    servers::ClaimTask m_claims;
    servers::RightsTask m_rights;
    servers::PeerTask m_peers;
    servers::HostsTask m_hosts;
    servers::JobTask m_jobs;
    servers::FleetTask m_fleet;
    servers::OperatorTask m_operator;
    servers::StopTask m_stop;
};

} // namespace radishvane
