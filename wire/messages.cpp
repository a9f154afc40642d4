#include "wire/messagefields.h"

#include "wire/cbor.h"

#include <algorithm>

// A message is a CBOR array: its index in the variant, then its fields in the order of the struct. There are no field
// names, because they would double the size of the messages that are sent for each request. Every field is read by a
// typed accessor that throws on the wrong type, so malformed bytes from a peer yield one WireError and change no state.

namespace fescuesill::peer
{
namespace
{

// fields(visitor, message) lists the members of each message. Writer and Reader share the lists, so that the two
// directions cannot differ.
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
    visit(m.content);
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
    visit(m.content);
    visit(m.ran);
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
    visit(m.content);
    visit(m.ran);
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
void fields(Visitor &visit, CellUpdate &m)
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
void fields(Visitor &visit, RequestPlacement &m)
{
    visit(m.request);
    visit(m.service);
    visit(m.rank);
    visit(m.prompt);
    visit(m.output);
    visit(m.maxOutput);
    visit(m.waited);
    visit(m.onTime);
    visit(m.useful);
    visit(m.dataCentre);
    visit(m.avoid);
    visit(m.excluded);
    visit(m.promptName);
    visit(m.version);
    visit(m.isTakenUp);
    visit(m.resumes);
    visit(m.workspace);
    visit(m.cost);
    visit(m.isCharged);
}

template<typename Visitor>
void fields(Visitor &visit, OfferPlacement &m)
{
    visit(m.request);
    visit(m.engine);
    visit(m.prefill);
}

template<typename Visitor>
void fields(Visitor &visit, RejectPlacement &m)
{
    visit(m.request);
    visit(m.retryAfter);
    visit(m.reason);
}

template<typename Visitor>
void fields(Visitor &visit, PlacementReport &m)
{
    visit(m.request);
    visit(m.service);
    visit(m.event);
    visit(m.output);
    visit(m.version);
}

template<typename Visitor>
void fields(Visitor &visit, HeldPlacement &m)
{
    visit(m.request);
    visit(m.service);
    visit(m.engine);
    visit(m.prompt);
    visit(m.output);
    visit(m.maxOutput);
    visit(m.age);
}

template<typename Visitor>
void fields(Visitor &visit, HeldPlacements &m)
{
    visit(m.places);
}

template<typename Visitor>
void fields(Visitor &visit, StreamOrigin &m)
{
    visit(m.request);
    visit(m.service);
    visit(m.version);
    visit(m.age);
    visit(m.workspace);
}

template<typename Visitor>
void fields(Visitor &visit, StreamsBegun &m)
{
    visit(m.streams);
}

template<typename Visitor>
void fields(Visitor &visit, FollowStore &m)
{
    visit(m.version);
}

template<typename Visitor>
void fields(Visitor &visit, RegistryRow &m)
{
    visit(m.version);
    visit(m.key);
    visit(m.value);
    visit(m.isRemoved);
}

template<typename Visitor>
void fields(Visitor &visit, RegistryUpdate &m)
{
    visit(m.after);
    visit(m.version);
    visit(m.rows);
    visit(m.hasGap);
}

template<typename Visitor>
void fields(Visitor &visit, ConfigUpdate &m)
{
    visit(m.rowVersion);
    visit(m.after);
    visit(m.change);
}

template<typename Visitor>
void fields(Visitor & /*visit*/, ConfigDelayed & /*m*/)
{
}

template<typename Visitor>
void fields(Visitor &visit, EngineChanging &m)
{
    visit(m.engine);
    visit(m.duration);
}

template<typename Visitor>
void fields(Visitor &visit, EndpointLimit &m)
{
    visit(m.endpoint);
    visit(m.isLimited);
    visit(m.perSecond);
}

template<typename Visitor>
void fields(Visitor &visit, RequestPermit &m)
{
    visit(m.number);
    visit(m.endpoint);
}

template<typename Visitor>
void fields(Visitor &visit, PermitReply &m)
{
    visit(m.number);
    visit(m.wait);
}

template<typename Visitor>
void fields(Visitor &visit, DelegateReading &m)
{
    visit(m.isWanted);
    visit(m.registryVersion);
}

template<typename Visitor>
void fields(Visitor &visit, StoreRestored &m)
{
    visit(m.sinceFailure);
}

template<typename Visitor>
void fields(Visitor &visit, LeaderNamed &m)
{
    visit(m.host);
    visit(m.address);
    visit(m.lease);
}

template<typename Visitor>
void fields(Visitor & /*visit*/, StoreLost & /*m*/)
{
}

template<typename Visitor>
void fields(Visitor &visit, FollowerAddress &m)
{
    visit(m.address);
    visit(m.tunnels);
}

template<typename Visitor>
void fields(Visitor &visit, RequestTunnelHosts &m)
{
    visit(m.isCutOff);
}

template<typename Visitor>
void fields(Visitor &visit, TunnelHostsNamed &m)
{
    visit(m.addresses);
    visit(m.areOthersCutOff);
}

template<typename Visitor>
void fields(Visitor &visit, RequestCredit &m)
{
    visit(m.number);
    visit(m.workspace);
    visit(m.cost);
}

template<typename Visitor>
void fields(Visitor &visit, CreditReply &m)
{
    visit(m.number);
    visit(m.wait);
}

template<typename Visitor>
void fields(Visitor &visit, QuotaUse &m)
{
    visit(m.workspace);
    visit(m.units);
}

template<typename Visitor>
void fields(Visitor &visit, QuotaReport &m)
{
    visit(m.uses);
}

template<typename Visitor>
void fields(Visitor &visit, QuotaUsedUp &m)
{
    visit(m.workspace);
    visit(m.wait);
}

template<typename Visitor>
void fields(Visitor &visit, RequestClock &m)
{
    visit(m.sent);
}

template<typename Visitor>
void fields(Visitor &visit, ClockReply &m)
{
    visit(m.sent);
    visit(m.clock);
}

template<typename Visitor>
void fields(Visitor &visit, ConfigCurrent &m)
{
    visit(m.rowVersion);
    visit(m.at);
    visit(m.hosts);
}

template<typename Visitor>
void fields(Visitor &visit, EndpointCrashed &m)
{
    visit(m.endpoint);
    visit(m.incarnation);
    visit(m.traits);
    visit(m.sinceBegin);
    visit(m.sinceEnd);
    visit(m.number);
}

template<typename Visitor>
void fields(Visitor &visit, CrashesKnown &m)
{
    visit(m.crashes);
}

template<typename Visitor>
void fields(Visitor &visit, CrashCounted &m)
{
    visit(m.number);
}

template<typename Visitor>
void fields(Visitor &visit, EndpointLeaving &m)
{
    visit(m.endpoint);
    visit(m.incarnation);
}

template<typename Visitor>
void fields(Visitor &visit, EventCounts &m)
{
    visit(m.events);
    visit(m.stalls);
}

template<typename Visitor>
void fields(Visitor &visit, EventLoss &m)
{
    visit(m.isSeen);
}

template<typename Visitor>
void fields(Visitor &visit, RequestSlot &m)
{
    visit(m.number);
    visit(m.candidates);
    visit(m.rank);
    visit(m.onTime);
    visit(m.useful);
}

template<typename Visitor>
void fields(Visitor &visit, CancelSlot &m)
{
    visit(m.number);
}

template<typename Visitor>
void fields(Visitor &visit, SlotReleased &m)
{
    visit(m.number);
    visit(m.wasServed);
    visit(m.took);
}

template<typename Visitor>
void fields(Visitor &visit, EndpointOverloaded &m)
{
    visit(m.endpoint);
    visit(m.count);
}

template<typename Visitor>
void fields(Visitor &visit, SlotReply &m)
{
    visit(m.number);
    visit(m.endpoint);
    visit(m.retryAfter);
}

template<typename Visitor>
void fields(Visitor &visit, EndpointLimited &m)
{
    visit(m.endpoint);
    visit(m.isLimited);
}

template<typename Visitor>
void fields(Visitor &visit, TraitsWatched &m)
{
    visit(m.traits);
}

template<typename Visitor>
void fields(Visitor &visit, TraitsServed &m)
{
    visit(m.traits);
}

template<typename Visitor>
void fields(Visitor &visit, RequestsBlocked &m)
{
    visit(m.traits);
    visit(m.duration);
    visit(m.untilTrial);
    visit(m.trialInterval);
}

template<typename Visitor>
void fields(Visitor &visit, DeputyNamed &m)
{
    visit(m.address);
    visit(m.hosts);
}

template<typename Visitor>
void fields(Visitor & /*visit*/, LeadershipEnded & /*m*/)
{
}

} // namespace

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
            throw WireError("expected a list");
        }
        Reader inner(item);
        fields(inner, items.emplace_back());
        inner.finish();
    }
}

