#pragma once

#include "core/config/config.h"

#include <memory>
#include <string>

namespace radishvane::tests
{

/// A configuration for tests: service "quotes" with backend servers, team "office" with key "office-key", team
/// "workshop" with key "workshop-key".
struct ExampleConfig
{
    std::uint64_t version = 1;
    std::uint32_t ceiling = 4;
    std::uint32_t standingPercent = 0;
    std::uint32_t backends = 2;
    std::uint32_t slots = 2;
    std::uint32_t queueLimit = 10;
    Duration longestRun{10'000};
    bool officeKey = true;

    std::shared_ptr<const Config> make() const
    {
        auto config = std::make_shared<Config>();
        config->version = ConfigVersion{version};
        config->pools[PoolId("pool")] = Pool{PoolId("pool"), 1, false};
        Service service;
        service.id = ServiceId("quotes");
        service.pool = PoolId("pool");
        service.longestRun = longestRun;
        service.queueLimit = queueLimit;
        for (std::uint32_t index = 0; index < backends; ++index) {
            const std::string name = std::to_string(index);
            const HostId host("host-" + name);
            config->hosts[host] = Host{
                host, ZoneId("a"), RackId("r"), PoolId("pool"),
                8,    16,          0,           Endpoint{"127.0.0.1", static_cast<std::uint16_t>(9'000 + index)}};
            service.backends.push_back({BackendId("backend-" + name), host,
                                        Endpoint{"127.0.0.1", static_cast<std::uint16_t>(8'000 + index)}, slots, 64});
        }
        config->services[service.id] = service;
        for (const char *name : {"office", "workshop"}) {
            Team team;
            team.id = TeamId(name);
            team.ceiling = ceiling;
            team.standingPercent = standingPercent;
            team.cutOffKeyLifetime = Duration(60'000);
            config->teams[team.id] = team;
            const std::string secret = std::string(name) + "-key";
            if (officeKey || team.id != TeamId("office")) {
                config->keys[secret] = Key{secret, team.id};
            }
        }
        return config;
    }
};

} // namespace radishvane::tests
