#pragma once

// What is wrong with a text that an operator wrote, one line each.
//
//     fault.line();   // services.ini:14: [service bookings] methods: 'PUSH'; allowed: GET, POST, PUT

#include <string>
#include <string_view>
#include <vector>

namespace fescuesill
{

// One fault of a text of settings or of a declaration.
struct Fault {
    std::string file;
    int lineNumber = 0;
    std::string section;
    std::string key;
    std::string given;
    std::string allowed;

    // FILE:LINE: [SECTION] KEY: 'GIVEN'; allowed: ALLOWED
    std::string line() const;
};

struct DeclareError {
    std::vector<Fault> faults;
};

void sortByLine(std::vector<Fault> &faults);

} // namespace fescuesill
