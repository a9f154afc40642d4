// A line belongs to the request when its value of `request` or `original` (of a caller that came back) is the id.
// Times are UTC in one form, so they sort as text; clocks of hosts differ, so lines of two hosts that are
// milliseconds apart may stand in the wrong order.

#include "report/requestlife.h"

#include <fmt/format.h>

#include <algorithm>

namespace fescuesill
{

namespace
{

// Of one request: a stream that is moved a hundred times is a fault in itself.
constexpr std::size_t mostMoments = 10000;

struct Field {
    std::string key;
    std::string value;
};

std::string readValue(std::string_view &line)
{
    std::string value;
    if (line.empty() || line.front() != '"') {
        const auto end = std::min(line.find(' '), line.size());
        value = line.substr(0, end);
        line.remove_prefix(end);
        return value;
    }
    line.remove_prefix(1);
    while (!line.empty() && line.front() != '"') {
        if (line.front() == '\\' && line.size() > 1) {
            line.remove_prefix(1);
        }
        value += line.front();
        line.remove_prefix(1);
    }
    line.remove_prefix(std::min<std::size_t>(1, line.size()));
    return value;
}

std::vector<Field> fieldsOf(std::string_view line)
{
    std::vector<Field> fields;
    while (!line.empty()) {
        const auto equals = line.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        Field field{std::string(line.substr(0, equals)), ""};
        line.remove_prefix(equals + 1);
        field.value = readValue(line);
        fields.push_back(std::move(field));
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    }
    return fields;
}

} // namespace

RequestLife::RequestLife(std::string request)
    : request(std::move(request))
{
}

void RequestLife::read(std::string_view log)
{
    while (!log.empty() && this->moments.size() < mostMoments) {
        const auto end = std::min(log.find('\n'), log.size());
        const std::string_view line = log.substr(0, end);
        log.remove_prefix(std::min(end + 1, log.size()));
        if (line.find(this->request) == std::string_view::npos) {
            continue;
        }
        Moment moment;
        bool ours = false;
        for (const Field &field : fieldsOf(line)) {
            if (field.key == "time") {
                moment.time = field.value;
            } else if (field.key == "process") {
                moment.process = field.value;
            } else if (field.key == "event") {
                moment.event = field.value;
            } else if (field.key != "level") {
                ours = ours || ((field.key == "request" || field.key == "original") && field.value == this->request);
                moment.rest += fmt::format(" {}={}", field.key, field.value);
            }
        }
        if (ours) {
            this->moments.push_back(std::move(moment));
        }
    }
    std::stable_sort(this->moments.begin(), this->moments.end(),
                     [](const Moment &a, const Moment &b) { return a.time < b.time; });
}

bool RequestLife::isEmpty() const
{
    return this->moments.empty();
}

std::string RequestLife::text() const
{
    std::string out;
    for (const Moment &moment : this->moments) {
        out += fmt::format("{}  {:<10} {:<18}{}\n", moment.time, moment.process, moment.event, moment.rest);
    }
    return out;
}

} // namespace fescuesill
