#include "declare/keysettings.h"

#include "declare/values.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

// A file that others on the host may read or change is refused: a key that has been read by others proves nothing, and
// nobody would notice. The look at the file and the reading use one descriptor, so that the file can't be exchanged in
// between.
//
// Without a key an address that is not loopback is refused too. A forgotten line must not open a fleet; `open = yes`
// says that it is meant.

namespace fescuesill
{
namespace
{

constexpr const char *section = "keys";
constexpr const char *form = "a file that others may not read, with one or two keys of 32 to 64 bytes, each a line of "
                             "hexadecimal digits";
// Two keys and a page of comments.
constexpr std::size_t mostFileBytes = 8192;

class Descriptor
{
public:
    explicit Descriptor(const std::string &path)
        : number(::open(path.c_str(), O_RDONLY | O_CLOEXEC))
    {
    }
    ~Descriptor()
    {
        if (this->number >= 0) {
            ::close(this->number);
        }
    }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;

    int get() const
    {
        return this->number;
    }

private:
    int number;
};

tl::unexpected<KeyRingError> systemError()
{
    return tl::unexpected(KeyRingError{std::strerror(errno)});
}

std::shared_ptr<const KeyRing> readKeys(SettingsReader &reader, const std::string &key)
{
    const std::string path = reader.text(section, key, "");
    if (path.empty()) {
        return nullptr;
    }
    auto ring = readKeyFile(path);
    if (!ring) {
        reader.fault(section, key, path, std::string(form) + " (" + ring.error().text + ")");
        return nullptr;
    }
    return std::make_shared<const KeyRing>(std::move(*ring));
}

// Whether the address is open to others without a key; a fault unless that is allowed.
bool isOpen(SettingsReader &reader, const std::string &key, const std::string &address)
{
    // A fault in the file is told already.
    if (address.empty() || isLoopback(address) || !reader.text(section, key, "").empty()) {
        return false;
    }
    if (!reader.flag(section, "open", false)) {
        reader.fault(section, key, "",
                     std::string(form) + ", needed as " + address + " is not a loopback address; or open = yes");
    }
    return true;
}

bool shareAKey(const KeyRing &one, const KeyRing &other)
{
    for (const KeyId id : one.ids()) {
        if (other.find(id) != nullptr) {
            return true;
        }
    }
    return false;
}

} // namespace

tl::expected<KeyRing, KeyRingError> readKeyFile(const std::string &path)
{
    const Descriptor file(path);
    struct stat about {
    };
    if (file.get() < 0 || ::fstat(file.get(), &about) != 0) {
        return systemError();
    }
    if (!S_ISREG(about.st_mode)) {
        return tl::unexpected(KeyRingError{"not a file"});
    }
    if ((about.st_mode & S_IRWXO) != 0) {
        return tl::unexpected(KeyRingError{"others on this host may use it; chmod o= mends that"});
    }
    std::array<char, mostFileBytes + 1> content{};
    const ssize_t size = ::read(file.get(), content.data(), content.size());
    if (size < 0) {
        return systemError();
    }
    if (static_cast<std::size_t>(size) > mostFileBytes) {
        return tl::unexpected(KeyRingError{"more than 8192 bytes"});
    }
    return KeyRing::parse({content.data(), static_cast<std::size_t>(size)});
}

KeySettings readKeySettings(SettingsReader &reader, const KeyedAddresses &addresses)
{
    KeySettings keys;
    keys.fleet = readKeys(reader, "fleet");
    keys.operators = readKeys(reader, "operator");
    reader.flag(section, "open", false); // known, though only asked where a key is missing
    keys.arePeersOpen = isOpen(reader, "fleet", addresses.peers);
    keys.isAdminOpen = isOpen(reader, "operator", addresses.admin);
    if (keys.fleet && keys.operators && shareAKey(*keys.fleet, *keys.operators)) {
        reader.fault(section, "operator", reader.text(section, "operator", ""), "keys that the fleet's file lacks");
    }
    return keys;
}

} // namespace fescuesill
