#pragma once

// The row order/ENGINE of the orders to an engine, as JSON text.
//
//     const auto record = decodeOrderRecord(row.value);
//     if (record && now < record->leaseEnd) { ... record->holder may order ... }

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <string>
#include <tl/expected.hpp>

namespace fescuesill
{

struct OrderRecord {
    FencingNumber fencing;
    HostId holder;
    std::string orderId; // unique to one EngineOrdering
    Instant leaseEnd;
    std::string kind;
    std::string value;
};

struct OrderRecordError {
    std::string text;
};

std::string encode(const OrderRecord &record);
tl::expected<OrderRecord, OrderRecordError> decodeOrderRecord(const std::string &text);
std::string orderKey(const EngineId &engine);

} // namespace fescuesill
