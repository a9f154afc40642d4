#include "declare/keysettings.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace fescuesill
{
namespace
{

namespace fs = std::filesystem;

const std::string keyA(64, 'a');
const std::string keyB(64, 'b');
const KeyedAddresses reachable{"10.30.1.2:8090", "10.30.1.2:8091"};
const KeyedAddresses loopback{"127.0.0.1:8090", "[::1]:8091"};
constexpr fs::perms ownOnly = fs::perms::owner_read | fs::perms::owner_write;

class KeySettingsTest : public testing::Test
{
protected:
    void SetUp() override
    {
        std::string pattern = (fs::temp_directory_path() / "fescuesill-keys-XXXXXX").string();
        this->folder = ::mkdtemp(pattern.data());
    }
    void TearDown() override
    {
        fs::remove_all(this->folder);
    }

    std::string keyFile(const std::string &name, const std::string &content, fs::perms perms = ownOnly)
    {
        const fs::path path = this->folder / name;
        std::ofstream(path) << content;
        fs::permissions(path, perms);
        return path.string();
    }

    // What is read, and every fault in one text.
    KeySettings read(const std::string &section, const KeyedAddresses &addresses)
    {
        SettingsReader reader = SettingsReader::fromText("[keys]\n" + section, "entry.ini").value();
        KeySettings keys = readKeySettings(reader, addresses);
        this->faults.clear();
        for (const Fault &fault : reader.finish()) {
            this->faults += fault.line() + "\n";
        }
        return keys;
    }

    fs::path folder;
    std::string faults;
};

const std::string form = "a file that others may not read, with one or two keys of 32 to 64 bytes, each a line of "
                         "hexadecimal digits";

TEST_F(KeySettingsTest, EachFaultIsOneLine)
{
    const std::string missing = (this->folder / "missing").string();
    const std::string open = this->keyFile("open", keyA, ownOnly | fs::perms::others_read);
    const std::string brief = this->keyFile("brief", keyA + "\nabcd\n");
    const std::string twice = this->keyFile("twice", keyA + "\n" + keyA);
    const std::string large = this->keyFile("large", std::string(9000, '#'));
    const std::string good = this->keyFile("good", keyA);
    const std::string shared = this->keyFile("shared", keyB + "\n" + keyA);
    const std::vector<std::pair<std::string, std::string>> cases{
        {"fleet = " + missing,
         "entry.ini:2: [keys] fleet: '" + missing + "'; allowed: " + form + " (No such file or directory)\n"},
        {"fleet = " + this->folder.string(),
         "entry.ini:2: [keys] fleet: '" + this->folder.string() + "'; allowed: " + form + " (not a file)\n"},
        {"fleet = " + open,
         "entry.ini:2: [keys] fleet: '" + open + "'; allowed: " + form
             + " (others on this host may use it; chmod o= mends that)\n"},
        {"fleet = " + brief,
         "entry.ini:2: [keys] fleet: '" + brief + "'; allowed: " + form + " (line 2 has 2 bytes)\n"},
        {"operator = " + twice,
         "entry.ini:2: [keys] operator: '" + twice + "'; allowed: " + form + " (line 2 is the same key again)\n"},
        {"fleet = " + large,
         "entry.ini:2: [keys] fleet: '" + large + "'; allowed: " + form + " (more than 8192 bytes)\n"},
        {"fleet = " + good + "\noperator = " + shared,
         "entry.ini:3: [keys] operator: '" + shared + "'; allowed: keys that the fleet's file lacks\n"},
        {"fleets = " + good, "entry.ini:2: [keys] fleets: '" + good + "'; allowed: the keys fleet, open, operator\n"},
        {"open = maybe", "entry.ini:2: [keys] open: 'maybe'; allowed: yes, no\n"},
    };
    for (const auto &[section, expected] : cases) {
        this->read(section, loopback);
        EXPECT_EQ(this->faults, expected) << section;
    }
}

struct OpenCase {
    const char *name;
    std::string section;
    KeyedAddresses addresses;
    bool isRefused;
    bool arePeersOpen;
    bool isAdminOpen;
};

// A line is forgotten on one host of many, and that host takes orders from anyone who reaches it. So without a key a
// process starts on loopback only, unless its settings say that it is meant.
TEST_F(KeySettingsTest, WithoutAKeyOnlyLoopbackIsOpen)
{
    const std::string fleet = "fleet = " + this->keyFile("fleet", keyA) + "\n";
    const std::string operators = "operator = " + this->keyFile("operator", keyB) + "\n";
    const std::vector<OpenCase> cases{
        {"nothing, on loopback", "", loopback, false, false, false},
        {"both, reachable", fleet + operators, reachable, false, false, false},
        {"nothing, reachable", "", reachable, true, true, true},
        {"open = no", "open = no\n", reachable, true, true, true},
        {"open = yes", "open = yes\n", reachable, false, true, true},
        {"no operator", fleet, reachable, true, false, true},
        {"no operator, open", fleet + "open = yes\n", reachable, false, false, true},
        {"no fleet", operators, reachable, true, true, false},
        {"every address", fleet, {"10.30.1.2:8090", "0.0.0.0:8091"}, true, false, true},
        {"admin on loopback", fleet, {"10.30.1.2:8090", "127.0.0.1:8091"}, false, false, false},
    };
    for (const OpenCase &c : cases) {
        const KeySettings keys = this->read(c.section, c.addresses);
        EXPECT_EQ(!this->faults.empty(), c.isRefused) << c.name << this->faults;
        EXPECT_EQ(keys.arePeersOpen, c.arePeersOpen) << c.name;
        EXPECT_EQ(keys.isAdminOpen, c.isAdminOpen) << c.name;
    }
    this->read("", {"10.30.1.2:8090", "127.0.0.1:1"});
    EXPECT_EQ(this->faults,
              "entry.ini:1: [keys] fleet: ''; allowed: " + form
                  + ", needed as 10.30.1.2:8090 is not a loopback address; or open = yes\n");
}

TEST_F(KeySettingsTest, ReadsTheKeys)
{
    const KeySettings keys = this->read("fleet = " + this->keyFile("fleet", keyA + "\n" + keyB), reachable);
    ASSERT_NE(keys.fleet, nullptr);
    EXPECT_EQ(keys.fleet->size(), 2U);
    EXPECT_EQ(keys.operators, nullptr);
}

} // namespace
} // namespace fescuesill
