#include "promise/orderrecord.h"

#include <nlohmann/json.hpp>

// The row of an engine's orders as JSON text. A row that cannot be parsed is an error: without its fencing number and
// lease no order can be given safely.

namespace fescuesill
{

std::string encode(const OrderRecord &record)
{
    const nlohmann::json object = {
        {"fencing", record.fencing.value()},
        {"holder", record.holder.value()},
        {"order_id", record.orderId},
        {"lease_end_us", record.leaseEnd.time_since_epoch().count()},
        {"kind", record.kind},
        {"value", record.value},
    };
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

tl::expected<OrderRecord, OrderRecordError> decodeOrderRecord(const std::string &text)
{
    const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return tl::unexpected(OrderRecordError{"not a JSON object"});
    }
    for (const char *name : {"fencing", "lease_end_us"}) {
        if (!object.contains(name) || !object[name].is_number_integer()) {
            return tl::unexpected(OrderRecordError{std::string("member '") + name + "' is not a whole number"});
        }
    }
    for (const char *name : {"holder", "order_id", "kind", "value"}) {
        if (!object.contains(name) || !object[name].is_string()) {
            return tl::unexpected(OrderRecordError{std::string("member '") + name + "' is not text"});
        }
    }
    OrderRecord record;
    record.fencing = FencingNumber(object["fencing"].get<std::int64_t>());
    record.holder = HostId(object["holder"].get<std::string>());
    record.orderId = object["order_id"].get<std::string>();
    record.leaseEnd = Instant(Duration(object["lease_end_us"].get<std::int64_t>()));
    record.kind = object["kind"].get<std::string>();
    record.value = object["value"].get<std::string>();
    return record;
}

std::string orderKey(const EngineId &engine)
{
    return "order/" + engine.value();
}

} // namespace fescuesill
