// A command has one thread. Each call runs the event loop until its coroutine has ended; ask() runs a few coroutines
// that take questions from one list, so that 680 processes are asked in seconds and yet not all in one instant.

#include "session.h"

#include "promise/operatorproof.h"
#include "wire/clock.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <exception>

namespace fescuesill::ctl
{

namespace
{

// A process that can't answer a question about its state in this time counts as unreachable.
constexpr Duration askDeadline = 2s;
// Enough that a dead data centre of 120 hosts costs few waits of two seconds, few enough not to be a burst.
constexpr std::size_t questionsAtOnce = 64;
// Rows of the ledger are small; a declaration of some 100 KB comes to 5 MB a page.
constexpr std::size_t rowsPerPage = 50;

} // namespace

Question proven(Question question, const std::optional<KeyRing> &keys, const HostId &host, const std::string &process)
{
    if (keys) {
        const OperatorCommand command{host, process, question.method, question.target};
        question.headers.push_back({"Authorization", operatorProof(*keys, command, sharedNow())});
    }
    return question;
}

Session::Session(const std::string &platformAddress)
    : platform(this->io, PlatformClient::Options{platformAddress})
    , client(this->io, HttpClient::Options{})
{
}

void Session::run(const std::function<void(const asio::yield_context &)> &work)
{
    std::exception_ptr failed;
    asio::spawn(this->io, [&](const asio::yield_context &yield) {
        try {
            work(yield);
        } catch (const std::exception &) {
            failed = std::current_exception();
        }
    });
    this->io.restart();
    this->io.run();
    if (failed) {
        std::rethrow_exception(failed);
    }
}

std::optional<Row> Session::get(const std::string &key)
{
    std::optional<Row> row;
    this->run([&](const asio::yield_context &yield) { row = this->platform.get(key, yield); });
    return row;
}

std::vector<Row> Session::rows(const std::string &prefix, std::size_t most)
{
    std::vector<Row> all;
    this->run([&](const asio::yield_context &yield) {
        std::vector<Row> page;
        do {
            page = this->platform.rows(prefix, all.empty() ? "" : all.back().key, rowsPerPage, yield);
            all.insert(all.end(), page.begin(), page.end());
        } while (page.size() == rowsPerPage && all.size() < most);
    });
    return all;
}

std::vector<Row> Session::page(const std::string &prefix, const std::string &after, std::size_t limit)
{
    std::vector<Row> rows;
    this->run([&](const asio::yield_context &yield) { rows = this->platform.rows(prefix, after, limit, yield); });
    return rows;
}

void Session::commit(const std::vector<RowWrite> &writes)
{
    this->run([&](const asio::yield_context &yield) { this->platform.commit(writes, yield); });
}

std::vector<PlatformHost> Session::hosts()
{
    std::vector<PlatformHost> hosts;
    this->run([&](const asio::yield_context &yield) { hosts = this->platform.hosts(yield); });
    return hosts;
}

std::optional<std::string> Session::getObject(const std::string &name)
{
    std::optional<std::string> content;
    this->run([&](const asio::yield_context &yield) { content = this->platform.getObject(name, yield); });
    return content;
}

void Session::putObject(const std::string &name, const std::string &content)
{
    this->run([&](const asio::yield_context &yield) { this->platform.putObject(name, content, yield); });
}

std::vector<std::string> Session::listObjects(const std::string &prefix)
{
    std::vector<std::string> names;
    this->run([&](const asio::yield_context &yield) { names = this->platform.listObjects(prefix, yield); });
    return names;
}

std::vector<Answer> Session::ask(const std::vector<Question> &questions)
{
    std::vector<Answer> answers(questions.size());
    std::size_t next = 0;
    const auto askOne = [&](std::size_t index, const asio::yield_context &yield) {
        const Question &question = questions[index];
        if (question.address.empty()) {
            answers[index].error = "the host list names no admin address";
            return;
        }
        try {
            const HttpRequest request{question.method, question.target, question.body, question.headers};
            HttpResponse response = this->client.call(question.address, request, {askDeadline, Reuse::Never}, yield);
            answers[index].status = response.status;
            answers[index].body = std::move(response.body);
        } catch (const HttpError &error) {
            answers[index].error = error.what();
        }
    };
    for (std::size_t i = 0; i < std::min(questionsAtOnce, questions.size()); ++i) {
        asio::spawn(this->io, [&](const asio::yield_context &yield) {
            while (next < questions.size()) {
                askOne(next++, yield);
            }
        });
    }
    this->io.restart();
    this->io.run();
    return answers;
}

void Session::pause(Duration duration)
{
    this->run([&](const asio::yield_context &yield) {
        asio::steady_timer timer(this->io, duration);
        timer.async_wait(yield);
    });
}

} // namespace fescuesill::ctl
