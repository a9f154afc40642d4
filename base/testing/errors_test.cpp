#include "fescuesill/errors.h"

#include <gtest/gtest.h>

#include <set>

namespace fescuesill
{
namespace
{

TEST(Errors, CodesHaveDistinctNamesAndAnErrorStatus)
{
    std::set<std::string_view> names;
    for (int code = 0; code <= static_cast<int>(RefusalCode::Internal); ++code) {
        names.insert(codeName(static_cast<RefusalCode>(code)));
        EXPECT_GE(httpStatus(static_cast<RefusalCode>(code)), 400);
    }
    EXPECT_EQ(names.size(), static_cast<std::size_t>(RefusalCode::Internal) + 1);
}

TEST(Units, PiecesRoundUp)
{
    struct Case {
        std::int64_t tokens;
        std::int64_t pieces;
    };
    for (const Case &c : {Case{0, 0}, Case{1, 1}, Case{4096, 1}, Case{4097, 2}, Case{40960, 10}}) {
        EXPECT_EQ(piecesFor(Tokens(c.tokens)), Pieces(c.pieces)) << c.tokens;
    }
}

} // namespace
} // namespace fescuesill
