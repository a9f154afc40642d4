#pragma once

// Every invocation and reply of a run, and what they add up to for each class of callers.
//
//     History history("history.jsonl");
//     history.invoke(record, attempt);       // {"event":"invoke",...}
//     history.reply(record, attempt);        // {"event":"reply",...}
//     history.close(record);                 // {"event":"outcome",...}: what the caller was left with
//     std::puts(history.summary().c_str());

#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace fescuesill::standin
{

enum class CallKind {
    Completion,
    Chat,
    Booking,
    Lookup,
};

enum class Outcome {
    Done, // its own answer, whole
    Refused, // told that it was not run
    Unknown, // a call that changes something, whose outcome was never told
    Lost, // an idempotent call without an answer after all attempts
    Broken, // a part of an answer, and the rest could not be had
    Wrong, // an answer that is not its own
};

struct Attempt {
    int number = 0;
    std::string entry;
    bool isResume = false;
    int status = 0;
    std::string code;
    std::string run;
    std::int64_t begin = 0; // microseconds of the steady clock, which all processes of one machine share
    std::int64_t end = 0;
};

struct CallRecord {
    std::int64_t id = 0;
    CallKind kind = CallKind::Lookup;
    std::string workspace;
    std::string key; // nonce of a prompt, key of a booking, name of what is looked up
    Outcome outcome = Outcome::Lost;
    std::vector<Attempt> attempts;
    int resumes = 0;
    int restarts = 0; // sent again from the start, with no event seen before
    std::int64_t fragments = 0;
    std::int64_t firstToken = 0; // microseconds from the first attempt
    std::int64_t perToken = 0; // microseconds, mean of the stream
    std::string detail;
};

std::int64_t steadyMicroseconds();
const char *kindName(CallKind kind);
const char *outcomeName(Outcome outcome);

class History
{
public:
    // An empty name writes no file.
    explicit History(const std::string &file);

    void invoke(const CallRecord &record, const Attempt &attempt);
    void reply(const CallRecord &record, const Attempt &attempt);
    void close(const CallRecord &record);
    void skip();

    const std::vector<CallRecord> &records() const;
    // A table for a terminal: one line for each kind.
    std::string summary() const;

private:
    std::ofstream out;
    std::vector<CallRecord> closed;
    std::int64_t skipped = 0;
};

} // namespace fescuesill::standin
