#pragma once

// Strong types for names. Two ids of different kinds cannot be mixed up or compared:
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

// A name of one kind. Empty means "none".
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

// One of our own machines; an entry and a scheduler run on each.
using HostId = Id<struct HostTag>;
using DataCentreId = Id<struct DataCentreTag>;
// A model engine that reads prompts or writes answers.
using EngineId = Id<struct EngineTag>;
// A plain application server beside the engines.
using EndpointId = Id<struct EndpointTag>;
using ModelId = Id<struct ModelTag>;
using ServiceId = Id<struct ServiceTag>;
// The tenant a request is accounted to.
using WorkspaceId = Id<struct WorkspaceTag>;
// One caller's request, unique over all entries.
using RequestId = Id<struct RequestTag>;
// One generation on one writing engine.
using StreamId = Id<struct StreamTag>;
// One try at a call that may run at most once.
using AttemptId = Id<struct AttemptTag>;
// A prefill result held by an engine.
using KvId = Id<struct KvTag>;

// One model in one data centre: the unit that one scheduler decides for.
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
