// Silence is kept as a number of a connection rather than as a flag: what lost track of the connections that were open
// then never finds them again, while every later connection works.

#include "testing/fakeengine/faultscript.h"

#include <cstdlib>
#include <limits>
#include <nlohmann/json.hpp>

namespace fescuesill::standin
{

namespace
{

constexpr std::int64_t everyStream = std::numeric_limits<std::int64_t>::max();
constexpr int killedStatus = 137; // as a shell shows a process that was killed

bool takeOne(std::int64_t &left)
{
    if (left <= 0) {
        return false;
    }
    --left;
    return true;
}

} // namespace

FaultScript::FaultScript(std::uint32_t seed)
    : random(seed)
{
}

void FaultScript::replace(const nlohmann::json &script, std::uint64_t connections)
{
    if (script.value("die", false)) {
        std::_Exit(killedStatus);
    }
    this->refuse = script.value("refuse", false);
    this->freeze = script.value("freeze", false);
    this->rate = script.value("rate", 1.0);
    this->slow = script.value("slow", 1.0);
    this->cutAfter = script.value("cut_after", std::int64_t{-1});
    this->cutNext = script.value("cut_next", everyStream);
    this->loseNext = script.value("lose_next", std::int64_t{0});
    this->kvGoneNext = script.value("kv_gone_next", std::int64_t{0});
    if (script.value("silent", false)) {
        this->silentUpTo = connections;
    }
}

bool FaultScript::isFrozen() const
{
    return this->freeze;
}

bool FaultScript::isSilent(std::uint64_t connection) const
{
    return connection <= this->silentUpTo;
}

double FaultScript::slowFactor() const
{
    return this->slow;
}

bool FaultScript::refuses()
{
    return this->refuse && std::bernoulli_distribution(this->rate)(this->random);
}

bool FaultScript::losesReply()
{
    return takeOne(this->loseNext);
}

bool FaultScript::losesKv()
{
    return takeOne(this->kvGoneNext);
}

std::int64_t FaultScript::cutOfNewStream()
{
    return this->cutAfter >= 0 && takeOne(this->cutNext) ? this->cutAfter : -1;
}

} // namespace fescuesill::standin
