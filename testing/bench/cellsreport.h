#pragma once

// Runs one scenario of cellworld.h and prints what came of it.
//
//     if (isCellScenario(name)) { printCells(settings, asJson); }

#include "cellworld.h"

namespace fescuesill::bench
{

bool isCellScenario(const std::string &name);
// Whether the settings could be run; says why on standard error otherwise.
bool printCells(const CellsSettings &settings, const std::string &policy, bool asJson);

// What a choice costs an entry that knows this many cells, of eight models, in microseconds of real time.
void printChoiceCost(int cells);

} // namespace fescuesill::bench
