// Requests straight to a backend stand-in and through one entry host, with the same callers, one after the other.

#include "drivers/event_loop.h"
#include "drivers/http_client.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <vector>

namespace radishvane::benchmarks
{

namespace
{

using Clock = std::chrono::steady_clock;

struct Figures
{
    double perSecond = 0;
    double p50Milliseconds = 0;
    double p99Milliseconds = 0;
    std::size_t failed = 0;
};

/// Callers that each send the next request when they have the answer to the last.
class ClosedLoop
{
public:
    ClosedLoop(drivers::HttpCall call, std::size_t total) : m_client(m_loop), m_call(std::move(call)), m_total(total)
    {
    }

    Figures run(std::size_t callers)
    {
        const auto begin = Clock::now();
        for (std::size_t caller = 0; caller < callers; ++caller) {
            next();
        }
        m_loop.run();
        const double seconds = std::chrono::duration<double>(Clock::now() - begin).count();
        std::sort(m_times.begin(), m_times.end());
        const auto quantile = [this](double part) {
            return m_times[static_cast<std::size_t>(part * static_cast<double>(m_times.size() - 1))];
        };
        return {static_cast<double>(m_ended) / seconds, quantile(0.5), quantile(0.99), m_failed};
    }

private:
    void next()
    {
        if (m_sent == m_total) {
            return;
        }
        ++m_sent;
        const auto sent = Clock::now();
        m_client.send(m_call, [this, sent](drivers::HttpOutcome &&outcome) {
            const auto *answer = std::get_if<drivers::HttpAnswer>(&outcome);
            m_failed += answer == nullptr || answer->status != drivers::httpStatus::ok ? 1 : 0;
            m_times.push_back(std::chrono::duration<double, std::milli>(Clock::now() - sent).count());
            if (++m_ended == m_total) {
                m_loop.stop();
                return;
            }
            next();
        });
    }

    drivers::EventLoop m_loop;
    drivers::HttpClient m_client;
    drivers::HttpCall m_call;
    std::size_t m_total;
    std::size_t m_sent = 0;
    std::size_t m_ended = 0;
    std::size_t m_failed = 0;
    std::vector<double> m_times;
};

Figures measure(std::uint16_t port, const std::string &target, std::size_t callers, std::size_t total)
{
    drivers::HttpCall call;
    call.endpoint = {"127.0.0.1", port};
    call.method = drivers::HttpMethod::Get;
    call.target = target;
    call.headers = {{"Authorization", "Bearer office-key"}, {"X-Run-Ms", "0"}};
    call.timeout = Duration(10'000);
    return ClosedLoop(call, total).run(callers);
}

void print(const std::string &name, const Figures &figures)
{
    std::cout << name << ": " << static_cast<long>(figures.perSecond) << " requests/s, p50 " << figures.p50Milliseconds
              << " ms, p99 " << figures.p99Milliseconds << " ms, failed " << figures.failed << '\n';
}

} // namespace

} // namespace radishvane::benchmarks

int main()
{
    using namespace radishvane::benchmarks;
    constexpr std::uint16_t backend = 19'100;
    constexpr std::uint16_t entry = 19'200;
    constexpr std::size_t total = 20'000;
    constexpr std::size_t many = 16;
    const Figures direct = measure(backend, "/work", many, total);
    const Figures through = measure(entry, "/v1/services/quotes/work", many, total);
    const Figures directAlone = measure(backend, "/work", 1, total / 4);
    const Figures throughAlone = measure(entry, "/v1/services/quotes/work", 1, total / 4);
    print("direct, 16 callers", direct);
    print("through an entry host, 16 callers", through);
    print("direct, 1 caller", directAlone);
    print("through an entry host, 1 caller", throughAlone);
    std::cout << "ratio of requests/s: " << through.perSecond / direct.perSecond << ", added p50 "
              << throughAlone.p50Milliseconds - directAlone.p50Milliseconds << " ms, added p99 "
              << throughAlone.p99Milliseconds - directAlone.p99Milliseconds << " ms\n";
    return direct.failed + through.failed + directAlone.failed + throughAlone.failed == 0 ? 0 : 1;
}
