#include "wire/log.h"

#include <chrono>
#include <cstdio>
#include <gtest/gtest.h>
#include <string>
#include <thread>
#include <unistd.h>

namespace fescuesill
{
namespace
{

// Redirects standard output into a pipe that is not read before drain().
class UnreadOutput
{
public:
    UnreadOutput()
    {
        std::fflush(stdout);
        EXPECT_EQ(pipe(this->ends), 0);
        this->saved = dup(STDOUT_FILENO);
        dup2(this->ends[1], STDOUT_FILENO);
    }
    ~UnreadOutput()
    {
        close(this->saved);
        close(this->ends[0]);
    }
    UnreadOutput(const UnreadOutput &) = delete;
    UnreadOutput &operator=(const UnreadOutput &) = delete;

    // Closes the log and returns everything that was written to the pipe.
    std::string drain()
    {
        std::string all;
        std::thread reader([&] {
            char buffer[65536];
            for (ssize_t count = 0; (count = read(this->ends[0], buffer, sizeof buffer)) > 0;) {
                all.append(buffer, static_cast<std::size_t>(count));
            }
        });
        Log::close();
        std::fflush(stdout);
        dup2(this->saved, STDOUT_FILENO);
        close(this->ends[1]);
        reader.join();
        return all;
    }

private:
    int ends[2] = {-1, -1};
    int saved = -1;
};

// The reader of the log output hangs. Logging must not block, or the host would stop serving. It keeps the newest lines
// and reports how many it dropped.
TEST(Log, NeverBlocksAndReportsDroppedLines)
{
    UnreadOutput output;
    Log::open("test", LogLevel::Info, "host-1");
    const auto begin = std::chrono::steady_clock::now();
    for (int line = 0; line < 20000; ++line) {
        Log::info("noise", {{"line", line}});
    }
    const auto took = std::chrono::steady_clock::now() - begin;
    const std::string all = output.drain();
    EXPECT_LT(took, std::chrono::seconds(20)); // a blocking call would never return
    EXPECT_NE(all.find("line=19999\n"), std::string::npos);
    EXPECT_NE(all.find("event=log_lines_left_out count="), std::string::npos);
    EXPECT_NE(all.find(" process=test host=host-1 event=noise"), std::string::npos);
}

} // namespace
} // namespace fescuesill
