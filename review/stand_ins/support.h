#pragma once

#include "drivers/http_types.h"
#include "drivers/system_clock.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

/// What the stand-ins of the review share.
namespace review
{

inline constexpr auto loopback = "127.0.0.1";
inline constexpr auto siteHost = "site.example";

inline std::int64_t nowMs()
{
    static const radishvane::drivers::SystemClock clock;
    return std::chrono::duration_cast<radishvane::Duration>(clock.now().time_since_epoch()).count();
}

inline std::string toBase64(const std::string &text)
{
    static constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t place = 0; place < 3; ++place) {
            group = (group << 8) | (at + place < text.size() ? static_cast<unsigned char>(text[at + place]) : 0);
        }
        for (std::size_t place = 0; place < 4; ++place) {
            result += at + place > text.size() ? '=' : letters[(group >> (18 - 6 * place)) & 63];
        }
    }
    return result;
}

/// Fields of a query, percent-encoding removed.
inline std::map<std::string, std::string> readQuery(const std::string &query)
{
    std::map<std::string, std::string> fields;
    evkeyvalq pairs{};
    if (evhttp_parse_query_str(query.c_str(), &pairs) == 0) {
        for (const evkeyval *pair = pairs.tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
            fields[pair->key] = pair->value;
        }
    }
    evhttp_clear_headers(&pairs);
    return fields;
}

/// What the tasks of a job do, as the job's text tells: "ms=N to=M cpu=C [last=STEP lastms=L] [saves [size=S]] [fail]
/// [lasts]
/// [late] [crash]", then any filling.
/// They work for N to M milliseconds, each for a time of its own; those that last are at work after N milliseconds.
struct Work
{
    std::int64_t ms = 0;
    std::int64_t toMs = 0;
    std::int64_t cpu = 0;
    /// If set, the tasks of this step work for another time.
    std::int64_t lastStep = 0;
    std::int64_t lastMs = 0;
    bool saves = false;
    /// Digits of a checkpoint.
    std::size_t savedSize = 16;
    bool fails = false;
    bool lasts = false;
    /// The runner crashes after the first order to start a task, and carries that order out late; or it only crashes.
    bool isCarriedOutLate = false;
    bool meetsCrash = false;

    std::int64_t lengthOf(const std::string &task) const
    {
        if (lastStep > 0 && task.find(".0." + std::to_string(lastStep) + '.') != std::string::npos) {
            return lastMs;
        }
        std::uint64_t hash = 14'695'981'039'346'656'037U;
        for (const char letter : task) {
            hash = (hash ^ static_cast<unsigned char>(letter)) * 1'099'511'628'211U;
        }
        return ms
            + static_cast<std::int64_t>((hash >> 20U)
                                        % static_cast<std::uint64_t>(std::max(toMs - ms, std::int64_t{0}) + 1));
    }
};

inline Work readWork(const std::string &text)
{
    const auto number = [&text](const char *name) {
        const auto place = text.find(name);
        return place == std::string::npos ? 0 : std::stoll(text.substr(place + std::string_view(name).size()));
    };
    Work work;
    work.ms = number("ms=");
    work.toMs = number("to=");
    work.cpu = number("cpu=");
    work.lastStep = number("last=");
    work.lastMs = number("lastms=");
    work.saves = text.find(" saves") != std::string::npos;
    work.savedSize = std::max(work.savedSize, static_cast<std::size_t>(number("size=")));
    work.fails = text.find(" fail") != std::string::npos;
    work.lasts = text.find(" lasts") != std::string::npos;
    work.isCarriedOutLate = text.find(" late") != std::string::npos;
    work.meetsCrash = text.find(" crash") != std::string::npos;
    return work;
}

} // namespace review
