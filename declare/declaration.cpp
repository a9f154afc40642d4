// Reading is in two steps. The first reads each section by its kind (declarationreader.cpp) and notes what is wrong
// within it. The second looks at the whole (declarationchecks.cpp): references, addresses used twice, cycles. Both run
// always, so that one pass over the text shows every fault.
//
// Look-ups walk the vectors: the sizes of two years on are 600 engines and some tens of services, and a declaration is
// replaced whole when it changes, so an index would be state to keep true for little.

#include "declare/declaration.h"

#include "declare/declarationchecks.h"
#include "declare/declarationreader.h"

#include <algorithm>
#include <stdexcept>

namespace fescuesill
{

namespace
{

template<typename Item, typename Key>
const Item *findById(const std::vector<Item> &items, const Key &id)
{
    const auto found = std::find_if(items.begin(), items.end(), [&](const Item &item) { return item.id == id; });
    return found != items.end() ? &*found : nullptr;
}

// A route covers itself and what lies below it: /book covers /book/7 and not /bookings.
bool covers(const std::string &route, std::string_view path)
{
    if (path.substr(0, route.size()) != route) {
        return false;
    }
    return path.size() == route.size() || route.back() == '/' || path[route.size()] == '/' || path[route.size()] == '?';
}

} // namespace

tl::expected<Declaration, DeclareError> Declaration::parse(std::string_view text, const std::string &file)
{
    DeclarationReader reader(text, file);
    std::vector<Fault> faults = reader.read();
    const std::vector<Fault> more = checkWhole(reader.declaration(), reader.places());
    faults.insert(faults.end(), more.begin(), more.end());
    if (!faults.empty()) {
        sortByLine(faults);
        return tl::unexpected(DeclareError{std::move(faults)});
    }
    return reader.declaration();
}

const Service *Declaration::findService(const ServiceId &id) const
{
    return findById(this->services, id);
}

const Service *Declaration::findRoute(std::string_view path) const
{
    const Service *best = nullptr;
    std::size_t longest = 0;
    for (const Service &service : this->services) {
        const auto *plain = std::get_if<PlainService>(&service.kind);
        if (plain != nullptr && covers(plain->route, path) && plain->route.size() > longest) {
            best = &service;
            longest = plain->route.size();
        }
    }
    return best;
}

const ServiceClass &Declaration::classOf(const Service &service) const
{
    const auto same = [&](const ServiceClass &item) {
        return item.name == service.serviceClass;
    };
    const auto found = std::find_if(this->classes.begin(), this->classes.end(), same);
    if (found == this->classes.end()) {
        throw std::out_of_range("service " + service.id.value() + " has no declared class");
    }
    return *found;
}

const Engine *Declaration::findEngine(const EngineId &id) const
{
    return findById(this->engines, id);
}

const Endpoint *Declaration::findEndpoint(const EndpointId &id) const
{
    return findById(this->endpoints, id);
}

} // namespace fescuesill
