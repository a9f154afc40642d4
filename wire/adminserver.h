#pragma once

// The admin port of a process: health, readiness, metrics, status, planned stop. It has a thread of its own, so it
// still answers when every other duty is busy. Reads are open; commands need an operator's proof where keys are set.
//
//     AdminServer::Options options;
//     options.address = "127.0.0.1:8082";
//     options.status = [&] { return statusJson(); };
//     options.drain = [&] { beginDraining(); };
//     auto admin = AdminServer::create(std::move(options), registry).value();
//     admin->setReady(true);

#include "promise/operatorproof.h"
#include "wire/wireerror.h"

#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace fescuesill
{

class AdminServer
{
public:
    struct Options {
        std::string address; // IP:PORT
        std::function<std::string()> status; // JSON; called on the admin thread
        std::function<void()> drain; // called on the admin thread
        // Takes a version that the operator's command hands over; false: not taken. Null: this process takes none.
        std::function<bool(const std::string &record)> config = {};
        // Whoever changes state proves that he holds an operator's key; null: nobody is asked.
        std::shared_ptr<const KeyRing> operators = {};
        HostId host = {}; // this process, as proofs name it
        std::string process = {};
    };

    static tl::expected<std::unique_ptr<AdminServer>, WireError> create(Options options,
                                                                        std::shared_ptr<prometheus::Registry> registry);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    // What /readyz answers: 200 or 503. Safe on any thread.
    void setReady(bool ready);

private:
    struct Impl;
    explicit AdminServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace fescuesill
