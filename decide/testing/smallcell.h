#pragma once

// A cell of two prefill and two decode engines for tests, and requests for it.
//
//     auto cell = smallCell();
//     cell.submit(request("r"), Instant(1s));
//     const auto places = only<Place>(cell.poll(Instant(1s)));

#include "decide/cellscheduler.h"

namespace fescuesill
{

inline EngineSpec engine(const std::string &name, Pool pool)
{
    return EngineSpec{EngineId(name), pool, Pieces(4), DataCentreId("a"), "", false};
}

inline PlaceRequest request(const std::string &name, int rank = 1, Duration firstToken = 5s)
{
    PlaceRequest place;
    place.request = RequestId(name);
    place.workspace = WorkspaceId("w");
    place.requestClass.name = "c" + std::to_string(rank);
    place.requestClass.rank = rank;
    place.requestClass.firstToken = firstToken;
    place.prompt = Tokens(1000);
    return place;
}

template<typename Kind>
std::vector<Kind> only(const std::vector<Action> &actions)
{
    std::vector<Kind> found;
    for (const Action &action : actions) {
        if (const auto *one = std::get_if<Kind>(&action)) {
            found.push_back(*one);
        }
    }
    return found;
}

inline CellScheduler smallCell(CellScheduler::Options options = {})
{
    auto cell = CellScheduler::create(options).value();
    cell.setEngines({engine("p1", Pool::Prefill), engine("p2", Pool::Prefill), engine("d1", Pool::Decode),
                     engine("d2", Pool::Decode)},
                    Instant(1s));
    return cell;
}

} // namespace fescuesill
