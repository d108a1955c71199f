#pragma once

#include <memory>
#include <optional>
#include <string>

namespace CLI
{
class App;
} // namespace CLI

namespace radishvane::stand_ins
{

/// Options of a stand-in. Only its source file includes CLI11, which takes longer to compile than most stand-ins.
class CommandLine
{
public:
    explicit CommandLine(const std::string &description, const std::string &name = {});
    ~CommandLine();
    CommandLine(const CommandLine &) = delete;
    CommandLine &operator=(const CommandLine &) = delete;

    /// An option that may be left out; the value is then kept. For the types that the source file names.
    template<typename Value>
    void add(const std::string &option, Value &value, const std::string &help = {});
    template<typename Value>
    void require(const std::string &option, Value &value, const std::string &help = {});
    void addFlag(const std::string &option, bool &value, const std::string &help);

    /// Reads the arguments. @return the code with which the program is to exit at once, if it is.
    std::optional<int> parse(int argumentCount, char **arguments);

private:
    std::unique_ptr<CLI::App> m_app;
};

} // namespace radishvane::stand_ins
