#pragma once

// One version of the declaration as the table and the peers carry it.
//
//     const auto record = decodeConfigRecord(row.value);
//     if (record && record->version > inForce) { ... }

#include "fescuesill/units.h"

#include <string>
#include <tl/expected.hpp>

namespace fescuesill
{

struct ConfigRecord {
    ConfigVersion version;
    std::string author;
    std::string reason;
    std::string changeId; // unique to one try of one operator at one change
    std::string text;
};

struct ConfigRecordError {
    std::string text;
};

// The declaration of the two-year size is some 100 KB; this bounds what a peer can make us hold.
constexpr Bytes maxConfigBytes{1024 * 1024};

std::string encode(const ConfigRecord &record);
tl::expected<ConfigRecord, ConfigRecordError> decodeConfigRecord(const std::string &text);

constexpr const char *configCurrentKey = "config/current";
std::string configHistoryKey(ConfigVersion version);

} // namespace fescuesill
