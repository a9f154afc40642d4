// The least of what the machine has, what the control group and its ancestors may use, and what the process may map: a
// process that counts on more is killed, or fails to allocate, although the machine has memory.

#include "wire/processresources.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <string>

namespace fescuesill
{
namespace
{

constexpr std::int64_t megabyte = 1 << 20;
constexpr std::int64_t leastMegabytes = 32;
constexpr std::int64_t mostMegabytes = 1 << 22;
constexpr std::int64_t leastFiles = 64;
constexpr std::int64_t mostFiles = 1 << 20;

constexpr std::int64_t unlimited = mostMegabytes * megabyte;

std::int64_t machineBytes()
{
    return std::int64_t(::sysconf(_SC_PHYS_PAGES)) * ::sysconf(_SC_PAGESIZE);
}

std::int64_t mappingLimit()
{
    std::int64_t least = unlimited;
    for (const auto resource : {RLIMIT_AS, RLIMIT_DATA}) {
        rlimit limit{};
        if (::getrlimit(resource, &limit) == 0 && limit.rlim_cur < rlim_t(unlimited)) {
            least = std::min(least, std::int64_t(limit.rlim_cur));
        }
    }
    return least;
}

// Files that are missing, or name no number, state no limit.
std::int64_t controlGroupLimit()
{
    std::ifstream groups("/proc/self/cgroup");
    std::string group;
    while (std::getline(groups, group) && group.rfind("0::", 0) != 0) {
        group.clear();
    }
    std::int64_t least = unlimited;
    std::string path = group.size() > 3 ? group.substr(3) : std::string();
    while (true) {
        std::ifstream file("/sys/fs/cgroup" + path + "/memory.max");
        if (std::int64_t bytes = 0; file >> bytes) {
            least = std::min(least, bytes);
        }
        const std::size_t parent = path.rfind('/');
        if (path.empty() || parent == std::string::npos) {
            return least;
        }
        path.resize(parent);
    }
}

std::int64_t availableMegabytes(int programs)
{
    return std::min({machineBytes() / programs, mappingLimit(), controlGroupLimit()}) / megabyte;
}

std::int64_t descriptorLimit()
{
    rlimit limit{};
    const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < rlim_t(mostFiles);
    return isKnown ? std::int64_t(limit.rlim_cur) : mostFiles;
}

} // namespace

ProcessResources readProcessResources(SettingsReader &reader, int programs)
{
    const std::int64_t memory = std::clamp(availableMegabytes(programs), leastMegabytes, mostMegabytes);
    const std::int64_t files = std::clamp(descriptorLimit(), leastFiles, mostFiles);
    ProcessResources resources;
    resources.memory = Bytes(reader.number("limits", "memory_mb", memory, {leastMegabytes, mostMegabytes}) * megabyte);
    resources.files = static_cast<std::size_t>(reader.number("limits", "max_files", files, {leastFiles, mostFiles}));
    return resources;
}

} // namespace fescuesill
