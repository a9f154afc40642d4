#pragma once

// The life of one request out of the logs of several processes.
//
//     RequestLife life("r-17");
//     life.read(logOfEntry);
//     life.read(logOfScheduler);
//     print(life.text());        // in the order of time

#include <string>
#include <string_view>
#include <vector>

namespace fescuesill
{

class RequestLife
{
public:
    explicit RequestLife(std::string request);

    // Lines of key=value; others are passed over.
    void read(std::string_view log);
    bool isEmpty() const;
    std::string text() const;

private:
    struct Moment {
        std::string time;
        std::string process;
        std::string event;
        std::string rest;
    };

    std::string request;
    std::vector<Moment> moments;
};

} // namespace fescuesill
