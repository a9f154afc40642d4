#pragma once

// Strong types for names. Ids of different kinds cannot be assigned to each other or compared:
//
//     const EngineId engine("athens-p1");
//     const HostId host("athens-a");
//     engine == host;               // does not compile
//     engine.value();               // "athens-p1"

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <tuple>
#include <utility>

namespace fescuesill
{

// A name of one kind. An empty id means none.
template<typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value)
        : text(std::move(value))
    {
    }

    const std::string &value() const
    {
        return this->text;
    }
    bool isEmpty() const
    {
        return this->text.empty();
    }

    friend bool operator==(const Id &a, const Id &b)
    {
        return a.text == b.text;
    }
    friend bool operator!=(const Id &a, const Id &b)
    {
        return a.text != b.text;
    }
    friend bool operator<(const Id &a, const Id &b)
    {
        return a.text < b.text;
    }
    friend std::ostream &operator<<(std::ostream &out, const Id &id)
    {
        return out << id.text;
    }

private:
    std::string text;
};

// A machine of the fleet, which runs an entry and a scheduler.
using HostId = Id<struct HostTag>;
using DataCentreId = Id<struct DataCentreTag>;
// A model engine for prefill or decode.
using EngineId = Id<struct EngineTag>;
// An application server that is not a model engine.
using EndpointId = Id<struct EndpointTag>;
using ModelId = Id<struct ModelTag>;
// The version of an engine's software. A stream continues only at the version that began it.
using SoftwareVersion = Id<struct SoftwareVersionTag>;
using ServiceId = Id<struct ServiceTag>;
// The tenant to which a request is accounted.
using WorkspaceId = Id<struct WorkspaceTag>;
// A one-way digest of a caller's key (promise/keydigest.h). The key itself is never kept.
using KeyDigest = Id<struct KeyDigestTag>;
// A request of a caller. Unique over all entries.
using RequestId = Id<struct RequestTag>;
// A generation on a decode engine.
using StreamId = Id<struct StreamTag>;
// An attempt at a call that must run at most once.
using AttemptId = Id<struct AttemptTag>;
// A prefill result held by an engine.
using KvId = Id<struct KvTag>;

// A cell: one model in one data centre, scheduled by one owner.
struct CellId {
    ModelId model;
    DataCentreId dataCentre;

    friend bool operator==(const CellId &a, const CellId &b)
    {
        return a.model == b.model && a.dataCentre == b.dataCentre;
    }
    friend bool operator<(const CellId &a, const CellId &b)
    {
        return std::tie(a.model, a.dataCentre) < std::tie(b.model, b.dataCentre);
    }
};

} // namespace fescuesill

template<typename Tag>
struct std::hash<fescuesill::Id<Tag>> {
    std::size_t operator()(const fescuesill::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};

template<>
struct std::hash<fescuesill::CellId> {
    std::size_t operator()(const fescuesill::CellId &id) const noexcept
    {
        return std::hash<std::string>()(id.model.value() + '\n' + id.dataCentre.value());
    }
};
