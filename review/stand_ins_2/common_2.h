#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace review
{

using nlohmann::json;

/// Milliseconds since 1970, for the record.
inline std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Milliseconds on a clock that is never stepped.
inline std::int64_t steadyMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/// Arguments of the form name=value.
class Arguments
{
public:
    Arguments(int count, char **values)
    {
        for (int place = 1; place < count; ++place) {
            const std::string text(values[place]);
            const auto equals = text.find('=');
            if (equals == std::string::npos) {
                std::cerr << "expected name=value, found " << text << '\n';
                std::exit(2);
            }
            m_values.emplace_back(text.substr(0, equals), text.substr(equals + 1));
        }
    }

    std::string text(const std::string &name, const std::string &fallback = {}) const
    {
        for (const auto &[key, value] : m_values) {
            if (key == name) {
                return value;
            }
        }
        return fallback;
    }

    std::vector<std::string> all(const std::string &name) const
    {
        std::vector<std::string> found;
        for (const auto &[key, value] : m_values) {
            if (key == name) {
                found.push_back(value);
            }
        }
        return found;
    }

    std::int64_t number(const std::string &name, std::int64_t fallback) const
    {
        const std::string value = text(name);
        return value.empty() ? fallback : std::stoll(value);
    }

private:
    std::vector<std::pair<std::string, std::string>> m_values;
};

/// Appends one line to the record that all processes of a case share.
inline void record(const std::string &path, const std::string &line)
{
    if (!path.empty()) {
        std::ofstream(path, std::ios::app) << std::to_string(wallMilliseconds()) + ' ' + line + '\n' << std::flush;
    }
}

inline std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

} // namespace review
