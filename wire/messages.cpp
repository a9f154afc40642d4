#include "wire/messages.h"

#include <nlohmann/json.hpp>

// A message is a CBOR array: its index in the variant, then its fields in the order of the struct. Arrays keep the
// messages that are sent for each request small; field names would double them. Every field is read by a typed accessor
// that throws on the wrong kind, so a peer that speaks nonsense yields one WireError and changes nothing.

namespace fescuesill::peer
{
namespace
{

using Json = nlohmann::json;

// A Holding of a full entry, or the declaration of 600 engines, is well below a million items.
constexpr std::size_t maxItems = 1'000'000;

// Fields are written and read by the same list of members, so the two directions cannot drift apart.
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
    template<typename Struct>
    void operator()(const std::vector<Struct> &items);

    Json array;
};

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
            throw WireError("an unsigned number was expected");
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
            throw WireError("a number was expected");
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
    void operator()(PlaceEvent &event)
    {
        event = this->enumerator(PlaceEvent::EndedByFault);
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
                throw WireError("an unsigned number was expected");
            }
            numbers.push_back(item.get<std::uint64_t>());
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
            throw WireError("a list was expected");
        }
        return items;
    }
    static std::int64_t integerOf(const Json &item)
    {
        if (!item.is_number_integer()) {
            throw WireError("an integer was expected");
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

// fields(message, visitor) names the members of each message once.
template<typename Visitor>
void fields(Visitor &visit, Hello &m)
{
    visit(m.host);
    visit(m.dataCentre);
    visit(m.isEntry);
}

template<typename Visitor>
void fields(Visitor &visit, Submit &m)
{
    visit(m.request);
    visit(m.cell);
    visit(m.service);
    visit(m.workspace);
    visit(m.prompt);
    visit(m.maxOutput);
    visit(m.prefix);
    visit(m.waited);
}

template<typename Visitor>
void fields(Visitor &visit, Placed &m)
{
    visit(m.request);
    visit(m.prefillEngine);
    visit(m.prefillAddress);
    visit(m.decodeEngine);
    visit(m.decodeAddress);
    visit(m.decodeReady);
    visit(m.expiry);
}

template<typename Visitor>
void fields(Visitor &visit, StartDecode &m)
{
    visit(m.request);
    visit(m.decodeEngine);
    visit(m.decodeAddress);
}

template<typename Visitor>
void fields(Visitor &visit, Refused &m)
{
    visit(m.request);
    visit(m.refusal);
}

template<typename Visitor>
void fields(Visitor &visit, PrefillDone &m)
{
    visit(m.request);
    visit(m.read);
    visit(m.reused);
    visit(m.keep);
}

template<typename Visitor>
void fields(Visitor &visit, PrefillFailed &m)
{
    visit(m.request);
    visit(m.fault);
}

template<typename Visitor>
void fields(Visitor &visit, OutputProgress &m)
{
    visit(m.request);
    visit(m.output);
}

template<typename Visitor>
void fields(Visitor &visit, DecodeFailed &m)
{
    visit(m.request);
    visit(m.fault);
    visit(m.kvHeld);
}

template<typename Visitor>
void fields(Visitor &visit, Finished &m)
{
    visit(m.request);
    visit(m.outcome);
    visit(m.output);
}

template<typename Visitor>
void fields(Visitor &visit, Held &m)
{
    visit(m.request);
    visit(m.cell);
    visit(m.service);
    visit(m.workspace);
    visit(m.stream);
    visit(m.decodeEngine);
    visit(m.prompt);
    visit(m.output);
    visit(m.maxOutput);
}

template<typename Visitor>
void fields(Visitor &visit, Holding &m)
{
    visit(m.requests);
}

template<typename Visitor>
void fields(Visitor &visit, ConfigInForce &m)
{
    visit(m.record);
    visit(m.serving);
}

template<typename Visitor>
void fields(Visitor & /*visit*/, FetchConfig & /*m*/)
{
}

template<typename Visitor>
void fields(Visitor &visit, LiveHost &m)
{
    visit(m.host);
    visit(m.dataCentre);
    visit(m.schedulerAddress);
    visit(m.leaving);
}

template<typename Visitor>
void fields(Visitor &visit, LiveHosts &m)
{
    visit(m.hosts);
}

template<typename Visitor>
void fields(Visitor &visit, CellNews &m)
{
    visit(m.cell);
    visit(m.owner);
    visit(m.ownerAddress);
    visit(m.queueDelay);
    visit(m.prefillPerToken);
    visit(m.memoryUse);
    visit(m.freePieces);
    visit(m.accepting);
    visit(m.version);
}

template<typename Visitor>
void fields(Visitor &visit, AllCells &m)
{
    visit(m.cells);
}

template<typename Visitor>
void fields(Visitor &visit, Follow &m)
{
    visit(m.wanted);
}

template<typename Visitor>
void fields(Visitor &visit, AskPlace &m)
{
    visit(m.request);
    visit(m.service);
    visit(m.rank);
    visit(m.prompt);
    visit(m.output);
    visit(m.mostOutput);
    visit(m.waited);
    visit(m.onTime);
    visit(m.useful);
    visit(m.dataCentre);
    visit(m.avoid);
}

template<typename Visitor>
void fields(Visitor &visit, TryPlace &m)
{
    visit(m.request);
    visit(m.engine);
}

template<typename Visitor>
void fields(Visitor &visit, NoPlace &m)
{
    visit(m.request);
    visit(m.retryAfter);
}

template<typename Visitor>
void fields(Visitor &visit, PlaceNews &m)
{
    visit(m.request);
    visit(m.service);
    visit(m.event);
    visit(m.made);
}

template<typename Visitor>
void fields(Visitor &visit, HeldPlace &m)
{
    visit(m.request);
    visit(m.service);
    visit(m.engine);
    visit(m.prompt);
    visit(m.output);
    visit(m.mostOutput);
    visit(m.age);
}

template<typename Visitor>
void fields(Visitor &visit, HeldPlaces &m)
{
    visit(m.places);
}

template<typename Visitor>
void fields(Visitor &visit, FollowStore &m)
{
    visit(m.version);
}

template<typename Visitor>
void fields(Visitor &visit, RegistryRow &m)
{
    visit(m.key);
    visit(m.value);
    visit(m.isRemoved);
}

template<typename Visitor>
void fields(Visitor &visit, RegistryNews &m)
{
    visit(m.isWhole);
    visit(m.version);
    visit(m.rows);
}

template<typename Visitor>
void fields(Visitor &visit, ConfigNews &m)
{
    visit(m.rowVersion);
}

template<typename Visitor>
void fields(Visitor &visit, EngineChanging &m)
{
    visit(m.engine);
    visit(m.lasts);
}

template<typename Visitor>
void fields(Visitor & /*visit*/, StoreLost & /*m*/)
{
}

template<typename Visitor>
void fields(Visitor & /*visit*/, LeadEnded & /*m*/)
{
}

template<typename Struct>
void Writer::operator()(const std::vector<Struct> &items)
{
    Json list = Json::array();
    for (const Struct &item : items) {
        Writer inner(0);
        Struct copy = item;
        fields(inner, copy);
        list.push_back(std::move(inner.array));
    }
    this->array.push_back(std::move(list));
}

template<typename Struct>
void Reader::operator()(std::vector<Struct> &items)
{
    const Json &list = this->list();
    items.reserve(list.size());
    for (const Json &item : list) {
        if (!item.is_array()) {
            throw WireError("a list was expected");
        }
        Reader inner(item);
        fields(inner, items.emplace_back());
        inner.finish();
    }
}

template<std::size_t index = 0>
Message readAs(std::size_t wanted, const Json &array)
{
    if constexpr (index < std::variant_size_v<Message>) {
        if (wanted != index) {
            return readAs<index + 1>(wanted, array);
        }
        std::variant_alternative_t<index, Message> message;
        Reader reader(array);
        fields(reader, message);
        reader.finish();
        return message;
    } else {
        throw WireError("no message has this number");
    }
}

} // namespace

std::string encodeMessage(const Message &message)
{
    Writer writer(message.index());
    std::visit([&writer](auto copy) { fields(writer, copy); }, message);
    std::string bytes;
    Json::to_cbor(writer.array, bytes);
    return bytes;
}

tl::expected<Message, WireError> decodeMessage(std::string_view bytes)
{
    try {
        const Json array = Json::from_cbor(bytes.begin(), bytes.end());
        if (!array.is_array() || array.empty() || !array[0].is_number_unsigned()) {
            return tl::unexpected(WireError("not a message"));
        }
        return readAs(array[0].get<std::size_t>(), array);
    } catch (const Json::exception &failed) {
        return tl::unexpected(WireError(std::string("not a message: ") + failed.what()));
    } catch (const WireError &failed) {
        return tl::unexpected(failed);
    }
}

} // namespace fescuesill::peer
