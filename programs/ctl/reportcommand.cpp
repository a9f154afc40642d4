// report: takes a sample of every process's counters, keeps it in the object store, and reckons the windows from the
// samples there. Our hosts keep nothing and are replaced at any time, so neither a process nor the operator's machine
// could hold six hours of counters.
//
// report/last holds the tally with the counters of each process; report/slot/N a ring of small samples, one a minute.
// Objects are overwritten and never deleted, so the ring bounds what is kept.

#include "commands.h"
#include "configuration.h"
#include "fleet.h"

#include "promise/ledgerrecord.h"
#include "report/servicereport.h"

#include <fmt/format.h>

#include <chrono>
#include <fstream>

namespace fescuesill::ctl
{

namespace
{

constexpr const char *lastObject = "report/last";
constexpr const char *slotPrefix = "report/slot/";
constexpr UnixTime slotSeconds = 60;
constexpr UnixTime slots = 390; // six and a half hours, for a window of six
// The table serves some two thousand reads a second to everyone; a page is one read.
constexpr std::size_t mostLedgerRows = 5000;

UnixTime unixNow()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::map<std::string, Counters> readFleet(Session &session, std::vector<std::string> &unreachable)
{
    std::map<std::string, Counters> processes;
    for (const ProcessView &process : askFleet(session, "/metrics")) {
        if (process.answered()) {
            processes[process.host.value() + " " + process.kind] =
                readCounters(process.answer.body, reportedCounters());
        } else {
            unreachable.push_back(fmt::format("{}: {}", process.name(), process.answer.error));
        }
    }
    return processes;
}

FleetTally readTally(Session &session)
{
    const std::optional<std::string> last = session.getObject(lastObject);
    return FleetTally::fromJson(last.value_or("")).value_or(FleetTally());
}

void keep(Session &session, const FleetTally &tally)
{
    const UnixTime slot = tally.sample().time / slotSeconds % slots;
    session.putObject(lastObject, tally.toJson());
    session.putObject(slotPrefix + std::to_string(slot), toJson(tally.sample()));
}

// Of the last six and a half hours, in no order; a slot may still hold an older one.
std::vector<Sample> readSamples(Session &session, UnixTime now)
{
    std::vector<Sample> samples;
    for (const std::string &name : session.listObjects(slotPrefix)) {
        const std::optional<std::string> object = session.getObject(name);
        const auto sample = sampleFromJson(object.value_or(""));
        if (sample && sample->time < now && sample->time > now - slots * slotSeconds) {
            samples.push_back(*sample);
        }
    }
    return samples;
}

void findDoubtfulKeys(Session &session, Findings &findings)
{
    const std::vector<Row> rows = session.rows(ledgerPrefix, mostLedgerRows);
    findings.allKeysRead = rows.size() < mostLedgerRows;
    const Instant now(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
    for (const Row &row : rows) {
        const std::string key = row.key.substr(std::string(ledgerPrefix).size());
        const auto record = decodeLedgerRecord(row.value);
        if (!record) {
            findings.doubtfulKeys.push_back(key + " (its row does not parse)");
        } else if (record->state == LedgerState::Open && record->deadline < now) {
            findings.doubtfulKeys.push_back(key);
        }
    }
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file) {
        throw CommandError(ExitCode::Failed, path + ": can't be written");
    }
}

} // namespace

ExitCode runReport(const CommandLine &line)
{
    Session session(platformAddress(line));
    const std::optional<ConfigRecord> current = readCurrent(session);
    if (!current) {
        throw CommandError(ExitCode::Failed, "no declaration is in force");
    }
    Findings findings;
    FleetTally tally = readTally(session);
    const Sample previous = tally.sample();
    tally.advance(readFleet(session, findings.unreachable), unixNow());
    findDoubtfulKeys(session, findings);
    std::vector<Sample> samples = readSamples(session, tally.sample().time);
    // Of two samples in one minute the slot keeps the later; the tally itself remembers the earlier.
    if (previous.time > tally.sample().time - slots * slotSeconds) {
        samples.push_back(previous);
    }
    samples.push_back(tally.sample());
    keep(session, tally);
    const ServiceReport report = buildReport(parseDeclaration(current->text, "in force"), samples, findings);
    if (line.has("html")) {
        writeFile(line.text("html"), reportHtml(report));
        for (const std::string &name : findings.unreachable) {
            fmt::print(stderr, "not counted, unreachable: {}\n", name);
        }
    } else {
        fmt::print("{}", line.has("json") ? reportJson(report) : reportText(report));
    }
    return findings.unreachable.empty() ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace fescuesill::ctl
