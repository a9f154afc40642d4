#pragma once

// Checks that need the whole declaration: references, what is used twice, dependencies.
//
//     const std::vector<Fault> faults = checkWhole(declaration, places);

#include "declare/declarationreader.h"

namespace fescuesill
{

std::vector<Fault> checkWhole(const Declaration &declaration, const Places &places);

// Whether a service can still take new work: some endpoint of it, or an engine of each role, is not leaving.
bool takesNewWork(const Declaration &declaration, const Service &service);

} // namespace fescuesill
