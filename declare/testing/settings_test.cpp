#include "declare/settings.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

struct Case {
    const char *text;
    const char *expected; // the only line, or empty
};

std::string readSample(const std::string &text)
{
    SettingsReader reader = SettingsReader::fromText(text, "entry.ini").value();
    reader.address("listen", "callers");
    reader.addresses("listen", "peers");
    reader.duration("resume", "grace", 30s, {1s, 10min});
    reader.number("resume", "streams", 100, {1, 1000});
    reader.flag("resume", "enabled", true);
    reader.choice("log", "level", "info", {"debug", "info"});
    reader.text("log", "name", "entry");
    std::string lines;
    for (const Fault &fault : reader.finish()) {
        lines += fault.line() + "\n";
    }
    return lines;
}

TEST(Settings, EachFaultIsOneLineThatSaysWhatIsAllowed)
{
    const std::string head = "[listen]\ncallers = 127.0.0.1:0\n";
    const std::vector<Case> cases{
        {"", ""},
        {"peers = 10.0.0.1:1,\n  10.0.0.2:2 ; two\n[resume]\ngrace = 30s\nstreams = 5\nenabled = no\n", ""},
        {"caller = x\n", "entry.ini:3: [listen] caller: 'x'; allowed: the keys callers, peers"},
        {"[resume]\ngrace = 30\n",
         "entry.ini:4: [resume] grace: '30'; allowed: a whole number with us, ms, s, min or h, from 1s to 10min"},
        {"[resume]\ngrace = 2h\n",
         "entry.ini:4: [resume] grace: '2h'; allowed: a whole number with us, ms, s, min or h, from 1s to 10min"},
        {"[resume]\nstreams = 0\n", "entry.ini:4: [resume] streams: '0'; allowed: a whole number from 1 to 1000"},
        {"[resume]\nstreams = 5x\n", "entry.ini:4: [resume] streams: '5x'; allowed: a whole number from 1 to 1000"},
        {"[resume]\nenabled = true\n", "entry.ini:4: [resume] enabled: 'true'; allowed: yes, no"},
        {"[log]\nlevel = loud\n", "entry.ini:4: [log] level: 'loud'; allowed: debug, info"},
        {"peers = localhost:80\n",
         "entry.ini:3: [listen] peers: 'localhost:80'; allowed: IP:PORT with a port from 1 to 65535"},
        {"[extra]\n", "entry.ini:3: [extra] 'extra'; allowed: a section of this program"},
        {"[extra]\nk = v\n", "entry.ini:4: [extra] k: 'v'; allowed: no such section"},
        {"[log]\nname\n", "entry.ini:4: [log] 'name'; allowed: [section], key = value, or a comment from ; or #"},
        {"[log]\nname = a\nname = b\n", "entry.ini:5: [log] name: 'b'; allowed: each key once; first on line 4"},
        {"[log]\nname = a\n level = info\n",
         "entry.ini:5: [log] name: 'level = info'; allowed: an indented line continues the value above; begin a key at "
         "the start of its line"},
    };
    for (const Case &c : cases) {
        const std::string expected = *c.expected == '\0' ? "" : std::string(c.expected) + "\n";
        EXPECT_EQ(readSample(head + c.text), expected) << c.text;
    }
}

TEST(Settings, MissingAddressAndEveryOtherFaultAreReportedAtOnce)
{
    EXPECT_EQ(readSample("[resume]\ngrace = x\nstreams = -1\n"),
              "entry.ini:0: [listen] callers: ''; allowed: IP:PORT, port 0 for any free one (missing)\n"
              "entry.ini:2: [resume] grace: 'x'; allowed: a whole number with us, ms, s, min or h, from 1s to 10min\n"
              "entry.ini:3: [resume] streams: '-1'; allowed: a whole number from 1 to 1000\n");
}

TEST(Settings, UnreadableFileIsRefused)
{
    EXPECT_FALSE(SettingsReader::fromFile("/nowhere/entry.ini"));
    EXPECT_FALSE(SettingsReader::fromFile("/"));
}

RC_GTEST_PROP(Settings, AnyBytesAreReadWithoutHarm, (const std::string &text))
{
    readSample("[listen]\n" + text);
}

} // namespace
} // namespace fescuesill
