// Measures the time to open a link on the loopback interface, without and with a key. Links are opened one at a time.
//
//     cmake --build build --target fescuesill_wire
//     g++ -std=c++17 -O2 -DFMT_HEADER_ONLY -DBOOST_BIND_GLOBAL_PLACEHOLDERS -Iinclude -I. \
//         wire/testing/linkopening_benchmark.cpp build/libfescuesill_{wire,declare,promise,decide,base}.a \
//         -lprometheus-cpp-core -lboost_coroutine -lboost_context -linih -lxxhash -lcrypto -lpthread \
//         -o build/linkopening_benchmark && build/linkopening_benchmark

#include "wire/peernode.h"

#include <chrono>
#include <cstdio>
#include <future>

namespace
{

using namespace fescuesill;

constexpr int rounds = 1000;
constexpr const char *address = "127.0.0.1:23917";

std::unique_ptr<PeerNode> nodeOf(const std::string &listen, std::shared_ptr<const KeyRing> keys,
                                 std::function<void(LinkId)> opened)
{
    PeerNode::Options options;
    options.listen = listen;
    options.keys = std::move(keys);
    options.host = HostId("athens-a");
    PeerNode::Handlers handlers;
    handlers.opened = std::move(opened);
    handlers.received = [](LinkId, const peer::Message &) {
    };
    handlers.closed = [](LinkId) {
    };
    auto node = PeerNode::create(std::move(options), std::move(handlers)).value();
    node->start();
    return node;
}

void measure(const char *name, const std::shared_ptr<const KeyRing> &keys)
{
    std::promise<void> *waiting = nullptr;
    const auto server = nodeOf(address, keys, [](LinkId) {});
    const auto client = nodeOf("", keys, [&waiting](LinkId) { waiting->set_value(); });
    const auto begin = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        std::promise<void> opened;
        waiting = &opened;
        const LinkId link = client->connect(address);
        opened.get_future().get();
        client->disconnect(link);
    }
    const std::chrono::duration<double> spent = std::chrono::steady_clock::now() - begin;
    std::printf("%-14s %7.1f us a link\n", name, spent.count() * 1e6 / rounds);
}

} // namespace

int main()
{
    measure("without a key", nullptr);
    measure("with a key", std::make_shared<const KeyRing>(KeyRing::parse(std::string(64, 'a')).value()));
}
