// One line at a time: NAME{KEY="VALUE",…} NUMBER. Label values may hold any character with \\, \" and \n escaped, so
// they are read character by character and not split at commas.

#include "report/metricstext.h"

#include "declare/values.h"

#include <algorithm>
#include <optional>

namespace fescuesill
{

namespace
{

// Of one process. Services times outcomes are some hundreds; this bounds what a broken process can make us hold.
constexpr std::size_t mostSeries = 20000;

class LineReader
{
public:
    explicit LineReader(std::string_view line)
        : rest(line)
    {
    }

    std::optional<std::pair<Series, double>> read()
    {
        Series series;
        series.name = this->until("{ ");
        if (this->take('{') && !this->readLabels(series)) {
            return std::nullopt;
        }
        if (!this->take(' ')) {
            return std::nullopt;
        }
        const auto value = parseFraction(this->until(" \r"));
        if (!value) {
            return std::nullopt;
        }
        return std::pair(std::move(series), *value);
    }

private:
    std::string until(std::string_view ends)
    {
        const auto end = std::min(this->rest.find_first_of(ends), this->rest.size());
        std::string text(this->rest.substr(0, end));
        this->rest.remove_prefix(end);
        return text;
    }

    bool take(char letter)
    {
        if (this->rest.empty() || this->rest.front() != letter) {
            return false;
        }
        this->rest.remove_prefix(1);
        return true;
    }

    bool readLabels(Series &series)
    {
        while (!this->take('}')) {
            const std::string key = this->until("=");
            std::string value;
            if (!this->take('=') || !this->take('"') || !this->readValue(value)) {
                return false;
            }
            series.labels[key] = std::move(value);
            this->take(',');
        }
        return true;
    }

    bool readValue(std::string &value)
    {
        while (!this->take('"')) {
            const bool escaped = this->take('\\');
            if (this->rest.empty()) {
                return false;
            }
            value += escaped && this->rest.front() == 'n' ? '\n' : this->rest.front();
            this->rest.remove_prefix(1);
        }
        return true;
    }

    std::string_view rest;
};

} // namespace

std::string Series::label(const std::string &key) const
{
    const auto found = this->labels.find(key);
    return found != this->labels.end() ? found->second : std::string();
}

Counters readCounters(std::string_view text, const std::vector<std::string> &names)
{
    Counters counters;
    while (!text.empty() && counters.size() < mostSeries) {
        const auto end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::string name(line.substr(0, line.find_first_of("{ ")));
        if (std::find(names.begin(), names.end(), name) == names.end()) {
            continue;
        }
        if (auto read = LineReader(line).read()) {
            counters[read->first] += read->second;
        }
    }
    return counters;
}

} // namespace fescuesill
