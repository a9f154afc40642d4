#include "wire/engineclient.h"

#include "wire/testing/servedthread.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

struct LineCase {
    const char *line;
    const char *json; // null: the line is invalid
    const char *text;
};

TEST(DecodeLine, ParsesFragmentsInEveryForm)
{
    const std::vector<LineCase> cases = {
        {R"({"offset":3,"text":" a1b2"})", R"(" a1b2")", " a1b2"},
        {R"({"offset":3,"text":""})", R"("")", ""},
        {R"({"text":"x","offset":3})", R"("x")", "x"},
        {R"({"offset":3,"text":"a\"b\n"})", R"("a\"b\n")", "a\"b\n"},
        {R"({"offset":3,"text":"é"})", R"("é")", "é"},
        {R"({"offset":3,"text":"a"b"})", nullptr, nullptr},
        {R"({"offset":"3","text":"a"})", nullptr, nullptr},
        {R"({"offset":3})", nullptr, nullptr},
        {"{\"offset\":3,\"text\":\"\xff\"}", nullptr, nullptr},
        {"", nullptr, nullptr},
    };
    for (const LineCase &given : cases) {
        SCOPED_TRACE(given.line);
        const auto line = parseDecodeLine(given.line);
        ASSERT_EQ(line.has_value(), given.json != nullptr);
        if (line) {
            const auto &fragment = std::get<DecodeFragment>(*line);
            EXPECT_EQ(fragment.offset, Offset(3));
            EXPECT_EQ(fragment.json, given.json);
            EXPECT_EQ(fragment.text, given.text);
        }
    }
}

TEST(DecodeLine, ParsesTheEnd)
{
    const auto line = parseDecodeLine(R"({"end":true,"length":2,"digest":"00ff","prompt_tokens":9,"output_tokens":2})");
    ASSERT_TRUE(line);
    EXPECT_EQ(std::get<DecodeEnd>(*line).length, Offset(2));
    EXPECT_EQ(std::get<DecodeEnd>(*line).digest, "00ff");
}

struct FaultCase {
    int status;
    const char *body;
    std::size_t fault; // index in EngineFault
};

TEST(EngineClient, MapsErrorResponsesToFaults)
{
    const std::vector<FaultCase> cases = {
        {503, R"({"error":"queue_full"})", 0},
        {503, R"({"error":"no_memory"})", 1},
        {410, R"({"error":"kv_gone"})", 2},
        {404, R"({"error":"no_stream"})", 3},
        {500, "oops", 6},
    };
    for (const FaultCase &given : cases) {
        SCOPED_TRACE(given.body);
        const ServedThread served({}, [&](HttpCall &, HttpReply &reply, const asio::yield_context &yield) {
            reply.send(given.status, given.body, yield);
        });
        runCoroutine([&](asio::io_context &io, const asio::yield_context &yield) {
            EngineClient engines(io, {});
            try {
                engines.decode(served.address(), {}, yield);
                ADD_FAILURE();
            } catch (const EngineError &error) {
                EXPECT_EQ(error.fault().index(), given.fault);
            }
        });
    }
}

// A caller has resumed its stream through another entry before the first entry cancels it. The engine refuses the
// cancellation with 409. The first entry must treat that as success and not retry until it gives up.
TEST(EngineClient, TreatsAStreamOfAnotherReaderAsCancelled)
{
    const ServedThread served({}, [](HttpCall &, HttpReply &reply, const asio::yield_context &yield) {
        reply.send(409, R"({"error":"other_reader"})", yield);
    });
    runCoroutine([&](asio::io_context &io, const asio::yield_context &yield) {
        EngineClient engines(io, {});
        EXPECT_NO_THROW(engines.cancel(served.address(), StreamId("s1"), HostId("athens-a"), yield));
    });
}

TEST(EngineClient, TreatsAnUnknownStreamAsCancelled)
{
    const ServedThread served({}, [](HttpCall &call, HttpReply &reply, const asio::yield_context &yield) {
        EXPECT_EQ(call.target, "/v1/streams/s%2F1?entry=athens-a");
        reply.send(404, R"({"error":"no_stream"})", yield);
    });
    runCoroutine([&](asio::io_context &io, const asio::yield_context &yield) {
        EngineClient engines(io, {});
        EXPECT_NO_THROW(engines.cancel(served.address(), StreamId("s/1"), HostId("athens-a"), yield));
    });
}

} // namespace
} // namespace fescuesill
