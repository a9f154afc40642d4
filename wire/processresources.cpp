#include "wire/processresources.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace fescuesill
{
namespace
{

constexpr std::int64_t megabyte = 1 << 20;
constexpr std::int64_t leastMegabytes = 32;
constexpr std::int64_t mostMegabytes = 1 << 22;
constexpr std::int64_t leastFiles = 64;
constexpr std::int64_t mostFiles = 1 << 20;

std::int64_t machineMegabytes()
{
    const std::int64_t bytes = std::int64_t(::sysconf(_SC_PHYS_PAGES)) * ::sysconf(_SC_PAGESIZE);
    return bytes / megabyte;
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
    const std::int64_t memory = std::clamp(machineMegabytes() / programs, leastMegabytes, mostMegabytes);
    const std::int64_t files = std::clamp(descriptorLimit(), leastFiles, mostFiles);
    ProcessResources resources;
    resources.memory = Bytes(reader.number("limits", "memory_mb", memory, {leastMegabytes, mostMegabytes}) * megabyte);
    resources.files = static_cast<std::size_t>(reader.number("limits", "max_files", files, {leastFiles, mostFiles}));
    return resources;
}

} // namespace fescuesill
