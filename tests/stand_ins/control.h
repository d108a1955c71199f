#pragma once

#include "drivers/http_types.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace radishvane::stand_ins
{

/// Fields of a query, percent-encoding removed.
std::map<std::string, std::string> readQuery(const std::string &query);

/// Removes percent-encoding.
std::string decode(const std::string &text);

drivers::HttpAnswer jsonAnswer(int status, const nlohmann::json &body);
drivers::HttpAnswer textAnswer(int status, std::string body);

} // namespace radishvane::stand_ins
