#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace radishvane::tests
{

/// A program that a test has started; ended by its id at the latest when the test ends.
class Process
{
public:
    /// Starts a program with its output in a file.
    Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /// Ends the program at once.
    void kill();
    /// Waits for the end. @return its exit code, or -1 after a signal.
    int wait();
    bool running();

private:
    pid_t m_id = -1;
    int m_status = 0;
};

} // namespace radishvane::tests
