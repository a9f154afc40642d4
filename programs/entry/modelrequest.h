#pragma once

// A caller's request for a completion, checked.
//
//     const auto request = ModelRequest::parse(ModelRequest::Kind::Chat, call.body);
//     if (!request) { reply.refuse(request.error(), yield); }

#include "fescuesill/errors.h"

#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace fescuesill
{

struct ModelRequest {
    enum class Kind {
        Completion,
        Chat,
    };

    static tl::expected<ModelRequest, Refusal> parse(Kind kind, std::string_view body);

    Kind kind = Kind::Completion;
    bool isStream = false;
    std::string model;
    std::string prompt; // of a chat: its messages in one text, each with its role
    Tokens promptTokens; // estimated; the engine counts its own
    Tokens maxTokens; // 0: as many as the service allows
};

// Blocks of the prompt that prefix hashes are taken over; the cells' schedulers use the same length.
constexpr Tokens prefixBlock{256};
// A context of engine memory is 20 pieces of 4,096 tokens; a longer prompt's tail is not worth matching.
constexpr std::size_t mostPrefixHashes = 64;

// Of the first block, the first two, and so on.
std::vector<std::uint64_t> prefixHashes(std::string_view prompt);

} // namespace fescuesill
