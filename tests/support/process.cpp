#include "tests/support/process.h"

#include <csignal>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace radishvane::tests
{

Process::Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile)
{
    std::vector<std::string> texts{program};
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    std::vector<char *> pointers;
    for (std::string &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int mode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A test that a broken pipe ends would leave its programs running.
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t defaults;
    sigemptyset(&defaults);
    sigaddset(&defaults, SIGPIPE);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGDEF);
    posix_spawnattr_setsigdefault(&attributes, &defaults);
    if (posix_spawn(&m_id, program.c_str(), &actions, &attributes, pointers.data(), environ) != 0) {
        m_id = -1;
    }
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
}

Process::~Process()
{
    kill();
}

void Process::signal(int number) const
{
    if (m_id > 0) {
        ::kill(m_id, number);
    }
}

void Process::kill()
{
    signal(SIGKILL);
    wait();
}

int Process::wait()
{
    if (m_id > 0) {
        waitpid(m_id, &m_status, 0);
        m_id = -1;
    }
    return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -1;
}

bool Process::running()
{
    if (m_id > 0 && waitpid(m_id, &m_status, WNOHANG) == m_id) {
        m_id = -1;
    }
    return m_id > 0;
}

} // namespace radishvane::tests
