#pragma once

#include "core/base/enum_names.h"
#include "drivers/http_types.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace radishvane::stand_ins
{

/// Fields of a query, percent-encoding removed.
std::map<std::string, std::string> readQuery(const std::string &query);

/// Removes percent-encoding.
std::string decode(const std::string &text);

drivers::HttpAnswer jsonAnswer(int status, const nlohmann::json &body);
drivers::HttpAnswer textAnswer(int status, std::string body);

/// The mode that a request to /control asks for; nothing when its name is not in the table.
template<typename Mode, std::size_t Count>
std::optional<Mode> readMode(const std::array<std::string_view, Count> &names, const nlohmann::json &control)
{
    return enumValue<Mode>(names, control.at("mode").get<std::string>());
}

/// Makes one part for each port and lets it listen. @return false, with the port on standard error, when one cannot.
template<typename Parts, typename Make>
bool listenOnEach(const std::vector<std::uint16_t> &ports, Parts &parts, const Make &make)
{
    for (const std::uint16_t port : ports) {
        parts.push_back(make(port));
        if (!parts.back()->listen()) {
            std::cerr << "port " << port << " cannot be bound\n";
            return false;
        }
    }
    return true;
}

} // namespace radishvane::stand_ins
