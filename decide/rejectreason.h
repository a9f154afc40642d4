#pragma once

// Why a generation gets no engine.

namespace fescuesill
{

enum class RejectReason {
    NoRoom, // no engine has room in time
    NoVersion, // the stream's version is unknown, or no engine of it serves
    QuotaUnknown, // no host accounts for the workspace's quota at the moment
    OverQuota, // the workspace has used up its quota
};

} // namespace fescuesill
