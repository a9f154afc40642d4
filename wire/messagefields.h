#pragma once

// Writes and reads the fields of the messages between processes as elements of a CBOR array. Private to messages.cpp.
//
//     Writer writer(index);
//     writer(message.request);                  // each field in the order of the struct
//     Reader reader(array);
//     reader(message.request);                  // WireError for a wrong type, and for too few or too many fields
//     reader.finish();

#include "wire/messages.h"

#include <nlohmann/json.hpp>

namespace fescuesill::peer
{

using Json = nlohmann::json;

// Maximum length of a list. A Holding message of a fully loaded entry and a declaration of 600 engines are both well
// below it.
constexpr std::size_t maxItems = 1'000'000;

// Appends fields to a CBOR array.
class Writer
{
public:
    explicit Writer(std::size_t index)
        : array(Json::array({index}))
    {
    }

    template<typename Tag>
    void operator()(const Id<Tag> &id)
    {
        this->array.push_back(id.value());
    }
    template<typename Tag>
    void operator()(const Count<Tag> &count)
    {
        this->array.push_back(count.value());
    }
    void operator()(const Duration &duration)
    {
        this->array.push_back(duration.count());
    }
    void operator()(const std::string &text)
    {
        this->array.push_back(text);
    }
    void operator()(std::uint64_t number)
    {
        this->array.push_back(number);
    }
    void operator()(bool flag)
    {
        this->array.push_back(flag);
    }
    void operator()(double number)
    {
        this->array.push_back(number);
    }
    template<typename Enum>
    std::enable_if_t<std::is_enum_v<Enum>> operator()(Enum value)
    {
        this->array.push_back(static_cast<int>(value));
    }
    void operator()(const CellId &cell)
    {
        this->array.push_back(cell.model.value());
        this->array.push_back(cell.dataCentre.value());
    }
    void operator()(const Refusal &refusal)
    {
        this->array.push_back(static_cast<int>(refusal.code));
        this->array.push_back(static_cast<int>(refusal.run));
        this->array.push_back(refusal.text);
        this->array.push_back(refusal.retryAfter ? Json(refusal.retryAfter->count()) : Json());
    }
    void operator()(const std::vector<std::uint64_t> &numbers)
    {
        this->array.push_back(numbers);
    }
    void operator()(const std::vector<std::string> &texts)
    {
        this->array.push_back(texts);
    }
    template<typename Struct>
    void operator()(const std::vector<Struct> &items);

    Json array;
};

// Reads the fields of a CBOR array in order, starting after the index of the message.
class Reader
{
public:
    explicit Reader(const Json &given)
        : array(given)
    {
    }

    template<typename Tag>
    void operator()(Id<Tag> &id)
    {
        id = Id<Tag>(this->next().get_ref<const std::string &>());
    }
    template<typename Tag>
    void operator()(Count<Tag> &count)
    {
        count = Count<Tag>(this->integer());
    }
    void operator()(Duration &duration)
    {
        duration = Duration(this->integer());
    }
    void operator()(std::string &text)
    {
        text = this->next().get_ref<const std::string &>();
    }
    void operator()(std::uint64_t &number)
    {
        const Json &item = this->next();
        if (!item.is_number_unsigned()) {
            throw WireError("expected an unsigned number");
        }
        number = item.get<std::uint64_t>();
    }
    void operator()(bool &flag)
    {
        flag = this->next().get_ref<const Json::boolean_t &>();
    }
    void operator()(double &number)
    {
        const Json &item = this->next();
        if (!item.is_number()) {
            throw WireError("expected a number");
        }
        number = item.get<double>();
    }
    void operator()(RequestOutcome &outcome)
    {
        outcome = this->enumerator(RequestOutcome::Failed);
    }
    void operator()(PrefillFault &fault)
    {
        fault = this->enumerator(PrefillFault::Unreachable);
    }
    void operator()(DecodeFault &fault)
    {
        fault = this->enumerator(DecodeFault::Unreachable);
    }
    void operator()(RejectReason &reason)
    {
        reason = this->enumerator(RejectReason::OverQuota);
    }
    void operator()(PlacementEvent &event)
    {
        event = this->enumerator(PlacementEvent::Declined);
    }
    void operator()(CellId &cell)
    {
        (*this)(cell.model);
        (*this)(cell.dataCentre);
    }
    void operator()(Refusal &refusal)
    {
        refusal.code = this->enumerator(RefusalCode::Internal);
        refusal.run = this->enumerator(RunState::Ran);
        (*this)(refusal.text);
        const Json &after = this->next();
        if (!after.is_null()) {
            refusal.retryAfter = Duration(integerOf(after));
        }
    }
    void operator()(std::vector<std::uint64_t> &numbers)
    {
        const Json &items = this->list();
        numbers.reserve(items.size());
        for (const Json &item : items) {
            if (!item.is_number_unsigned()) {
                throw WireError("expected an unsigned number");
            }
            numbers.push_back(item.get<std::uint64_t>());
        }
    }
    void operator()(std::vector<std::string> &texts)
    {
        const Json &items = this->list();
        texts.reserve(items.size());
        for (const Json &item : items) {
            texts.push_back(item.get_ref<const std::string &>());
        }
    }
    template<typename Struct>
    void operator()(std::vector<Struct> &items);

    void finish() const
    {
        if (this->position != this->array.size()) {
            throw WireError("a message has too many fields");
        }
    }

private:
    const Json &next()
    {
        if (this->position >= this->array.size()) {
            throw WireError("a message has too few fields");
        }
        return this->array[this->position++];
    }
    const Json &list()
    {
        const Json &items = this->next();
        if (!items.is_array() || items.size() > maxItems) {
            throw WireError("expected a list");
        }
        return items;
    }
    static std::int64_t integerOf(const Json &item)
    {
        if (!item.is_number_integer()) {
            throw WireError("expected an integer");
        }
        return item.get<std::int64_t>();
    }
    std::int64_t integer()
    {
        return integerOf(this->next());
    }
    template<typename Enum>
    Enum enumerator(Enum last)
    {
        const std::int64_t value = this->integer();
        if (value < 0 || value > static_cast<std::int64_t>(last)) {
            throw WireError("an enumerator is out of range");
        }
        return static_cast<Enum>(value);
    }

    const Json &array;
    std::size_t position = 1;
};

} // namespace fescuesill::peer
