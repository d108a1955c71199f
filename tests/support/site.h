#pragma once

#include "drivers/blocking_http.h"
#include "tests/support/process.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace radishvane::tests
{

/// Entry hosts of a site, and the platform in small, as separate processes on loopback.
class Site
{
public:
    static constexpr int defaultHosts = 3;

    /// Starts the platform and the entry hosts, and waits until all are ready.
    Site(std::uint16_t firstPort, const std::vector<std::string> &platformOptions, int hosts = defaultHosts);

    void start(int index, const std::string &moreSettings = {});
    /// Writes the settings of an entry host; a running process is told of them by a signal.
    std::string writeSettings(int index, const std::string &moreSettings = {}) const;
    Process &entry(int index);
    int hosts() const;
    bool waitReady(int index);

    /// Submits a job until it is accepted, at one host after the other, as a caller does.
    void submit(const std::string &job, const nlohmann::json &steps, const std::string &payload);
    std::string state(const std::string &job);
    bool ends(const std::string &job, const std::string &wanted);

    /// Makes one call. @return the status, or 0 without an answer.
    int ask(int port, drivers::HttpMethod method, const std::string &target, const std::string &body,
            const std::string &key);
    const std::string &body() const;
    /// Sends an order to the platform in small. @return whether it has answered.
    bool control(const nlohmann::json &order);
    void control(const char *mode);

    int port(int index, int which) const;
    std::uint16_t storePort() const;
    std::string log(const std::string &name) const;

    /// The host that owns the cell; waits until one does.
    int owner();
    /// The host that took the cell last, by the hosts' logs; -1 when none has.
    int lastOwner() const;
    /// The last line of an event in the log of a host; null if there is none.
    nlohmann::json lastLine(int index, const std::string &name) const;

    template<typename Condition>
    bool waitFor(const Condition &condition)
    {
        constexpr auto longest = std::chrono::seconds(40);
        constexpr auto pause = std::chrono::milliseconds(50);
        const auto until = std::chrono::steady_clock::now() + longest;
        while (std::chrono::steady_clock::now() < until) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(pause);
        }
        ADD_FAILURE() << "waited in vain; last answer: " << m_body;
        return false;
    }

private:
    /// Whether the platform in small has all its ports. Throws when it has ended.
    bool isListening();
    std::string address(int index, int which) const;

    std::uint16_t m_firstPort;
    std::filesystem::path m_folder;
    drivers::BlockingHttp m_http;
    std::string m_body;
    std::unique_ptr<Process> m_platform;
    std::vector<std::unique_ptr<Process>> m_entries;
};

} // namespace radishvane::tests
