#pragma once

#include "tests/support/kept_connection.h"
#include "tests/support/site.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace radishvane::tests
{

/// Tasks of each step of a job of the soak.
constexpr int soakStepSize = 3;

/// What the callers and the course of a soak share. Times are steady and in milliseconds.
struct SoakConditions
{
    explicit SoakConditions(int hosts);

    static std::int64_t now();
    void addBroken(const std::string &what);

    /// By host: when its process was last killed out of plan, and last disturbed in any way.
    std::vector<std::atomic<std::int64_t>> killed;
    std::vector<std::atomic<std::int64_t>> disturbed;
    std::atomic<std::int64_t> storeDisturbed{0};
    /// When the second key was last withdrawn; 0 while it is valid, which it is not at first.
    std::atomic<std::int64_t> withdrawn{1};
    /// No more long tasks are handed in, so that all end soon after the soak is over.
    std::atomic<bool> closing{false};
    std::atomic<bool> over{false};
    std::mutex mutex;
    /// Broken promises; guarded by the mutex.
    std::vector<std::string> broken;
};

/// A client with one connection, which hands in jobs and asks about them until they have ended.
class SoakCaller
{
public:
    struct Job
    {
        std::string id;
        std::int64_t accepted = 0;
        bool fails = false;
    };

    /// Every fourth caller uses the key that is withdrawn now and then.
    SoakCaller(std::uint32_t seed, int index, const Site &site, SoakConditions &conditions);

    /// Calls until the soak is over.
    void run();
    /// Accepted jobs that have not been seen to end.
    const std::vector<Job> &open() const;
    /// Jobs of which every attempt was refused.
    const std::vector<std::string> &refused() const;
    std::size_t accepted() const;

private:
    int draw(int first, int last);
    CallResult call(const std::string &method, const std::string &job, const std::string &body);
    void submit();
    void query(std::size_t index);
    bool isCalm() const;

    std::mt19937 m_random;
    int m_index;
    std::string m_key;
    const Site &m_site;
    SoakConditions &m_conditions;
    KeptConnection m_connection;
    int m_host = 0;
    std::int64_t m_sent = 0;
    unsigned m_lastJob = 0;
    std::vector<Job> m_open;
    std::vector<std::string> m_refused;
    std::size_t m_accepted = 0;
};

} // namespace radishvane::tests
