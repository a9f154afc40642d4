#pragma once

// The life of one request out of the logs of several processes.
//
//     RequestLife life("r-17");
//     life.read(logOfOneHost);
//     life.read(logOfAnother);
//     print(life.text());        // its own lines, what changed around it, what is missing
//
// The logs of all hosts together tell most: a generation is placed by another host than the one that answers it.

#include "report/logline.h"

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
    std::string request;
    std::vector<LogLine> moments;
    std::vector<LogLine> changes; // of what processes believe or depend on, whomever they concern
};

} // namespace fescuesill
