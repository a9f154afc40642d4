#pragma once

// Calls to the table as the cores that change a row want them: as events, and no fault thrown.
//
//     action = change.on(tryRead(session, read->key));
//     action = change.on(tryWrite(session, write->writes));

#include "session.h"

#include "promise/tablerow.h"

#include <string>
#include <variant>
#include <vector>

namespace fescuesill::ctl
{

using TableEvent =
    std::variant<table::RowRead, table::ReadFailed, table::Written, table::Conflict, table::Refused, table::NoReply>;

TableEvent tryRead(Session &session, const std::string &key);
TableEvent tryWrite(Session &session, const std::vector<TableWrite> &writes);

// Unique to one change, and in it the time, which the table does not keep.
std::string newChangeId();

} // namespace fescuesill::ctl
