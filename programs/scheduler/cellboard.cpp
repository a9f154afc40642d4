#include "programs/scheduler/cellboard.h"

#include "promise/cellowner.h"
#include "wire/cbor.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>

// A summary is a CBOR array of five numbers, some 20 bytes, so that the summaries of 48 cells ride on probes within
// the bandwidth of membership. A cell without a summary is listed as accepting with no delay: its owner, asked, knows.

namespace fescuesill
{
namespace
{

using Json = nlohmann::json;

enum SummaryField : std::size_t {
    QueueDelayField,
    PrefillPerTokenField,
    MemoryUseField,
    FreePiecesField,
    AcceptingField,
    SummaryFieldCount,
};

constexpr double percent = 100.0;

std::map<HostId, std::string> addressesOf(const Membership &membership)
{
    std::map<HostId, std::string> addresses;
    for (const MemberInfo &member : membership.members()) {
        addresses[member.host] = member.address;
    }
    return addresses;
}

std::map<std::string, Fact> factsOf(const Membership &membership)
{
    std::map<std::string, Fact> facts;
    for (const Fact &fact : membership.facts()) {
        facts[fact.name] = fact;
    }
    return facts;
}

std::vector<HostId> liveHostsOf(const Membership &membership)
{
    std::vector<HostId> hosts;
    for (const MemberInfo &member : membership.members()) {
        if (member.state == MemberState::Alive || member.state == MemberState::Suspect) {
            hosts.push_back(member.host);
        }
    }
    return hosts;
}

// Failure: every scheduler of a data centre is gone while its engines run on. It shows as a cell without an owner:
// placing is degraded and nobody cancels what its dead entries left in the engines. Then a host elsewhere owns it, some
// milliseconds further from its engines.
std::optional<HostId> ownerOf(const CellId &cell, const Membership &membership)
{
    const auto near = cellOwner(cell, membership.owners(cell.dataCentre));
    return near ? near : cellOwner(cell, liveHostsOf(membership));
}

void fill(peer::CellUpdate &news, const Fact &fact)
{
    const auto summary = CellBoard::decode(fact.bytes);
    if (!summary) {
        return;
    }
    news.queueDelay = summary->queueDelay;
    news.prefillPerToken = summary->prefillPerToken;
    news.memoryUse = summary->memoryUse;
    news.freePieces = summary->freePieces;
    news.accepting = summary->accepting;
    news.version = fact.version;
}

} // namespace

CellBoard CellBoard::build(const Declaration &declaration, const Membership &membership)
{
    const auto addresses = addressesOf(membership);
    const auto facts = factsOf(membership);
    CellBoard board;
    for (const CellId &cell : cellsOf(declaration)) {
        peer::CellUpdate news;
        news.cell = cell;
        const auto owner = ownerOf(cell, membership);
        if (owner) {
            news.owner = *owner;
            const auto address = addresses.find(*owner);
            news.ownerAddress = address == addresses.end() ? std::string() : address->second;
        }
        const auto fact = facts.find(factName(cell));
        if (fact != facts.end()) {
            fill(news, fact->second);
        }
        board.cells.push_back(std::move(news));
    }
    return board;
}

const std::vector<peer::CellUpdate> &CellBoard::news() const
{
    return this->cells;
}

std::set<CellId> CellBoard::ownedBy(const HostId &host) const
{
    std::set<CellId> owned;
    for (const peer::CellUpdate &news : this->cells) {
        if (news.owner == host) {
            owned.insert(news.cell);
        }
    }
    return owned;
}

std::string CellBoard::factName(const CellId &cell)
{
    return "cell/" + cell.model.value() + "/" + cell.dataCentre.value();
}

std::string CellBoard::encode(const CellSummary &summary)
{
    const Json array =
        Json::array({summary.queueDelay.count(), summary.prefillPerToken.count(),
                     static_cast<int>(summary.memoryUse * percent), summary.freePieces.value(), summary.accepting});
    std::string bytes;
    Json::to_cbor(array, bytes);
    return bytes;
}

tl::expected<CellSummary, WireError> CellBoard::decode(const std::string &bytes)
{
    try {
        const Json array = decodeCbor(bytes);
        if (!array.is_array() || array.size() != SummaryFieldCount) {
            return tl::unexpected(WireError("not a summary"));
        }
        CellSummary summary;
        summary.queueDelay = Duration(array[QueueDelayField].get<std::int64_t>());
        summary.prefillPerToken = Duration(array[PrefillPerTokenField].get<std::int64_t>());
        summary.memoryUse = array[MemoryUseField].get<double>() / percent;
        summary.freePieces = Pieces(array[FreePiecesField].get<std::int64_t>());
        summary.accepting = array[AcceptingField].get<bool>();
        return summary;
    } catch (const Json::exception &failed) {
        return tl::unexpected(WireError(std::string("not a summary: ") + failed.what()));
    } catch (const WireError &failed) {
        return tl::unexpected(failed);
    }
}

std::set<CellId> cellsOf(const Declaration &declaration)
{
    std::set<CellId> cells;
    for (const Engine &engine : declaration.engines) {
        cells.insert(CellId{engine.model, engine.dataCentre});
    }
    return cells;
}

} // namespace fescuesill
