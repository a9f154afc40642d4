// pathbench: what the way through an entry adds to the same engines asked directly, in one paired run.
//
//     pathbench --entry 127.0.0.1:8080 --prefill 127.0.0.1:8201 --decode 127.0.0.1:8202 --streams 100 --tokens 50
//
// Each round opens all streams at once, first directly, then through the entry, so that both meet the same machine.
// With
// --seconds it instead keeps the streams going through the entry and counts requests and tokens a second.

#include "wire/clock.h"
#include "wire/coroutine.h"
#include "wire/engineclient.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace
{

using namespace fescuesill;
using Json = nlohmann::json;

constexpr Duration waitLimit{60s};
constexpr double microsecondsPerMillisecond = 1000.0;

struct BenchOptions {
    std::string entry;
    std::string prefill;
    std::string decode;
    std::string model;
    int streams = 1;
    int tokens = 50;
    int promptBytes = 400;
    int rounds = 10;
    int seconds = 0;
    int spreadMicroseconds = 0; // between the starts of two streams
};

struct Samples {
    std::vector<double> firstToken;
    std::vector<double> perToken;
    std::int64_t requests = 0;
    std::int64_t tokens = 0;
    std::int64_t failed = 0;
};

struct Timing {
    Instant begin;
    std::optional<Instant> first;
    Instant last;
    std::int64_t count = 0;
};

Json quantiles(std::vector<double> values)
{
    if (values.empty()) {
        return nullptr;
    }
    std::sort(values.begin(), values.end());
    const auto at = [&values](double share) {
        const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
        return values[std::min(index, values.size() - 1)];
    };
    return {{"p50", at(0.5)}, {"p95", at(0.95)}, {"p99", at(0.99)}, {"samples", values.size()}};
}

class PathBench
{
public:
    explicit PathBench(BenchOptions given)
        : options(std::move(given))
        , engines(io, {})
        , client(io, {})
    {
    }

    Json compare()
    {
        Samples direct;
        Samples through;
        for (int round = 0; round < this->options.rounds; ++round) {
            this->runAll(direct, true);
            this->runAll(through, false);
        }
        const Json directJson = this->json(direct);
        const Json throughJson = this->json(through);
        return {{"streams", this->options.streams},
                {"tokens", this->options.tokens},
                {"rounds", this->options.rounds},
                {"direct", directJson},
                {"entry", throughJson}};
    }

    Json rate()
    {
        Samples samples;
        const Instant begin = steadyNow();
        const Instant end = begin + std::chrono::seconds(this->options.seconds);
        for (int i = 0; i < this->options.streams; ++i) {
            startCoroutine(this->io, [this, &samples, end, i](const asio::yield_context &yield) {
                this->pause(i, yield);
                while (steadyNow() < end) {
                    this->one(samples, false, yield);
                }
            });
        }
        this->io.restart();
        this->io.run();
        const double took = std::chrono::duration<double>(steadyNow() - begin).count();
        Json json = this->json(samples);
        json["streams"] = this->options.streams;
        json["requests_per_second"] = static_cast<double>(samples.requests) / took;
        json["tokens_per_second"] = static_cast<double>(samples.tokens) / took;
        return json;
    }

private:
    Json json(const Samples &samples) const
    {
        return {{"first_token_ms", quantiles(samples.firstToken)},
                {"per_token_ms", quantiles(samples.perToken)},
                {"requests", samples.requests},
                {"failed", samples.failed}};
    }

    void runAll(Samples &samples, bool isDirect)
    {
        for (int i = 0; i < this->options.streams; ++i) {
            startCoroutine(this->io, [this, &samples, isDirect, i](const asio::yield_context &yield) {
                this->pause(i, yield);
                this->one(samples, isDirect, yield);
            });
        }
        this->io.restart();
        this->io.run();
    }

    void pause(int index, const asio::yield_context &yield)
    {
        asio::steady_timer timer(this->io,
                                 Duration(static_cast<std::int64_t>(this->options.spreadMicroseconds) * index));
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }

    void one(Samples &samples, bool isDirect, const asio::yield_context &yield)
    {
        Timing timing;
        timing.begin = steadyNow();
        ++this->number;
        try {
            const bool isWhole = isDirect ? this->readDirect(timing, yield) : this->readEntry(timing, yield);
            samples.failed += isWhole ? 0 : 1;
        } catch (const std::exception &error) {
            if (samples.failed++ == 0) {
                std::cerr << error.what() << '\n';
            }
            return;
        }
        if (!timing.first) {
            return;
        }
        ++samples.requests;
        samples.tokens += timing.count;
        samples.firstToken.push_back((*timing.first - timing.begin).count() / microsecondsPerMillisecond);
        if (timing.count > 1) {
            const double steps = static_cast<double>(timing.count - 1);
            samples.perToken.push_back((timing.last - *timing.first).count() / microsecondsPerMillisecond / steps);
        }
    }

    std::string prompt() const
    {
        return std::string(static_cast<std::size_t>(this->options.promptBytes), 'x')
            + " nonce=" + std::to_string(this->number);
    }

    static void note(Timing &timing, std::int64_t fragments)
    {
        if (fragments == 0) {
            return;
        }
        timing.last = steadyNow();
        timing.first = timing.first.value_or(timing.last);
        timing.count += fragments;
    }

    bool readDirect(Timing &timing, const asio::yield_context &yield)
    {
        const std::string id = "bench-" + std::to_string(this->number);
        PrefillCall prefill;
        prefill.request = RequestId(id);
        prefill.prompt = this->prompt();
        prefill.promptTokens = Tokens(static_cast<std::int64_t>(prefill.prompt.size() / 4));
        CallAbort abort;
        const PrefillAnswer kv = this->engines.prefill(this->options.prefill, prefill, abort, yield);
        DecodeCall call;
        call.stream = StreamId(id);
        call.request = prefill.request;
        call.entry = HostId("bench");
        call.kvAddress = this->options.prefill;
        call.kv = kv.kv;
        call.promptTokens = prefill.promptTokens;
        call.maxTokens = Tokens(this->options.tokens);
        DecodeStream stream = this->engines.decode(this->options.decode, call, yield);
        std::vector<DecodeLine> lines;
        while (stream.read(lines, waitLimit, yield)) {
            const bool hasEnd = std::holds_alternative<DecodeEnd>(lines.back());
            note(timing, static_cast<std::int64_t>(lines.size()) - (hasEnd ? 1 : 0));
            if (hasEnd) {
                return true;
            }
        }
        return false;
    }

    bool readEntry(Timing &timing, const asio::yield_context &yield)
    {
        const Json body = {{"model", this->options.model},
                           {"prompt", this->prompt()},
                           {"max_tokens", this->options.tokens},
                           {"stream", true}};
        LineStream stream = this->client.open(this->options.entry, {"POST", "/v1/completions", body.dump()},
                                              {waitLimit, Reuse::Never}, yield);
        if (stream.status() != 200) {
            throw std::runtime_error(stream.readAll(waitLimit, yield));
        }
        std::string lines;
        bool isDone = false;
        while (!isDone && stream.read(lines, waitLimit, yield)) {
            std::int64_t fragments = 0;
            for (std::size_t at = lines.find("id: "); at != std::string::npos; at = lines.find("\nid: ", at + 1)) {
                ++fragments;
            }
            isDone = lines.find("[DONE]") != std::string::npos;
            note(timing, fragments - (isDone ? 1 : 0));
        }
        return isDone;
    }

    BenchOptions options;
    asio::io_context io{1};
    EngineClient engines;
    HttpClient client;
    std::int64_t number = 0;
};

BenchOptions readOptions(const cxxopts::ParseResult &given)
{
    BenchOptions options;
    options.entry = given["entry"].as<std::string>();
    options.prefill = given["prefill"].as<std::string>();
    options.decode = given["decode"].as<std::string>();
    options.model = given["model"].as<std::string>();
    options.streams = given["streams"].as<int>();
    options.tokens = given["tokens"].as<int>();
    options.promptBytes = given["prompt-bytes"].as<int>();
    options.rounds = given["rounds"].as<int>();
    options.seconds = given["seconds"].as<int>();
    options.spreadMicroseconds = given["spread-us"].as<int>();
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options flags("pathbench", "What the way through an entry adds to the same engines asked directly");
    flags.add_options()("entry", "callers' port", cxxopts::value<std::string>());
    flags.add_options()("prefill", "engine that reads", cxxopts::value<std::string>()->default_value(""));
    flags.add_options()("decode", "engine that writes", cxxopts::value<std::string>()->default_value(""));
    flags.add_options()("model", "model asked for", cxxopts::value<std::string>()->default_value("verdict"));
    flags.add_options()("streams", "at once", cxxopts::value<int>()->default_value("1"));
    flags.add_options()("tokens", "of one answer", cxxopts::value<int>()->default_value("50"));
    flags.add_options()("prompt-bytes", "of one prompt", cxxopts::value<int>()->default_value("400"));
    flags.add_options()("rounds", "of both kinds", cxxopts::value<int>()->default_value("10"));
    flags.add_options()("spread-us", "between two starts", cxxopts::value<int>()->default_value("0"));
    flags.add_options()("seconds", "keep going through the entry", cxxopts::value<int>()->default_value("0"));
    try {
        const BenchOptions options = readOptions(flags.parse(argc, argv));
        PathBench bench(options);
        std::cout << (options.seconds > 0 ? bench.rate() : bench.compare()).dump(2) << '\n';
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "pathbench: " << error.what() << '\n' << flags.help() << '\n';
        return 2;
    }
}
