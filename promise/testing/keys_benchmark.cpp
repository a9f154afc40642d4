// Measures the cost of authentication on one core: a probe of 350 bytes, a link message of 200 and of 75,000 bytes, the
// opening of a link at both ends, and the proof of an operator's command.
//
//     g++ -std=c++17 -O2 -Iinclude -I. promise/testing/keys_benchmark.cpp promise/{datagramseal,linkauth}.cpp \
//         promise/{operatorproof,keyring,hexadecimal,mackey,bytefields,base64url}.cpp -lcrypto \
//         -o build/keys_benchmark && build/keys_benchmark

#include "promise/datagramseal.h"
#include "promise/linkauth.h"
#include "promise/operatorproof.h"

#include <chrono>
#include <cstdio>

namespace
{

using namespace fescuesill;

const Instant now{1'780'000'000s};

template<typename Work>
void measure(const char *name, int rounds, Work work)
{
    const auto begin = std::chrono::steady_clock::now();
    std::size_t bytes = 0;
    for (int round = 0; round < rounds; ++round) {
        bytes += work(round);
    }
    const std::chrono::duration<double> spent = std::chrono::steady_clock::now() - begin;
    std::printf("%-34s %9.2f us each, %zu bytes\n", name, spent.count() * 1e6 / rounds, bytes / rounds);
}

LinkNonce nonceOf(char fill)
{
    LinkNonce nonce{};
    nonce.fill(fill);
    return nonce;
}

// Runs both ends of an opening and returns the total size of its three messages.
std::size_t open(LinkAuth &initiator, LinkAuth &acceptor)
{
    const auto challenge = acceptor.on(initiator.opening());
    const auto proof = initiator.on(*challenge);
    acceptor.on(*proof);
    return initiator.opening().size() + challenge->size() + proof->size();
}

void measureMessages(const char *name, int rounds, std::size_t size)
{
    const KeyRing keys = LinkAuth::linkKeys(KeyRing::parse(std::string(64, 'a')).value());
    LinkAuth initiator = LinkAuth::initiate(keys, {HostId("athens-a"), "10.30.1.2:8090"}, nonceOf('a'));
    LinkAuth acceptor = LinkAuth::accept(keys, {HostId("piraeus-a"), "10.30.1.2:8090"}, nonceOf('b'));
    open(initiator, acceptor);
    const std::string payload(size, 'x');
    measure(name, rounds, [&](int) { return acceptor.open(initiator.seal(payload))->size(); });
}

} // namespace

int main()
{
    const KeyRing fleet = KeyRing::parse(std::string(64, 'a')).value();
    DatagramSeal sender(fleet, HostId("athens-a"));
    const DatagramSeal receiver(fleet, HostId("piraeus-a"));
    const std::string payload(350, 'x');
    const std::string datagram = sender.seal(payload, now);
    std::string forged = datagram;
    forged.back() = static_cast<char>(forged.back() ^ 1);
    measure("probe, seal", 200'000, [&](int) { return sender.seal(payload, now).size(); });
    measure("probe, check", 200'000, [&](int) { return receiver.open(datagram, now)->payload.size(); });
    measure("probe, refuse a forged one", 200'000, [&](int) { return receiver.open(forged, now) ? 0U : 1U; });
    measureMessages("link, seal and check 200 bytes", 200'000, 200);
    measureMessages("link, seal and check 75,000 bytes", 5'000, 75'000);
    const KeyRing links = LinkAuth::linkKeys(fleet);
    measure("link, opening at both ends", 20'000, [&](int) {
        LinkAuth initiator = LinkAuth::initiate(links, {HostId("athens-a"), "10.30.1.2:8090"}, nonceOf('a'));
        LinkAuth acceptor = LinkAuth::accept(links, {HostId("piraeus-a"), "10.30.1.2:8090"}, nonceOf('b'));
        return open(initiator, acceptor);
    });
    const OperatorCommand drain{HostId("athens-a"), "entry", "POST", "/drain"};
    measure("operator, prove and check", 50'000, [&](int) {
        const std::string proof = operatorProof(fleet, drain, now);
        return checkOperatorProof(fleet, drain, proof, now) ? 0U : proof.size();
    });
}
