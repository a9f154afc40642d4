#pragma once

// The transactional table of the stand-in platform, with a log of every write.
//
//     Table table;
//     const CommitResult result = table.commit({{"config/current", "text", 0, false}});
//     std::get<std::vector<std::int64_t>>(result);         // {1}
//     table.commit({{"config/current", "other", 0, false}});  // CommitConflict: index 0, version 1
//     table.log(0);                                        // both keys of what was written, in order

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fescuesill::standin
{

struct TableRow {
    std::string key;
    nlohmann::json value;
    std::int64_t version = 0; // 0: absent
};

struct TableWrite {
    std::string key;
    nlohmann::json value;
    std::optional<std::int64_t> ifVersion; // none: any; 0: absent
    bool isDelete = false;
};

struct CommitConflict {
    std::size_t index = 0;
    TableRow current;
};

using CommitResult = std::variant<std::vector<std::int64_t>, CommitConflict>;

struct LogRecord {
    std::int64_t sequence = 0;
    std::int64_t timeMicroseconds = 0; // of the steady clock
    std::int64_t commit = 0; // writes of one commit carry the same number
    TableWrite write;
    std::int64_t version = 0;
};

class Table
{
public:
    // All writes or none.
    CommitResult commit(const std::vector<TableWrite> &writes);

    std::optional<TableRow> row(const std::string &key) const;
    std::vector<TableRow> rows(const std::string &prefix, const std::string &after, std::size_t limit) const;
    // Every write with a higher sequence number, at most limit of them.
    std::vector<LogRecord> log(std::int64_t after, std::size_t limit) const;

private:
    std::int64_t currentVersion(const std::string &key) const;

    std::map<std::string, TableRow> live;
    // Outlives a row, so that a version never comes twice for one key.
    std::map<std::string, std::int64_t> versions;
    std::vector<LogRecord> records;
    std::int64_t commits = 0;
};

} // namespace fescuesill::standin
