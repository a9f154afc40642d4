// Replaces connect() in the gateway of a test: connections are redirected by a file of lines "IP:PORT IP:PORT", which
// is read each time. So one host of a test can lose its path to endpoints that the other hosts still reach.

#include <arpa/inet.h>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <fstream>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>

namespace
{

std::string textOf(const sockaddr_in &address)
{
    char ip[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, ip, sizeof ip);
    return std::string(ip) + ":" + std::to_string(ntohs(address.sin_port));
}

void redirect(sockaddr_in &address)
{
    const char *path = std::getenv("FESCUESILL_TEST_PATHS");
    std::ifstream file(path != nullptr ? path : "");
    const std::string wanted = textOf(address);
    std::string from;
    std::string to;
    while (file >> from >> to) {
        const auto colon = to.find(':');
        if (from == wanted && colon != std::string::npos) {
            inet_pton(AF_INET, to.substr(0, colon).c_str(), &address.sin_addr);
            address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(to.substr(colon + 1))));
            return;
        }
    }
}

} // namespace

extern "C" int connect(int descriptor, const sockaddr *address, socklen_t length)
{
    using Connect = int (*)(int, const sockaddr *, socklen_t);
    static const auto real = reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
    if (address == nullptr || address->sa_family != AF_INET || length < sizeof(sockaddr_in)) {
        return real(descriptor, address, length);
    }
    sockaddr_in changed{};
    std::memcpy(&changed, address, sizeof changed);
    redirect(changed);
    return real(descriptor, reinterpret_cast<const sockaddr *>(&changed), sizeof changed);
}
