#pragma once

// Ids of generations. They end with the kind of their request, so that whoever resumes one writes the right shape.
//
//     const StreamId stream = streamIdOf(request, 1, ModelRequest::Kind::Chat);     // REQUEST.1.chat
//     kindOf(stream);                                                                // Chat

#include "fescuesill/ids.h"
#include "programs/entry/modelrequest.h"

#include <optional>

namespace fescuesill
{

StreamId streamIdOf(const RequestId &request, int generation, ModelRequest::Kind kind);
std::optional<ModelRequest::Kind> kindOf(const StreamId &stream);

} // namespace fescuesill
