#include "wire/adminserver.h"

#include "promise/configpush.h"

#include "wire/address.h"
#include "wire/clock.h"
#include "wire/log.h"
#include "wire/refusallog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <prometheus/counter.h>
#include <prometheus/text_serializer.h>

#include <atomic>
#include <list>
#include <sstream>
#include <thread>

// One thread runs one coroutine for each connection. Readiness is an atomic flag set by the process. The callbacks in
// Options are called on this thread, so the process must make them safe for that.
//
// Every request other than GET and HEAD needs a proof, which is checked before the target is examined. A command that
// is added later is therefore protected without code of its own.

namespace fescuesill
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

// Only scrapers and operators connect here, so few connections are needed. The one whose last request came first is
// closed for a new one: neither a scraper that never closes its connections nor clients that send nothing keep others
// out.
constexpr std::size_t maxConnections = 64;
// Bodies that are read at the same time. Configuration records come one after the other; the body that has been
// arriving for longest yields.
constexpr std::size_t maxBodies = 4;
// Holds a record of the declaration, whose text is at most 512 KB, with its JSON escapes; other requests have small
// bodies. A body is read only after the proof in the header has been checked, so that an unauthenticated client can't
// fill the memory of this process.
constexpr std::size_t maxBodyBytes = 2 << 20;
// Idle connections are closed, so that dead scrapers don't count towards maxConnections.
constexpr auto idleLimit = std::chrono::seconds(30);
constexpr auto acceptRetryDelay = std::chrono::milliseconds(100);
// More than the longest header that the parser takes and one read.
constexpr std::size_t maxUnparsedBytes = 128 << 10;

using Streams = std::list<beast::tcp_stream *>;

} // namespace

struct AdminServer::Impl {
    explicit Impl(Options given, std::shared_ptr<prometheus::Registry> metrics)
        : options(std::move(given))
        , registry(std::move(metrics))
        , acceptor(context)
        , refused(prometheus::BuildCounter()
                      .Name("fescuesill_admin_commands_refused_total")
                      .Help("Commands without an operator's proof, by cause")
                      .Register(*this->registry))
        , replaced(prometheus::BuildCounter()
                       .Name("fescuesill_admin_connections_replaced_total")
                       .Help("Connections closed for new ones")
                       .Register(*this->registry)
                       .Add({}))
    {
    }

    void listen()
    {
        const auto address = Address::parse(this->options.address);
        if (!address) {
            throw WireError(address.error());
        }
        const tcp::endpoint endpoint(asio::ip::make_address(address->ip), address->port);
        this->acceptor.open(endpoint.protocol());
        this->acceptor.set_option(asio::socket_base::reuse_address(true));
        this->acceptor.bind(endpoint);
        this->acceptor.listen();
    }

    void start()
    {
        asio::spawn(this->context, [this](const asio::yield_context &yield) { this->accept(yield); });
        this->thread = std::thread([this] { this->context.run(); });
    }

    // The coroutines end on their own thread, with their connections.
    void stop()
    {
        asio::post(this->context, [this] {
            boost::system::error_code ignored;
            this->acceptor.close(ignored);
            for (beast::tcp_stream *stream : this->open) {
                stream->socket().close(ignored);
            }
        });
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    void accept(const asio::yield_context &yield)
    {
        while (this->acceptor.is_open()) {
            boost::system::error_code failed;
            auto socket = std::make_shared<tcp::socket>(this->context);
            this->acceptor.async_accept(*socket, yield[failed]);
            if (failed == asio::error::operation_aborted) {
                return;
            }
            if (failed) {
                Log::warning("admin_accept_failed", {{"error", failed.message()}});
                asio::steady_timer retryTimer(this->context, acceptRetryDelay);
                retryTimer.async_wait(yield[failed]);
            } else {
                this->closeOldest(this->open, maxConnections);
                asio::spawn(this->context, [this, socket](const asio::yield_context &inner) {
                    this->serve(std::move(*socket), inner);
                });
            }
        }
    }

    // Until fewer than `most` are left. Their coroutines end with the reads or writes that fail.
    void closeOldest(Streams &streams, std::size_t most)
    {
        while (streams.size() >= most) {
            boost::system::error_code ignored;
            this->replaced.Increment();
            this->replacements.note(this->options.address, "too many connections", steadyNow());
            streams.front()->socket().close(ignored);
            streams.pop_front();
        }
    }

    void serve(tcp::socket socket, const asio::yield_context &yield)
    {
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer(maxUnparsedBytes);
        boost::system::error_code failed;
        this->open.push_back(&stream);
        bool isKept = true;
        while (isKept) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(maxBodyBytes);
            stream.expires_after(idleLimit);
            http::async_read_header(stream, buffer, parser, yield[failed]);
            const auto fault = failed ? std::nullopt : this->faultOf(parser.get());
            if (!failed && !fault && !parser.is_done() && !isRead(parser.get())) {
                this->closeOldest(this->bodies, maxBodies);
                this->bodies.push_back(&stream);
                http::async_read(stream, buffer, parser, yield[failed]);
                this->bodies.remove(&stream);
            }
            if (failed) {
                break;
            }
            this->open.remove(&stream);
            this->open.push_back(&stream);
            HttpResponse response = this->respond(parser, fault, stream.socket());
            isKept = parser.is_done() && response.result() != http::status::unauthorized && parser.get().keep_alive();
            response.keep_alive(isKept);
            response.prepare_payload();
            http::async_write(stream, response, yield[failed]);
            isKept = isKept && !failed;
        }
        this->open.remove(&stream);
        stream.socket().shutdown(tcp::socket::shutdown_both, failed);
    }

