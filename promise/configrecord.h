#pragma once

// One version of the declaration as it is stored in the table and exchanged between peers.
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
    std::string changeId; // unique to one change command of one operator
    std::string text;
};

struct ConfigRecordError {
    std::string text;
};

// The declaration of the fleet's planned two-year size is about 100 KB. Bounds the memory that a peer can claim here.
constexpr Bytes maxConfigBytes{1024 * 1024};

std::string encode(const ConfigRecord &record);
tl::expected<ConfigRecord, ConfigRecordError> decodeConfigRecord(const std::string &text);

constexpr const char *configCurrentKey = "config/current";
std::string configHistoryKey(ConfigVersion version);

} // namespace fescuesill
