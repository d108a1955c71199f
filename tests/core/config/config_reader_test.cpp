#include "core/config/config_reader.h"

#include "drivers/yaml_documents.h"
#include "tests/support/story.h"

namespace radishvane::tests
{

namespace
{

constexpr auto goodSet = R"(pools:
  - {name: dye, max_hosts_out: 1}
hosts:
  - {name: h1, zone: a, rack: r1, pool: dye, cores: 32, memory_gb: 64}
teams:
  - {name: office, share: 2, ceiling: 12}
keys:
  - {secret: s3cret, team: office}
services:
  - name: dye-batches
    pool: dye
    backends:
      - {name: b1, host: h1, address: '127.0.0.1:8000'}
)";

Result<Config, std::vector<ConfigProblem>> read(const std::string &text)
{
    const auto documents = drivers::parseYamlSet({{"set.yaml", text}});
    if (!documents) {
        return documents.error();
    }
    return readConfig(documents.value());
}

std::string firstProblem(const std::string &text)
{
    const auto config = read(text);
    return config ? std::string("none") : describe(config.error().front());
}

} // namespace

TEST(ConfigReader, AcceptsValidSetsAndLocatesProblems)
{
    story("a valid set with every kind of object is accepted", [] {
        const auto config = read(goodSet);
        ASSERT_TRUE(config);
        section("absent fields get their defaults", [&] {
            const Service &service = config.value().services.at(ServiceId("dye-batches"));
            EXPECT_EQ(service.backends.front().slots, 8U);
            EXPECT_EQ(service.backends.front().connections, 64U);
            EXPECT_FALSE(service.openToAll);
        });
        section("a key is mapped to its team",
                [&] { EXPECT_EQ(config.value().keys.at("s3cret").team, TeamId("office")); });
    });
    story("an invalid set is rejected with file, line, field and value", [] {
        section("an unknown field", [] {
            EXPECT_EQ(firstProblem("pools:\n  - {name: p, max_hosts_out: 1, colour: red}\n"),
                      "set.yaml:2:41: unknown-field: colour is not a field of a pool");
        });
        section("a duplicate name", [] {
            EXPECT_EQ(firstProblem("pools:\n  - {name: p, max_hosts_out: 1}\n  - {name: p, max_hosts_out: 1}\n"),
                      "set.yaml:3:12: duplicate-name: name 'p' is declared twice");
        });
        section("a ceiling below zero", [] {
            EXPECT_EQ(firstProblem("teams:\n  - {name: t, share: 1, ceiling: -1}\n"),
                      "set.yaml:2:34: out-of-range: ceiling '-1' must be a whole number from 0 to 1000000");
        });
        section("a share of zero", [] {
            EXPECT_EQ(firstProblem("teams:\n  - {name: t, share: 0, ceiling: 1}\n"),
                      "set.yaml:2:22: out-of-range: share '0' must be a whole number from 1 to 1000000");
        });
        section("an address with a host name instead of an IP address", [] {
            EXPECT_NE(
                firstProblem(
                    "services:\n  - {name: s, pool: p, backends: [{name: b, host: h, address: 'example.org:80'}]}\n")
                    .find("address 'example.org:80' must be an IPv4"),
                std::string::npos);
        });
        section("a missing field", [] {
            EXPECT_EQ(firstProblem("pools:\n  - {name: p}\n"),
                      "set.yaml:2:5: missing-field: max_hosts_out is required in a pool");
        });
        section("text that is not YAML", [] { EXPECT_NE(firstProblem("pools: [").find("syntax"), std::string::npos); });
        section("an empty set", [] {
            EXPECT_EQ(describe(readConfig({}).error().front()), ": missing-file: the set holds no .yaml file");
        });
    });
}

TEST(ConfigReader, ChecksReferencesAndDuplicates)
{
    section("a host declared in two pools is rejected", [] {
        const std::string text = "pools:\n  - {name: p, max_hosts_out: 1}\n  - {name: q, max_hosts_out: 1}\nhosts:\n"
                                 "  - {name: h, zone: a, rack: r, pool: p, cores: 1, memory_gb: 1}\n"
                                 "  - {name: h, zone: a, rack: r, pool: q, cores: 1, memory_gb: 1}\n";
        EXPECT_EQ(firstProblem(text),
                  "set.yaml:6:12: duplicate-name: name 'h' is already in pool 'p'; a host belongs to one pool");
    });
    section("a key for an undeclared team is rejected", [] {
        EXPECT_EQ(firstProblem("keys:\n  - {secret: x, team: nobody}\n"),
                  "set.yaml:2:5: unknown-name: team 'nobody' no team has this name");
    });
    section("a host in an undeclared pool is rejected", [] {
        EXPECT_NE(firstProblem("hosts:\n  - {name: h, zone: a, rack: r, pool: nowhere, cores: 1, memory_gb: 1}\n")
                      .find("pool 'nowhere' no pool"),
                  std::string::npos);
    });
    section("a duplicate secret is reported without its value", [] {
        const std::string problem = firstProblem("teams:\n  - {name: t, share: 1, ceiling: 1}\nkeys:\n  - {secret: "
                                                 "hush, team: t}\n  - {secret: hush, team: t}\n");
        EXPECT_NE(problem.find("is declared twice"), std::string::npos);
        EXPECT_EQ(problem.find("hush"), std::string::npos);
    });
    section("all problems of a set are reported together", [] {
        const auto config
            = read("pools:\n  - {name: p, max_hosts_out: 0}\nteams:\n  - {name: t, share: 0, ceiling: 1}\n");
        ASSERT_FALSE(config);
        EXPECT_EQ(config.error().size(), 2U);
    });
}

} // namespace radishvane::tests
