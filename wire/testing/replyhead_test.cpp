#include "wire/replyhead.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

using Headers = std::vector<HttpHeader>;

bool isValid(const ParsedHead &head)
{
    return ReplyHead::create(head).has_value();
}

TEST(ReplyHead, KeepsWhatWasParsed)
{
    const auto head = ReplyHead::create({11, 207, BodyFraming::Connection, {{"X-One", "1"}, {"X-Two", ""}}});
    ASSERT_TRUE(head);
    EXPECT_EQ(head->status(), 207);
    EXPECT_EQ(head->framing(), BodyFraming::Connection);
    EXPECT_EQ(head->headers().size(), 2U);
    EXPECT_FALSE(head->isInterim());
    const HttpResponse response = head->response();
    EXPECT_EQ(response.status, 207);
    EXPECT_EQ(response.framing, BodyFraming::Connection);
    EXPECT_EQ(response.header("x-one"), "1");
    EXPECT_EQ(response.body, "");
}

// Guards against a number that is taken for a status, and against a status that is refused since it is unknown.
TEST(ReplyHead, HasAStatusOfHttp)
{
    for (int status = -1; status < 1100; ++status) {
        const auto head = ReplyHead::create({11, status});
        EXPECT_EQ(head.has_value(), status >= 100 && status <= 599 && status != 101) << status;
        if (head) {
            EXPECT_EQ(head->isInterim(), status < 200) << status;
        }
    }
}

TEST(ReplyHead, HasAVersionThatTheClientReads)
{
    for (const unsigned version : {0U, 9U, 10U, 11U, 12U, 20U, 30U}) {
        EXPECT_EQ(isValid({version, 200}), version == 10 || version == 11) << version;
    }
}

// Guards against a line that hides a header from one reader and shows it to another.
TEST(ReplyHead, HasNamesThatAreTokens)
{
    const std::string others = "!#$%&'*+-.^_`|~";
    for (int byte = 0; byte < 256; ++byte) {
        const char c = static_cast<char>(byte);
        const bool isAlphanumeric =
            (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z');
        const bool isAllowed = isAlphanumeric || (byte != 0 && others.find(c) != std::string::npos);
        for (const std::string &name : {std::string(1, c), std::string("X-") + c, c + std::string("-X")}) {
            EXPECT_EQ(isValid({11, 200, BodyFraming::Length, {{"X-Before", "1"}, {name, "1"}}}), isAllowed) << byte;
        }
    }
    EXPECT_FALSE(isValid({11, 200, BodyFraming::Length, {{"", "1"}}}));
}

TEST(ReplyHead, HasValuesWithoutControlCharacters)
{
    for (int byte = 0; byte < 256; ++byte) {
        const bool isAllowed = (byte >= 0x20 && byte != 0x7f) || byte == '\t';
        const std::string value = std::string("a") + static_cast<char>(byte) + "b";
        EXPECT_EQ(isValid({11, 200, BodyFraming::Length, {{"X-Odd", value}}}), isAllowed) << byte;
    }
}

// Guards against a body that is cut or decoded in another way than the server meant.
TEST(ReplyHead, HasAFramingThatTheClientReads)
{
    constexpr auto length = BodyFraming::Length;
    constexpr auto chunks = BodyFraming::Chunks;
    constexpr auto connection = BodyFraming::Connection;
    const std::string coding = "Transfer-Encoding";
    const std::string size = "Content-Length";
    const struct {
        unsigned version;
        BodyFraming framing;
        Headers headers;
        bool isValid;
    } cases[] = {
        {11, length, {{size, "5"}}, true},
        {10, length, {{size, "5"}}, true},
        {11, connection, {}, true},
        {11, length, {{size, "5"}, {"content-length", "5"}}, true},
        {11, length, {{size, "5, 5"}}, true},
        {11, length, {{size, "5, 05"}}, true},
        {11, length, {{size, "18446744073709551615"}}, true},
        {11, length, {{size, "5"}, {size, "6"}}, false},
        {11, length, {{size, "5, 6"}}, false},
        {11, length, {{size, ""}}, false},
        {11, length, {{size, ","}}, false},
        {11, length, {{size, "+5"}}, false},
        {11, length, {{size, "-5"}}, false},
        {11, length, {{size, "5 5"}}, false},
        {11, length, {{size, "0x5"}}, false},
        {11, length, {{size, "18446744073709551616"}}, false},
        {11, chunks, {{coding, "chunked"}}, true},
        {11, chunks, {{"transfer-encoding", " ChunkeD\t"}}, true},
        {11, chunks, {{coding, ", chunked ,"}}, true},
        {11, chunks, {}, false},
        {11, connection, {{coding, "chunked"}}, false},
        {10, chunks, {{coding, "chunked"}}, false},
        {11, chunks, {{coding, "chunked"}, {size, "5"}}, false},
        {11, connection, {{coding, ""}}, false},
        {11, connection, {{coding, "identity"}}, false},
        {11, connection, {{coding, "gzip"}}, false},
        {11, connection, {{coding, "xchunked"}}, false},
        {11, connection, {{coding, "chunked;q=1"}}, false},
        {11, connection, {{coding, "chunked, gzip"}}, false},
        {11, chunks, {{coding, "gzip, chunked"}}, false},
        {11, chunks, {{coding, "gzip"}, {coding, "chunked"}}, false},
        {11, chunks, {{coding, "chunked, chunked"}}, false},
        {11, chunks, {{coding, "chunked"}, {coding, "chunked"}}, false},
        {11, length, {{coding, "gzip"}, {size, "5"}}, false},
    };
    for (const auto &each : cases) {
        std::string shown = std::to_string(each.version) + " " + nameOf(each.framing);
        for (const HttpHeader &header : each.headers) {
            shown += ", " + header.name + ": " + header.value;
        }
        EXPECT_EQ(isValid({each.version, 200, each.framing, each.headers}), each.isValid) << shown;
    }
}

// What a reply without a body says of its length is of the reply that it stands for.
TEST(ReplyHead, MayHaveALengthWithoutABody)
{
    EXPECT_TRUE(isValid({11, 204, BodyFraming::Length, {{"Content-Length", "0"}}}));
    EXPECT_TRUE(isValid({11, 304, BodyFraming::Length, {{"Content-Length", "500"}}}));
    EXPECT_TRUE(isValid({11, 103, BodyFraming::Length, {{"Link", "</a>"}}}));
}

} // namespace
} // namespace fescuesill