namespace
{

constexpr std::uint64_t maxSlotRank = 1'000'000;
constexpr std::uint64_t maxOverloads = 100'000; // in one message; a host has some thousand connections
constexpr Duration longestCall{1h};

bool isDurationOfCall(Duration duration)
{
    return duration >= Duration(0) && duration <= longestCall;
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
        throw WireError("unknown message number");
    }
}

} // namespace

bool isValid(const RequestSlot &message)
{
    const auto &candidates = message.candidates;
    const bool hasCandidates = !candidates.empty() && candidates.size() <= maxSlotCandidates
        && std::none_of(candidates.begin(), candidates.end(), [](const auto &id) { return id.empty(); });
    return hasCandidates && message.rank <= maxSlotRank && isDurationOfCall(message.onTime)
        && isDurationOfCall(message.useful);
}

bool isValid(const SlotReleased &message)
{
    return isDurationOfCall(message.took);
}

bool isValid(const EndpointOverloaded &message)
{
    return !message.endpoint.isEmpty() && message.count > 0 && message.count <= maxOverloads;
}

bool isValid(const SlotReply &message)
{
    return isDurationOfCall(message.retryAfter);
}

bool isValid(const EndpointLimited &message)
{
    return !message.endpoint.isEmpty();
}

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
        const Json array = decodeCbor(bytes);
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
