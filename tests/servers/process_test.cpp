#include "tests/support/process.h"
#include "tests/support/story.h"

#include <array>

#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

namespace radishvane::tests
{

TEST(ProcessSupport, EndsItsProgramsThoughNobodyReadsItsOutput)
{
    story("a test whose output is a pipe without a reader", [] {
        std::array<int, 2> alive{};
        ASSERT_EQ(pipe(alive.data()), 0);
        const pid_t test = fork();
        if (test == 0) {
            std::array<int, 2> output{};
            const bool isReady = pipe(output.data()) == 0 && close(output[0]) == 0;
            {
                // Holds the writing end of the first pipe open until it ends.
                const Process program("/bin/sleep", {"8"}, "/dev/null");
                const ssize_t written = write(output[1], "x", 1);
                static_cast<void>(written);
            }
            _exit(isReady ? 0 : 1);
        }
        close(alive[1]);
        int status = 0;
        waitpid(test, &status, 0);
        section("runs on to its end", [&] {
            ASSERT_TRUE(WIFEXITED(status)) << "ended by signal " << WTERMSIG(status);
            EXPECT_EQ(WEXITSTATUS(status), 0);
        });
        section("and leaves no program behind", [&] {
            constexpr int longest = 4'000;
            pollfd end{alive[0], POLLIN, 0};
            EXPECT_EQ(poll(&end, 1, longest), 1);
        });
        close(alive[0]);
    });
}

} // namespace radishvane::tests
