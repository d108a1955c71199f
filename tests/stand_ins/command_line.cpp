#include "tests/stand_ins/command_line.h"

#include <CLI/CLI.hpp>

#include <cstdint>
#include <vector>

namespace radishvane::stand_ins
{

CommandLine::CommandLine(const std::string &description, const std::string &name)
    : m_app(std::make_unique<CLI::App>(description, name))
{
}

CommandLine::~CommandLine() = default;

template<typename Value>
void CommandLine::add(const std::string &option, Value &value, const std::string &help)
{
    m_app->add_option(option, value, help);
}

template<typename Value>
void CommandLine::require(const std::string &option, Value &value, const std::string &help)
{
    m_app->add_option(option, value, help)->required();
}

void CommandLine::addFlag(const std::string &option, bool &value, const std::string &help)
{
    m_app->add_flag(option, value, help);
}

std::optional<int> CommandLine::parse(int argumentCount, char **arguments)
{
    try {
        m_app->parse(argumentCount, arguments);
    } catch (const CLI::ParseError &error) {
        return m_app->exit(error);
    }
    return std::nullopt;
}

template void CommandLine::add(const std::string &, int &, const std::string &);
template void CommandLine::add(const std::string &, std::uint32_t &, const std::string &);
template void CommandLine::add(const std::string &, std::int64_t &, const std::string &);
template void CommandLine::add(const std::string &, std::uint64_t &, const std::string &);
template void CommandLine::require(const std::string &, std::uint16_t &, const std::string &);
template void CommandLine::require(const std::string &, std::vector<std::uint16_t> &, const std::string &);
template void CommandLine::require(const std::string &, std::vector<std::string> &, const std::string &);

} // namespace radishvane::stand_ins
