#include "wire/processresources.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

ProcessResources read(const std::string &text)
{
    auto reader = SettingsReader::fromText(text, "test.ini").value();
    const ProcessResources resources = readProcessResources(reader, 1);
    EXPECT_TRUE(reader.finish().empty());
    return resources;
}

TEST(ProcessResources, AreThoseOfTheSettings)
{
    const ProcessResources resources = read("[limits]\nmemory_mb = 110\nmax_files = 4100\n");
    EXPECT_EQ(resources.memory, Bytes(110 << 20));
    EXPECT_EQ(resources.files, 4100U);
}

} // namespace
} // namespace fescuesill
