// Tokens per second on one core: one event ID per fragment compared with one HMAC per fragment.
//
//     g++ -std=c++17 -O2 -Iinclude -I. promise/testing/resumetoken_benchmark.cpp \
//         promise/{resumetoken,base64url,bytefields}.cpp -lcrypto \
//         -o build/resumetoken_benchmark && build/resumetoken_benchmark

#include "promise/resumetoken.h"

#include <chrono>
#include <cstdio>

namespace
{

using namespace fescuesill;

template<typename Work>
void measure(const char *name, int rounds, Work work)
{
    const auto begin = std::chrono::steady_clock::now();
    std::size_t bytes = 0;
    for (int round = 0; round < rounds; ++round) {
        bytes += work(round);
    }
    const std::chrono::duration<double> spent = std::chrono::steady_clock::now() - begin;
    std::printf("%-28s %12.0f a second, %7.1f ns each, %zu bytes\n", name, rounds / spent.count(),
                spent.count() * 1e9 / rounds, bytes / rounds);
}

} // namespace

int main()
{
    const auto tokens = ResumeTokens::create({std::string(32, 'k')}).value();
    const ResumeGrant grant{EngineId("athens-motor-d07"), StreamId("0f3a9c71d2e84b56"), RequestId("0f3a9c71d2e84b57"),
                            WorkspaceId("karamanlis"), Instant(1'780'000'000s)};
    const std::string prefix = tokens.mint(grant);
    const std::string token = ResumeTokens::eventId(prefix, Offset(100));
    measure("event id per fragment", 5'000'000,
            [&](int round) { return ResumeTokens::eventId(prefix, Offset(round % 1000)).size(); });
    measure("mint per stream", 300'000, [&](int) { return tokens.mint(grant).size(); });
    measure("open", 300'000, [&](int) { return tokens.open(token, grant.workspace, Instant(0s)) ? token.size() : 0; });
}
