#pragma once

// Calls to the platform and to the processes of the fleet, one after the other, for a command that waits for each.
//
//     Session session("10.30.0.9:9000");
//     const std::optional<Row> row = session.get("config/current");           // throws PlatformError
//     for (const Answer &answer : session.ask(questions)) { ... }             // all at once; a failure is in the
//     answer

#include "promise/keyring.h"
#include "wire/httpclient.h"
#include "wire/platformclient.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace fescuesill::ctl
{

struct Question {
    std::string address;
    std::string method;
    std::string target;
    std::vector<HttpHeader> headers = {};
    std::string body = {};
};

// With an operator's proof of this command to this process, where there are keys.
Question proven(Question question, const std::optional<KeyRing> &keys, const HostId &host, const std::string &process);

struct Answer {
    int status = 0; // 0: none
    std::string body;
    std::string error; // why there is none
};

class Session
{
public:
    explicit Session(const std::string &platformAddress);

    std::optional<Row> get(const std::string &key);
    // At most this many, read page by page.
    std::vector<Row> rows(const std::string &prefix, std::size_t most);
    // One page of rows whose keys come after the given one.
    std::vector<Row> page(const std::string &prefix, const std::string &after, std::size_t limit);
    void commit(const std::vector<RowWrite> &writes);
    std::vector<PlatformHost> hosts();
    std::optional<std::string> getObject(const std::string &name);
    void putObject(const std::string &name, const std::string &content);
    std::vector<std::string> listObjects(const std::string &prefix);
    // Answers in the order of the questions.
    std::vector<Answer> ask(const std::vector<Question> &questions);
    void pause(Duration duration);

private:
    void run(const std::function<void(const asio::yield_context &)> &work);

    asio::io_context io;
    PlatformClient platform;
    HttpClient client;
};

} // namespace fescuesill::ctl
