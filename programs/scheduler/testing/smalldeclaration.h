#pragma once

// The declaration that the tests of this folder use: one cell of one model, with an engine for each role.

#include "fescuesill/ids.h"

namespace fescuesill
{

constexpr const char *smallDeclaration = R"([data_centre athens]
region = attica

[engine p1]
address = 127.0.0.1:1001
data_centre = athens
model = motor
role = prefill

[engine d1]
address = 127.0.0.1:1002
data_centre = athens
model = motor
role = decode
pieces = 20

[class live]
rank = 1
first_token = 550ms
per_token = 71ms
patience = 5s

[service diagnose]
kind = model
class = live
model = motor
)";

} // namespace fescuesill