    static bool isRead(const HttpRequest &request)
    {
        return request.method() == http::verb::get || request.method() == http::verb::head;
    }

    HttpResponse respond(const http::request_parser<http::string_body> &parser,
                         const std::optional<OperatorFault> &fault, const tcp::socket &socket)
    {
        if (fault) {
            this->recordRefusal(socket, *fault);
            return refusal(parser.get(), *fault);
        }
        if (!parser.is_done()) {
            HttpResponse response(http::status::payload_too_large, parser.get().version());
            response.body() = "a request that reads has no body\n";
            return response;
        }
        return this->answer(parser.get());
    }

    std::optional<OperatorFault> faultOf(const HttpRequest &request) const
    {
        if (isRead(request) || !this->options.operators) {
            return std::nullopt;
        }
        const OperatorCommand command{this->options.host, this->options.process, std::string(request.method_string()),
                                      std::string(request.target())};
        const auto given = request[http::field::authorization];
        return checkOperatorProof(*this->options.operators, command, {given.data(), given.size()}, sharedNow());
    }

    void recordRefusal(const tcp::socket &socket, OperatorFault fault)
    {
        boost::system::error_code ignored;
        const std::string from = socket.remote_endpoint(ignored).address().to_string();
        this->refused.Add({{"cause", faultName(fault)}}).Increment();
        this->refusals.note(from, faultName(fault), steadyNow());
    }

    static HttpResponse refusal(const HttpRequest &request, OperatorFault fault)
    {
        HttpResponse response(http::status::unauthorized, request.version());
        response.set(http::field::www_authenticate, "Bearer");
        response.set(http::field::content_type, "text/plain; charset=utf-8");
        response.body() = std::string("an operator's proof is needed: ") + faultName(fault) + "\n";
        return response;
    }

    HttpResponse answer(const HttpRequest &request)
    {
        HttpResponse response(http::status::ok, request.version());
        response.set(http::field::content_type, "text/plain; charset=utf-8");
        const auto target = request.target();
        if (target == "/healthz") {
            response.body() = "alive\n";
        } else if (target == "/readyz") {
            const bool isReady = this->ready;
            response.result(isReady ? http::status::ok : http::status::service_unavailable);
            response.body() = isReady ? "ready\n" : "not ready\n";
        } else if (target == "/metrics") {
            response.body() = this->metrics();
        } else if (target == "/status") {
            response.set(http::field::content_type, "application/json");
            response.body() = this->options.status();
        } else if (target == "/drain" && request.method() == http::verb::post) {
            this->options.drain();
            response.body() = "draining\n";
        } else if (isConfigPush({target.data(), target.size()}) && request.method() == http::verb::post) {
            this->answerConfig(request, response);
        } else {
            response.result(http::status::not_found);
            response.body() = "GET /healthz /readyz /metrics /status, POST /drain /config\n";
        }
        return response;
    }

    void answerConfig(const HttpRequest &request, HttpResponse &response) const
    {
        const bool matchesTarget = configPushTarget(request.body()) == request.target();
        const bool isAccepted = matchesTarget && this->options.config && this->options.config(request.body());
        response.result(isAccepted ? http::status::ok : http::status::bad_request);
        response.body() = isAccepted ? "taken\n" : "not a record that this process takes\n";
    }

    std::string metrics() const
    {
        std::ostringstream out;
        const prometheus::TextSerializer serializer;
        serializer.Serialize(out, this->registry->Collect());
        return out.str();
    }

    Options options;
    std::shared_ptr<prometheus::Registry> registry;
    asio::io_context context{1};
    tcp::acceptor acceptor;
    prometheus::Family<prometheus::Counter> &refused;
    prometheus::Counter &replaced;
    RefusalLog refusals{"admin_command_refused"};
    RefusalLog replacements{"admin_connection_replaced"};
    std::atomic<bool> ready{false};
    Streams open; // in the order of their last request
    Streams bodies; // of these, those whose body is being read
    std::thread thread;
};

AdminServer::AdminServer(std::unique_ptr<Impl> made)
    : impl(std::move(made))
{
}

AdminServer::~AdminServer()
{
    this->impl->stop();
}

tl::expected<std::unique_ptr<AdminServer>, WireError>
AdminServer::create(Options options, std::shared_ptr<prometheus::Registry> registry)
{
    const std::string address = options.address;
    auto made = std::make_unique<Impl>(std::move(options), std::move(registry));
    try {
        made->listen();
    } catch (const std::exception &failed) {
        return tl::unexpected(WireError("admin port " + address + ": " + failed.what()));
    }
    made->start();
    return std::unique_ptr<AdminServer>(new AdminServer(std::move(made)));
}

void AdminServer::setReady(bool ready)
{
    this->impl->ready = ready;
}

} // namespace fescuesill
