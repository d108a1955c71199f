// Callers of a small site, and what they see. Hands in jobs, asks for them, looks at what the workers run, and judges.

#include "drivers/blocking_http.h"
#include "review/stand_ins/support.h"

#include <atomic>
#include <fstream>
#include <functional>
#include <iostream>
#include <mutex>
#include <set>
#include <thread>

namespace
{

using namespace radishvane;
using namespace radishvane::drivers;
using namespace review;
using nlohmann::json;

constexpr Duration callTimeout{3'000};
constexpr int retries = 4;
/// finish_s of the site.
constexpr std::int64_t finishMs = 14'000;
/// Time without a run that the rule LOST allows.
constexpr std::int64_t idleMs = 3'000;
/// Time after the last run of a task that lasts from which that time counts.
constexpr std::int64_t restartMs = 6'000;
constexpr std::int64_t ackMs = 4'000;
constexpr std::int64_t cancelMs = 3'000;
constexpr std::int64_t stopGraceMs = 400;
/// For that long a client asks again whose cancelling is not acknowledged.
constexpr std::int64_t cancelPatienceMs = 15'000;

std::atomic<std::int64_t> startedAt;
std::ofstream recordFile;
std::mutex recordMutex;

void record(json line)
{
    line["at"] = nowMs() - startedAt;
    const std::lock_guard<std::mutex> guard(recordMutex);
    recordFile << line.dump() << '\n' << std::flush;
}

void sleepMs(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

struct Answer
{
    /// 0 without an answer.
    int status = 0;
    json body;
    std::string retryAfter;
};

struct JobSpec
{
    std::string id;
    std::string prefix;
    std::string key;
    json body;
    /// Tasks of the job, and the processor that all of them take.
    std::vector<std::string> tasks;
    std::int64_t cpu = 0;
    /// The tasks run until the job is cancelled.
    bool lasts = false;
};

/// What callers know of a job that was accepted.
struct Known
{
    JobSpec spec;
    std::int64_t acceptedAt = 0;
    std::string state;
    std::int64_t answers = 0;
    std::int64_t unanswered = 0;
    /// When the job last ran, had ended, or had no room; 0 before the first look.
    std::int64_t lastFine = 0;
    std::int64_t longestIdle = 0;
    /// Of the tasks that last: when each was last seen at work.
    std::map<std::string, std::int64_t> lastRuns;
    std::int64_t longestGap = 0;
    /// When the job's cancelling was first sent, and when it was acknowledged; 0 if neither.
    std::int64_t cancelSentAt = 0;
    std::int64_t cancelledAt = 0;
    /// How long after that the last task of it was seen at work.
    std::int64_t ranAfterCancel = 0;
};

class Site
{
public:
    Site(std::vector<std::uint16_t> hosts, std::uint16_t store) : m_hosts(std::move(hosts)), m_store(store)
    {
    }

    Answer call(HttpMethod method, const JobSpec &job, const std::string &target)
    {
        HttpCall call;
        call.endpoint = Endpoint{loopback, m_hosts[m_next++ % m_hosts.size()]};
        call.method = method;
        call.target = target;
        call.headers = {{"Host", siteHost},
                        {"X-Api-Key", job.key},
                        {"X-Radishvane-Timeout-Ms", std::to_string(callTimeout.count())}};
        if (method == HttpMethod::Post) {
            call.headers.push_back({"Content-Type", "application/json"});
            call.body = job.body.dump();
        }
        call.timeout = callTimeout;
        return answerOf(call);
    }

    json workers()
    {
        HttpCall call;
        call.endpoint = Endpoint{loopback, m_store};
        call.target = "/control/state";
        call.timeout = callTimeout;
        return answerOf(call).body;
    }

    /// Tells the store to serve, or to answer each call with 503.
    void setStore(const std::string &mode)
    {
        HttpCall call;
        call.endpoint = Endpoint{loopback, m_store};
        call.target = "/control/" + mode;
        call.timeout = callTimeout;
        answerOf(call);
    }

    bool isReady(std::uint16_t port)
    {
        HttpCall call;
        call.endpoint = Endpoint{loopback, port};
        call.target = "/-/ready";
        return answerOf(call).status == httpStatus::ok;
    }

    const std::vector<std::uint16_t> &hosts() const
    {
        return m_hosts;
    }

private:
    static Answer answerOf(const HttpCall &call)
    {
        BlockingHttp http;
        const HttpOutcome outcome = http.call(call);
        const auto *answer = std::get_if<HttpAnswer>(&outcome);
        if (answer == nullptr) {
            return {};
        }
        json body = json::parse(answer->body, nullptr, false);
        return {answer->status, body.is_discarded() ? json() : body, headerValue(answer->headers, "Retry-After")};
    }

    std::vector<std::uint16_t> m_hosts;
    std::uint16_t m_store;
    std::atomic<std::size_t> m_next = 0;
};

class Callers
{
public:
    explicit Callers(Site &site) : m_site(site), m_watcher([this] { watch(); })
    {
    }

    ~Callers()
    {
        wait();
        m_isOver = true;
        m_watcher.join();
    }

    /// Hands a job in as a client does: after no answer, a 502 or a 504 it asks again under the same id, after a
    /// refusal it comes back later. At most @c retries times.
    void submit(const JobSpec &job)
    {
        m_threads.emplace_back([this, job] {
            for (int attempt = 0; attempt <= retries; ++attempt) {
                const std::int64_t sent = nowMs();
                const Answer answer = m_site.call(HttpMethod::Post, job, job.prefix + job.id);
                record({{"submit", job.id}, {"status", answer.status}, {"took", nowMs() - sent}});
                if (answer.status / 100 == 2) {
                    const std::lock_guard<std::mutex> guard(m_mutex);
                    Known &known = m_accepted[job.id];
                    known.spec = job;
                    known.acceptedAt = nowMs();
                    return;
                }
                const bool isRefused = answer.status == 429 || answer.status == 503;
                sleepMs(isRefused ? 1'000 : 200);
            }
            const std::lock_guard<std::mutex> guard(m_mutex);
            ++m_notAccepted;
        });
    }

    /// Cancels an accepted job, and asks again until that is acknowledged.
    void cancel(const JobSpec &job)
    {
        m_threads.emplace_back([this, job] {
            const std::int64_t first = nowMs();
            {
                const std::lock_guard<std::mutex> guard(m_mutex);
                m_accepted[job.id].cancelSentAt = first;
            }
            while (nowMs() - first < cancelPatienceMs) {
                const std::int64_t sent = nowMs();
                const Answer answer = m_site.call(HttpMethod::Delete, job, job.prefix + job.id);
                record({{"cancel", job.id}, {"status", answer.status}, {"took", nowMs() - sent}});
                if (answer.status / 100 == 2 || answer.status == 410) {
                    const std::lock_guard<std::mutex> guard(m_mutex);
                    m_accepted[job.id].cancelledAt = nowMs();
                    return;
                }
                sleepMs(answer.status == 503 ? 1'000 : 200);
            }
        });
    }

    void wait()
    {
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }

    /// Looks at the accepted jobs and at the workers for a while. @return what is broken; empty if nothing is.
    std::vector<std::string> judge(std::int64_t lengthMs)
    {
        const std::int64_t until = nowMs() + lengthMs;
        m_isFinish = true;
        while (nowMs() < until) {
            askAll();
        }
        const std::lock_guard<std::mutex> guard(m_mutex);
        std::vector<std::string> broken;
        std::size_t ended = 0;
        std::size_t cancels = 0;
        std::size_t lateCancels = 0;
        for (auto &[id, known] : m_accepted) {
            ended += isFinal(known) ? 1 : 0;
            if (known.answers == 0) {
                broken.push_back("LOST: job " + id + ": no answer to " + std::to_string(known.unanswered)
                                 + " questions");
            }
            if (known.state == "unknown") {
                broken.push_back("LOST: job " + id + ": not known (410)");
            }
            if (known.cancelSentAt != 0) {
                ++cancels;
                const bool isLate = known.cancelledAt == 0 || known.cancelledAt - known.cancelSentAt > ackMs;
                lateCancels += isLate ? 1 : 0;
                const std::int64_t due = cancelMs + stopGraceMs + (isLate ? ackMs : 0);
                if (known.ranAfterCancel > due) {
                    broken.push_back("UNASKED: job " + id + ": a task ran " + std::to_string(known.ranAfterCancel)
                                     + " ms after its cancelling was sent");
                }
                continue;
            }
            if (known.longestGap > restartMs + idleMs) {
                broken.push_back("LOST: job " + id + ": a task that lasts did not run for "
                                 + std::to_string(known.longestGap) + " ms");
            }
            if (known.longestIdle > idleMs) {
                broken.push_back("LOST: job " + id + ": nothing running for " + std::to_string(known.longestIdle)
                                 + " ms while a task's turn has come and there is room, state " + known.state);
            }
        }
        for (const std::string &task : m_twice) {
            broken.push_back("TWICE: two runs of " + task + " at the same time");
        }
        if (cancels >= 3 && lateCancels * 10 > cancels) {
            broken.push_back("Acks: " + std::to_string(lateCancels) + " of " + std::to_string(cancels)
                             + " cancels have no 2xx or 410 after ackMs");
        }
        if (m_unnoted * 5 > m_ends) {
            broken.push_back("Acks: " + std::to_string(m_unnoted) + " of " + std::to_string(m_ends)
                             + " ends are not taken note of more than ackMs after they were listed");
        }
        record({{"accepted", m_accepted.size()},
                {"ended", ended},
                {"not-accepted", m_notAccepted},
                {"ends", m_ends},
                {"unnoted", m_unnoted},
                {"cancels", cancels},
                {"late-cancels", lateCancels}});
        return broken;
    }

    std::map<std::string, Known> &accepted()
    {
        return m_accepted;
    }

private:
    static bool isFinal(const Known &known)
    {
        return known.state == "completed" || known.state == "failed" || known.state == "cancelled";
    }

    void askAll()
    {
        bool hasAsked = false;
        for (auto &[id, known] : m_accepted) {
            {
                const std::lock_guard<std::mutex> guard(m_mutex);
                if (isFinal(known)) {
                    continue;
                }
            }
            hasAsked = true;
            const Answer answer = m_site.call(HttpMethod::Get, known.spec, known.spec.prefix + id);
            const std::lock_guard<std::mutex> guard(m_mutex);
            if (answer.status == 200) {
                ++known.answers;
                const std::string state = answer.body.value("state", "");
                if (state != known.state) {
                    record({{"job", id}, {"state", state}});
                }
                known.state = state;
            } else if (answer.status == 410) {
                ++known.answers;
                known.state = "unknown";
                record({{"job", id}, {"state", "410"}});
            } else {
                ++known.unanswered;
                record({{"job", id}, {"status", answer.status}});
            }
        }
        sleepMs(hasAsked ? 100 : 500);
    }

    void watch()
    {
        while (!m_isOver) {
            look();
            sleepMs(50);
        }
    }

    void look()
    {
        const json workers = m_site.workers();
        if (!workers.is_array()) {
            return;
        }
        constexpr std::int64_t workerCpu = 32'000;
        std::set<std::string> running;
        std::set<std::string> done;
        std::set<std::string> twice;
        std::int64_t used = 0;
        std::uint64_t ends = 0;
        std::uint64_t unnoted = 0;
        const std::int64_t room = workerCpu * static_cast<std::int64_t>(workers.size());
        for (const json &worker : workers) {
            used += worker.at("cpu").get<std::int64_t>();
            ends += worker.at("ends").get<std::uint64_t>();
            unnoted += worker.at("unnoted").get<std::uint64_t>();
            for (const json &task : worker.at("running")) {
                if (!running.insert(task.get<std::string>()).second) {
                    twice.insert(task.get<std::string>());
                }
            }
            for (const json &task : worker.at("done")) {
                done.insert(task.get<std::string>());
            }
        }
        const std::int64_t now = nowMs();
        const std::lock_guard<std::mutex> guard(m_mutex);
        m_ends = ends;
        m_unnoted = unnoted;
        for (const std::string &task : twice) {
            if (m_twice.insert(task).second) {
                record({{"runs-twice", task}});
            }
        }
        for (auto &[id, known] : m_accepted) {
            bool isRunning = false;
            bool hasTaskLeft = false;
            for (const std::string &task : known.spec.tasks) {
                isRunning = isRunning || running.count(task) > 0;
                hasTaskLeft = hasTaskLeft || done.count(task) == 0;
            }
            const bool hasRoom = room - used >= 2 * known.spec.cpu && used < room / 2;
            for (const std::string &task : known.spec.lasts ? known.spec.tasks : std::vector<std::string>()) {
                std::int64_t &lastRun = known.lastRuns.try_emplace(task, known.acceptedAt).first->second;
                lastRun = running.count(task) > 0 ? now : lastRun;
                known.longestGap = std::max(known.longestGap, now - lastRun);
            }
            if (known.cancelSentAt != 0) {
                known.ranAfterCancel = isRunning ? now - known.cancelSentAt : known.ranAfterCancel;
                continue;
            }
            // What else the rule says of jobs holds from finish_s after the end of the traffic.
            if (!m_isFinish || known.lastFine == 0 || isRunning || !hasTaskLeft || isFinal(known) || !hasRoom) {
                known.lastFine = now;
            }
            known.longestIdle = std::max(known.longestIdle, now - known.lastFine);
        }
        if (now - m_lastLook >= 1'000) {
            m_lastLook = now;
            record({{"workers-run", running.size()},
                    {"cpu", used},
                    {"done", done.size()},
                    {"ends", ends},
                    {"unnoted", unnoted}});
        }
    }

    Site &m_site;
    std::atomic<bool> m_isOver = false;
    std::atomic<bool> m_isFinish = false;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::map<std::string, Known> m_accepted;
    std::size_t m_notAccepted = 0;
    std::int64_t m_lastLook = 0;
    /// Runs that have ended, and those of them that are listed for longer than ackMs.
    std::uint64_t m_ends = 0;
    std::uint64_t m_unnoted = 0;
    /// Tasks that were seen to run on two workers at the same time.
    std::set<std::string> m_twice;
    std::thread m_watcher;
};

std::string idOf(std::uint32_t family, std::uint32_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", family, number * 2'654'435'761U);
    return text;
}

JobSpec makeJob(std::uint32_t family, std::uint32_t number, const std::string &prefix, const std::string &key,
                const std::string &work, const json &steps)
{
    JobSpec job;
    job.id = idOf(family, number);
    job.prefix = prefix;
    job.key = key;
    job.body = json{{"spec", work}, {"steps", steps}};
    for (std::size_t step = 0; step < steps.size(); ++step) {
        const auto count = steps[step].at("count").get<std::int64_t>();
        job.cpu += count * steps[step].at("cpu").get<std::int64_t>();
        for (std::int64_t index = 0; index < count; ++index) {
            job.tasks.push_back(job.id + ".0." + std::to_string(step) + '.' + std::to_string(index));
        }
    }
    return job;
}

json step(std::int64_t count, std::int64_t cpu, std::int64_t memory, std::int64_t estimate)
{
    return {{"count", count}, {"cpu", cpu}, {"memMb", memory}, {"estimateMs", estimate}};
}

JobSpec quote(std::uint32_t number)
{
    json second = step(6, 1'800, 3'300, 640);
    second["after"] = {0};
    return makeJob(0x10000000, number, "/quotes/", "key-office", "ms=400 to=900 cpu=1800",
                   json::array({step(6, 1'800, 3'300, 640), second}));
}

/// The ledger of the site: five tasks that last.
JobSpec ledger(std::uint32_t number)
{
    json lasting = step(5, 3'000, 6'800, 700);
    lasting["longRunning"] = true;
    lasting["mayMiss"] = 1;
    JobSpec job
        = makeJob(0x40000000, number, "/plans/", "key-office", "ms=700 to=700 cpu=3000 lasts", json::array({lasting}));
    job.lasts = true;
    return job;
}

/// One job with many small tasks that save their progress.
/// @param saved what the tasks' text says of that; empty if they save nothing.
JobSpec wideJob(std::int64_t count, const std::string &saved)
{
    json wide = step(count, 40, 64, 20'000);
    if (!saved.empty()) {
        wide["savesProgress"] = true;
    }
    return makeJob(0x20000000, 1, "/plans/", "key-floor", "ms=4000 to=40000 cpu=40" + saved, json::array({wide}));
}

/// 64 digits, as images are named by.
std::string digestOf(std::int64_t number)
{
    std::string digest;
    while (digest.size() < 64) {
        digest += idOf(static_cast<std::uint32_t>(number), static_cast<std::uint32_t>(digest.size()) + 1);
    }
    return digest;
}

/// A job that is due at @p dueAt: many steps of one task each, which need not wait for one another, and one after them.
JobSpec pipeline(std::uint32_t number, std::int64_t steps, std::int64_t dueAt)
{
    json list = json::array();
    for (std::int64_t index = 0; index < steps; ++index) {
        json next = step(1, 10, 32, 1'000);
        if (index + 1 == steps) {
            // Only one worker is of this kind.
            next["constraints"] = "b";
            for (std::int64_t earlier = 0; earlier < index; ++earlier) {
                next["after"].push_back(earlier);
            }
        }
        next["image"] = "registry.mill.example/cutting/blank-planner@sha256:" + digestOf(index);
        list.push_back(next);
    }
    JobSpec job = makeJob(
        0x30000000, number, "/plans/", "key-floor",
        "ms=500 to=1500 cpu=10 last=" + std::to_string(steps - 1) + " lastms=8000" + std::string(600, '.'), list);
    job.body["repeatCount"] = 1;
    job.body["startAtMs"] = dueAt;
    job.body["periodMs"] = 60'000;
    return job;
}

/// A job of one task, whose first start meets the trouble that its text names.
JobSpec unlucky(const std::string &trouble)
{
    return makeJob(0x50000000, 1, "/plans/", "key-floor", "ms=12000 to=12000 cpu=3800" + trouble,
                   json::array({step(1, 3'800, 5'500, 12'000)}));
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void sendQuotes(Callers &callers, std::uint32_t &number, std::int64_t lengthMs, std::int64_t pauseMs)
{
    const std::int64_t until = nowMs() + lengthMs;
    while (nowMs() < until) {
        callers.submit(quote(++number));
        sleepMs(std::clamp(until - nowMs(), std::int64_t{0}, pauseMs));
    }
}

void playWide(Callers &callers, const std::string &trouble)
{
    std::uint32_t number = 0;
    callers.submit(ledger(1));
    sendQuotes(callers, number, 5'000, 500);
    if (trouble == "small") {
        callers.submit(wideJob(24, " saves"));
    } else if (trouble == "long") {
        callers.submit(wideJob(80, " saves size=1000"));
    } else if (trouble != "0") {
        callers.submit(wideJob(2'400, trouble == "plain" ? "" : " saves"));
    }
    sendQuotes(callers, number, 15'000, 500);
}

/// A quiet hour: one job, then a quote a second on the other workers.
void playLate(Callers &callers, const std::string &trouble)
{
    std::uint32_t number = 0;
    callers.submit(unlucky(trouble == "0" ? "" : trouble == "crash" ? " crash" : " late"));
    sleepMs(1'300);
    sendQuotes(callers, number, 14'000, 400);
}

/// Jobs of many steps that are due together. The trouble is that the store is away while they end.
void playBatch(Site &site, Callers &callers, const std::string &trouble)
{
    constexpr std::uint32_t jobs = 30;
    constexpr std::uint32_t ledgers = 8;
    constexpr std::int64_t outageMs = 4'500;
    std::uint32_t number = 0;
    for (std::uint32_t each = 1; each <= ledgers; ++each) {
        callers.submit(ledger(each));
    }
    const std::int64_t dueAt = wallMs() + 7'000;
    for (std::uint32_t job = 0; job < jobs; ++job) {
        callers.submit(pipeline(job, trouble == "short" ? 8 : 250, dueAt));
        sleepMs(trouble == "together" ? 0 : 100);
    }
    sendQuotes(callers, number, dueAt + 8'000 - wallMs(), 1'000);
    const bool hasOutage = trouble != "0" && trouble != "together";
    if (hasOutage) {
        site.setStore("down");
        record({{"store", "down"}});
    }
    sendQuotes(callers, number, outageMs, 1'000);
    if (hasOutage) {
        site.setStore("serve");
        record({{"store", "serves"}});
    }
    // From contactMs after the end of the trouble on, all is calm.
    sendQuotes(callers, number, 4'000, 1'000);
    for (std::uint32_t each = 1; each <= ledgers; ++each) {
        callers.cancel(ledger(each));
        sleepMs(300);
    }
    sendQuotes(callers, number, 4'000, 1'000);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount < 6) {
        std::cerr << "usage: callers CASE TROUBLE RECORD STORE-PORT HOST-PORT READY-PORT [HOST-PORT READY-PORT...]\n";
        return 2;
    }
    const std::string play = arguments[1];
    const std::string trouble = arguments[2];
    recordFile.open(arguments[3]);
    const auto store = static_cast<std::uint16_t>(std::stoi(arguments[4]));
    std::vector<std::uint16_t> hosts;
    std::vector<std::uint16_t> ready;
    for (int place = 5; place + 1 < argumentCount; place += 2) {
        hosts.push_back(static_cast<std::uint16_t>(std::stoi(arguments[place])));
        ready.push_back(static_cast<std::uint16_t>(std::stoi(arguments[place + 1])));
    }
    startedAt = nowMs();
    Site site(hosts, store);
    for (const std::uint16_t port : ready) {
        while (!site.isReady(port)) {
            if (nowMs() - startedAt > 15'000) {
                record({{"case", "did not start"}, {"ready-port", port}});
                return 2;
            }
            sleepMs(100);
        }
    }
    // Traffic starts a while after the machines do.
    sleepMs(5'000);
    record({{"case", play}, {"trouble", trouble}});
    Callers callers(site);
    if (play == "wide") {
        playWide(callers, trouble);
    } else if (play == "batch") {
        playBatch(site, callers, trouble);
    } else if (play == "late") {
        playLate(callers, trouble);
    } else {
        return 2;
    }
    record({{"traffic", "ended"}});
    const std::int64_t ended = nowMs();
    callers.wait();
    sleepMs(std::max<std::int64_t>(0, finishMs - (nowMs() - ended)));
    const std::vector<std::string> broken = callers.judge(25'000);
    for (const std::string &what : broken) {
        record({{"broken", what}});
        std::cout << what << '\n';
    }
    std::cout << (broken.empty() ? "the rule held\n" : "the rule was broken\n");
    return broken.empty() ? 0 : 1;
}
