#pragma once

#include "core/cells/cell_controller.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace radishvane::tests
{

/// One run on a worker of the model.
struct ModelRun
{
    cells::RunNumber number = 0;
    std::int64_t startedAt = 0;
    /// Time that the work takes; the run fails when negative.
    std::int64_t duration = 0;
    bool isService = false;
    bool stalled = false;
    std::optional<std::int64_t> stopsAt;
};

/// A worker of the model: leases, fences and lists as the published protocol has them. It guards nothing.
struct ModelWorker
{
    cells::WorkerEntry entry;
    bool alive = true;
    bool listed = true;
    /// Calls from any host get no answer.
    bool cut = false;
    /// Calls to a worker that is cut off are never sent, where others get no answer.
    bool refusesConnections = false;
    /// Its host runs another worker.
    bool replaced = false;
    /// Tasks that start here make no progress.
    bool stalls = false;
    /// Tasks that start here fail.
    bool fails = false;
    /// Every start is invalid.
    bool rejectsStarts = false;
    std::uint64_t rejectedStarts = 0;
    /// Reported for each task that runs here.
    double load = 0;
    cells::Epoch fence = 0;
    std::int64_t deadline = 0;
    /// Last time at which the lease of the worker's runs had expired.
    std::int64_t lapsedAt = 0;
    std::int64_t bornAt = 0;
    /// Rate of the worker's clock; the platform allows 2 % less than that of the hosts.
    double clockRate = 0.98;
    std::map<cells::TaskId, ModelRun> running;
    std::vector<cells::EndedRow> ended;
    std::uint64_t lastEnd = 0;
    /// Time of each end, by its number.
    std::map<std::uint64_t, std::int64_t> endedAt;
    std::uint64_t acknowledged = 0;
    /// Highest run of a task that was stopped or has ended here.
    std::map<cells::TaskId, cells::RunNumber> closed;
};

struct ModelNode
{
    std::unique_ptr<cells::CellController> controller;
    HostId host;
    cells::HostCapacity capacity;
    /// Whether the calls of the node queue in its link at the rate in @c capacity. Otherwise they are sent at once.
    bool queuesInLink = false;
    /// When the link has sent all calls so far.
    double linkFreeAt = 0;
    bool alive = true;
    bool cutFromStore = false;
    bool frozen = false;
    /// Which life of the node this is; answers to an earlier one are lost.
    std::uint64_t life = 0;
    std::vector<cells::CellEvent> held;
};

/// A site in virtual time: entry hosts with the real decisions, and a store and workers that keep the published
/// protocol.
///
/// Checks what must always hold whenever a worker starts a task, and collects what was broken.
class CellSite
{
public:
    /// Milliseconds that a worker takes to stop a task.
    static constexpr std::int64_t stopTime = 900;

    explicit CellSite(std::uint64_t seed = 1);

    /// Chance that a call's answer is lost, and that a lost order is carried out seconds later.
    double lostAnswers = 0;
    /// Chance that a message is held up in the link of an entry host for up to @c maxHoldUp, half of the time with all
    /// that follow it. A call that has no answer in time is answered as unknown, and may be carried out later.
    double heldUp = 0;
    std::int64_t maxHoldUp = 4'000;
    /// Chance that a run fails by its own fault.
    double failingRuns = 0;
    bool storeDown = false;
    /// Whether the store rejects each call that writes a row with this key.
    std::function<bool(const std::string &)> isRejected;
    std::uint64_t rejectedWrites = 0;
    /// Whether rows are kept as a version writes them that stores no starts.
    bool omitsStarts = false;
    /// The next write of rows gets no answer, and is carried out three seconds later.
    bool loseNextWrite = false;
    /// The next write that releases the cell gets no answer, and is carried out after so many milliseconds.
    std::optional<std::int64_t> loseNextRelease;
    /// The next start gets no answer, and is carried out after so many milliseconds.
    std::optional<std::int64_t> loseNextStart;
    /// The next lease renewal with a deadline gets no answer, and is carried out after so many milliseconds.
    std::optional<std::int64_t> loseNextRenewal;
    /// The next acknowledgement of ends gets no answer, and is carried out after so many milliseconds.
    std::optional<std::int64_t> loseNextAcknowledgement;
    /// Requests of entry hosts for a handover.
    std::uint64_t handoverRequests = 0;
    /// Workers for which the admission service gives tickets.
    std::set<std::string> admitted;
    /// Whether the validity of a ticket begins when the service starts to decide, instead of with its answer.
    bool areTicketsValidFromCall = false;
    /// Starts that a worker rejected because of their tickets, and calls to the admission service.
    std::uint64_t rejectedTickets = 0;
    std::uint64_t admissionCalls = 0;
    std::int64_t storeDelay = 6;
    /// Limits of the host service, for nodes that start from now on. It refuses orders beyond the rate.
    cells::HostServiceLimits hostService;
    /// Orders for hosts that were refused because of the rate.
    std::uint64_t excessHostOrders = 0;
    /// Milliseconds after which a list of hosts arrives; it shows the hosts at the time of the request.
    std::int64_t hostListDelay = 4;
    /// Whether the host service gives no lists.
    bool refusesLists = false;
    /// Run time of tasks in milliseconds, by job; 300 when not set.
    std::map<JobId, std::int64_t> durations;

    ModelNode &addNode(const std::string &name, cells::HostCapacity capacity = {});
    ModelWorker &addWorker(const std::string &id, const std::string &pool, std::uint64_t cpu);
    void addQueue(const std::string &name, const std::string &pool, std::uint32_t maxFailures = 3);
    void setPriority(const std::string &queue, std::uint32_t priority);
    /// Time that is added to the objective of the queue's jobs.
    void setTargetDuration(const std::string &queue, Duration time);
    /// Lets the admission service decide about the steps of a queue.
    void setAdmission(const std::string &queue,
                      cells::AdmissionTimes times = {Duration(20), Duration(2), Duration(3'000)});
    void addTeam(const std::string &name, std::uint64_t cpuCeiling, double weight = 1'000);
    /// A pool whose hosts are switched off, with so many hosts; their workers are named after the pool.
    void addStandby(const std::string &pool, std::size_t hosts, std::uint64_t cpu);
    /// A wave over the hosts of these workers.
    void addWave(std::uint64_t number, const std::vector<std::string> &workers, std::uint32_t maxHostsDown);

    /// Hands a job to a node; answers are collected by job.
    void submit(const std::string &node, const std::string &job, const std::string &queue, cells::GraphSpec spec,
                const std::string &team = {});
    void cancel(const std::string &node, const std::string &job);
    void kill(const std::string &node);
    /// Starts a killed node anew.
    void restart(const std::string &node);
    void stop(const std::string &node);
    void freeze(const std::string &node);
    void thaw(const std::string &node);
    void crash(const std::string &worker);
    /// A new life of a crashed worker under the same id.
    void revive(const std::string &worker);
    /// The host of a worker starts anew under another id.
    void replace(const std::string &worker, const std::string &by);

    void run(Duration time);

    ModelNode &node(const std::string &name);
    ModelWorker &worker(const std::string &id);
    /// The node that owns the cell for certain, or nothing.
    std::string owner() const;
    /// State of a job as its owner shows it; nothing when no owner knows it.
    std::optional<cells::GraphState> state(const std::string &job) const;
    /// Answers to submissions by job.
    const std::vector<cells::CallAnswer> &answers(const std::string &job);
    /// Recommended delay of the last refusal of a job.
    Duration retryAfter(const std::string &job) const;
    std::size_t runs(const std::string &job) const;
    std::size_t runningOn(const std::string &worker) const;
    bool isMaintained(const std::string &worker) const;
    /// Hosts that are in @p pool, or on their way to it.
    std::size_t hostsIn(const std::string &pool) const;
    std::int64_t time() const;
    WallTime wall() const;
    /// What a new owner reads from the store.
    cells::CellContents stored() const;

    /// Parts of the list of workers, and the row of hosts with orders, that cannot be read until they are written.
    std::set<std::uint32_t> lostRosterParts;
    bool areHostOrdersLost = false;

    std::vector<std::string> broken;
    /// Decisions of all nodes in the order of their log.
    std::vector<cells::DecisionLogEntry> log;
    std::set<std::uint64_t> completedWaves;
    /// Whether the store rejects reports of waves, and how many it has rejected.
    bool rejectsReports = false;
    std::uint64_t rejectedReports = 0;
    std::uint64_t storeWrites = 0;
    std::uint64_t holds = 0;
    std::uint64_t moves = 0;
    /// Chance that an order for a host has no answer, and is carried out seconds later.
    double lostHostOrders = 0;
    /// Whether the host service refuses orders, and does nothing.
    bool refusesHostOrders = false;
    /// Milliseconds after which an order without an answer is carried out.
    std::int64_t hostOrderDelay = 3'000;

private:
    /// The life of a node that made a call, and that gets its answer.
    struct Caller
    {
        std::string node;
        std::uint64_t life = 0;
    };

    struct Timed
    {
        std::int64_t at = 0;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const Timed &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    /// A call of an entry host that waits for its answer: the host, its life and the call.
    using OpenCall = std::tuple<std::string, std::uint64_t, cells::CallId>;

    /// A run that was listed as done to an owner.
    struct ListedEnd
    {
        std::string worker;
        std::int64_t bornAt = 0;
        std::int64_t endedAt = 0;
    };

    struct IssuedTicket
    {
        JobId job;
        std::uint32_t step = 0;
        std::string worker;
        std::int64_t bornAt = 0;
        std::int64_t validUntil = 0;
    };

    /// What is known about a service task that is not at work.
    struct ServiceState
    {
        std::int64_t lastAtWork = 0;
        bool endedByOrder = false;
    };

    enum class Direction {
        Out,
        In,
    };

    Instant instant() const;
    /// Time for which the next message waits in the link of @p node.
    std::int64_t holdUp(const std::string &node, Direction direction);
    /// Sends a call through the link of its caller, and answers it with @p unknown when no answer comes in time.
    void sendCall(const Caller &caller, cells::CallId call, std::int64_t timeout, const cells::CellEvent &unknown,
                  std::function<void()> action);
    /// Takes note of the ends that an owner reads.
    void noteListedEnds(const std::string &node, const cells::LeaseRenewalAnswered &answer);
    /// Checks that a task of a job that is stored as failed has failed as often as its queue allows.
    void checkFailed(const JobId &job);
    void checkDisruption(const ModelWorker &worker, const cells::TaskId &task);
    void later(std::int64_t delay, std::function<void()> action);
    void give(const std::string &node, const cells::CellEvent &event);
    void give(const Caller &caller, const cells::CellEvent &event);
    void apply(const std::string &node, const cells::CellEffect &effect);
    void tickNode(const std::string &name);
    void tellNode(const std::string &name);
    void tickWorkers();
    /// A host that was moved or maintained is up again, in its pool of now.
    void comeBack(const std::string &worker);
    void beginIncarnation(const std::string &worker);

    /// Queues a call in the link of a node and returns the time until it has been sent. If that is longer than the
    /// time limit of the call, the call is answered with @p unknown before.
    std::int64_t linkDelay(const Caller &caller, std::size_t payloadBytes, const std::function<void()> &unknown);
    void write(const Caller &caller, const cells::WriteCell &call);
    bool isAccepted(const cells::CellTransaction &transaction) const;
    cells::CellWritten carryOut(const cells::WriteCell &call);
    void read(const Caller &caller, const cells::ReadCell &call);
    /// Carries a request for a handover to the owner that its sender knows.
    void requestHandover(const Caller &caller, const cells::RequestHandover &request);
    /// Answers the calls of each node one after the other.
    void decideAdmission(const Caller &caller, const cells::QueryAdmission &query);
    /// Whether the worker accepts the ticket of a start; always if its queue needs none.
    bool acceptsTicket(const ModelWorker &worker, const cells::StartOrder &order) const;
    void start(const Caller &caller, const cells::StartOrder &order);
    /// Checks that the store names the start before its order leaves the owner.
    void checkIsStored(const cells::StartOrder &order);
    /// @param sentAt time at which the owner decided.
    void stopTask(const Caller &caller, const cells::StopOrder &order, std::int64_t sentAt);
    void renewLease(const Caller &caller, const cells::LeaseRenewalOrder &order);
    void extendLease(const cells::LeaseRenewalOrder &order);
    /// Extends the lease and forgets the acknowledged ends, unless the worker has seen a higher fencing token.
    cells::OrderOutcome carryOut(ModelWorker &worker, const cells::LeaseRenewalOrder &order);
    void answerLeaseRenewal(const Caller &caller, const cells::LeaseRenewalOrder &order, std::int64_t until);
    void checkHostIsStored(const HostId &host);
    /// Whether the host service accepts one more order in this second.
    bool takeHostOrder();
    /// Carries out an order for a host, or a part of the orders late and without an answer.
    void orderHost(const Caller &caller, cells::CallId call, std::function<cells::HostOrderOutcome()> carryOut);
    cells::HostOrderOutcome carryOut(const cells::MaintainHost &order);
    cells::HostOrderOutcome carryOut(const cells::MoveHost &order);
    bool isStandby(const std::string &worker) const;
    /// The worker that a host runs now.
    std::string workerOn(const HostId &host) const;
    cells::SiteHost listed(const ModelWorker &worker) const;

    cells::OrderOutcome carryOut(ModelWorker &worker, const cells::StartOrder &order);
    cells::OrderOutcome carryOut(ModelWorker &worker, const cells::StopOrder &order);
    void checkStart(const ModelWorker &worker, const cells::StartOrder &order);
    void end(ModelWorker &worker, const cells::TaskId &task, cells::RunEnd how);
    /// Ends a worker by an order for its host; the completed runs on its list count as noted.
    void endByOrder(const std::string &id);
    std::int64_t clockOf(const ModelWorker &worker) const;
    bool chance(double probability);
    ModelWorker *reach(const cells::WorkerAddress &address);

    std::int64_t m_now = 0;
    std::uint64_t m_order = 0;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_exchanges = 0;
    std::vector<Timed> m_queue;
    std::mt19937_64 m_random;
    std::map<std::string, ModelNode> m_nodes;
    std::map<std::string, ModelWorker> m_workers;
    std::shared_ptr<cells::SiteConfig> m_config;
    std::vector<cells::Wave> m_waves;
    std::map<std::string, std::int64_t> m_maintainedUntil;
    std::map<std::string, std::int64_t> m_movingUntil;
    /// Times of the orders for hosts in the last second.
    std::deque<std::int64_t> m_hostOrderTimes;
    /// Highest fencing token that was seen for each host.
    std::map<HostId, cells::Epoch> m_hostFences;
    std::set<std::string> m_maintained;

    std::uint64_t m_version = 0;
    std::uint64_t m_ownerVersion = 0;
    std::optional<cells::OwnerRow> m_owner;
    std::map<JobId, cells::JobRow> m_jobs;
    std::map<JobId, cells::ProgressRow> m_progress;
    std::map<std::uint32_t, cells::RosterRow> m_roster;
    std::map<std::uint64_t, cells::WaveRow> m_waveRows;
    cells::HostOrdersRow m_hostOrders;
    std::map<std::uint32_t, cells::ReleaseRow> m_release;

    std::map<std::string, std::array<std::int64_t, 2>> m_linkFreeAt;
    /// When the admission service has decided the calls of each node.
    std::map<std::string, std::int64_t> m_admissionFreeAt;
    std::map<std::string, IssuedTicket> m_tickets;
    std::map<std::string, std::int64_t> m_toldAt;
    std::set<OpenCall> m_openCalls;
    /// Calls that were answered as unknown, since no answer came in time.
    std::set<OpenCall> m_unansweredCalls;
    std::map<cells::TaskId, ListedEnd> m_listedDone;
    std::map<cells::TaskId, ServiceState> m_services;
    /// Jobs whose cancellation was requested or acknowledged.
    std::set<JobId> m_cancelSent;
    std::set<JobId> m_cancelled;
    std::map<ExchangeId, JobId> m_cancels;

    std::map<ExchangeId, std::string> m_asked;
    /// Senders of requests for a handover, with the ids of the requests there.
    std::map<ExchangeId, std::pair<Caller, ExchangeId>> m_handovers;
    std::map<std::string, std::vector<cells::CallAnswer>> m_answers;
    std::map<std::string, Duration> m_retryAfter;
    std::map<JobId, cells::GraphSpec> m_specs;
    std::map<cells::TaskId, std::uint64_t> m_doneNoted;
    std::map<cells::TaskId, bool> m_done;
    /// Runs of each task that have failed; those of a gang are collected under its first member.
    std::map<cells::TaskId, std::set<cells::RunNumber>> m_failedRuns;
    /// Failed runs whose ends were acknowledged.
    std::map<cells::TaskId, std::set<cells::RunNumber>> m_notedFailures;
    std::map<JobId, std::size_t> m_runs;
    std::map<JobId, TeamId> m_teams;
};

/// A job of one step after the other, each of @p count tasks.
cells::GraphSpec graphOf(std::uint32_t steps, std::uint32_t count, std::uint64_t cpu, Duration estimate);

} // namespace radishvane::tests
