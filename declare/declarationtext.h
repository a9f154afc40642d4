#pragma once

// A declaration as text again, every key written out, in the order of the declaration.
//
//     Declaration::parse(canonicalText(declaration), "x")->engines;     // the same engines
//
// Two texts mean the same exactly when their canonical texts are equal.

#include "declare/declaration.h"

namespace fescuesill
{

std::string canonicalText(const Declaration &declaration);

} // namespace fescuesill
