#pragma once

// The admin port of a process: health, readiness, metrics, status and planned stop. It runs on its own thread, so it
// responds even while the other threads of the process are busy. GET and HEAD are open to everyone; commands require an
// operator's proof if operator keys are configured.
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
        // Applies a configuration record that an operator's command has posted and returns whether it was accepted.
        // If null, this process accepts no configuration.
        std::function<bool(const std::string &record)> config = {};
        // Keys that the proofs of commands are checked against. If null, commands need no proof.
        std::shared_ptr<const KeyRing> operators = {};
        HostId host = {}; // with `process`, the target of a command that its proof must name
        std::string process = {};
    };

    static tl::expected<std::unique_ptr<AdminServer>, WireError> create(Options options,
                                                                        std::shared_ptr<prometheus::Registry> registry);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    // Sets whether /readyz responds with 200 or 503. Thread-safe.
    void setReady(bool ready);

private:
    struct Impl;
    explicit AdminServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace fescuesill
