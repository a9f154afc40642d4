#pragma once

// A caller that lost its entry, or was moved by a planned stop, reads its stream on here.
//
//     resumeStream(services, *view, workspace, token, id, reply, yield);

#include "programs/entry/shardservices.h"
#include "wire/httpserver.h"

namespace fescuesill
{

void resumeStream(ShardServices &services, const EntryView &view, const WorkspaceId &workspace,
                  const std::string &lastEventId, const RequestId &id, HttpReply &reply,
                  const asio::yield_context &yield);

} // namespace fescuesill
