#include "wire/probecodec.h"

#include "wire/cbor.h"

#include <nlohmann/json.hpp>

// A probe is a CBOR array with its fields in a fixed order. It has no field names, because it must fit into one
// unfragmented datagram with room to spare.

namespace fescuesill
{
namespace
{

using Json = nlohmann::json;

enum ProbeField : std::size_t {
    KindField,
    FromField,
    ToField,
    TargetField,
    SequenceField,
    MembersField,
    FactsField,
    TableReadAgeField, // milliseconds, or null
    ProbeFieldCount,
};

enum MemberField : std::size_t {
    HostField,
    DataCentreField,
    AddressField,
    StateField,
    IncarnationField,
    MemberFieldCount,
};

enum FactField : std::size_t {
    NameField,
    VersionField,
    BytesField,
    UrgentField,
    FactFieldCount,
};

template<typename Enum>
Enum enumeratorOf(const Json &item, Enum last)
{
    if (!item.is_number_unsigned() || item.get<std::uint64_t>() > static_cast<std::uint64_t>(last)) {
        throw WireError("an enumerator is out of range");
    }
    return static_cast<Enum>(item.get<std::uint64_t>());
}

std::uint64_t unsignedOf(const Json &item)
{
    if (!item.is_number_unsigned()) {
        throw WireError("expected an unsigned number");
    }
    return item.get<std::uint64_t>();
}

// Far above any age that occurs. The bound keeps the conversion to a duration from overflowing.
constexpr std::uint64_t maxAgeMs = 1'000'000'000;

Duration ageOf(const Json &item)
{
    const std::uint64_t age = unsignedOf(item);
    if (age > maxAgeMs) {
        throw WireError("an age is out of range");
    }
    return std::chrono::milliseconds(age);
}

const std::string &textOf(const Json &item)
{
    return item.get_ref<const std::string &>();
}

const Json &arrayOf(const Json &item, std::size_t size)
{
    if (!item.is_array() || item.size() != size) {
        throw WireError("an array has the wrong size");
    }
    return item;
}

Json toJson(const MemberInfo &member)
{
    return Json::array({member.host.value(), member.dataCentre.value(), member.address,
                        static_cast<unsigned>(member.state), member.incarnation});
}

Json toJson(const Fact &fact)
{
    const auto *const data = reinterpret_cast<const std::uint8_t *>(fact.bytes.data());
    return Json::array({fact.name, fact.version, Json::binary({data, data + fact.bytes.size()}), fact.urgent});
}

MemberInfo memberOf(const Json &item)
{
    arrayOf(item, MemberFieldCount);
    MemberInfo member;
    member.host = HostId(textOf(item[HostField]));
    member.dataCentre = DataCentreId(textOf(item[DataCentreField]));
    member.address = textOf(item[AddressField]);
    member.state = enumeratorOf(item[StateField], MemberState::Dead);
    member.incarnation = unsignedOf(item[IncarnationField]);
    return member;
}

Fact factOf(const Json &item)
{
    arrayOf(item, FactFieldCount);
    if (!item[BytesField].is_binary()) {
        throw WireError("expected a byte string");
    }
    const auto &bytes = item[BytesField].get_binary();
    return Fact{textOf(item[NameField]), unsignedOf(item[VersionField]), std::string(bytes.begin(), bytes.end()),
                item[UrgentField].get_ref<const Json::boolean_t &>()};
}

} // namespace

std::string encodeProbe(const ProbeMessage &message)
{
    Json members = Json::array();
    for (const MemberInfo &member : message.members) {
        members.push_back(toJson(member));
    }
    Json facts = Json::array();
    for (const Fact &fact : message.facts) {
        facts.push_back(toJson(fact));
    }
    const Json array = Json::array({static_cast<unsigned>(message.kind), message.from.value(), message.to.value(),
                                    message.target.value(), message.sequence, std::move(members), std::move(facts),
                                    message.tableReadAge ? Json(*message.tableReadAge / 1ms) : Json()});
    std::string bytes;
    Json::to_cbor(array, bytes);
    return bytes;
}

tl::expected<ProbeMessage, WireError> decodeProbe(std::string_view bytes)
{
    try {
        const Json array = decodeCbor(bytes);
        arrayOf(array, ProbeFieldCount);
        ProbeMessage message;
        message.kind = enumeratorOf(array[KindField], ProbeKind::IndirectAck);
        message.from = HostId(textOf(array[FromField]));
        message.to = HostId(textOf(array[ToField]));
        message.target = HostId(textOf(array[TargetField]));
        message.sequence = unsignedOf(array[SequenceField]);
        for (const Json &item : array[MembersField]) {
            message.members.push_back(memberOf(item));
        }
        for (const Json &item : array[FactsField]) {
            message.facts.push_back(factOf(item));
        }
        if (!array[TableReadAgeField].is_null()) {
            message.tableReadAge = ageOf(array[TableReadAgeField]);
        }
        return message;
    } catch (const Json::exception &failed) {
        return tl::unexpected(WireError(std::string("not a probe: ") + failed.what()));
    } catch (const WireError &failed) {
        return tl::unexpected(failed);
    }
}

} // namespace fescuesill
