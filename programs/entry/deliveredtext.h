#pragma once

// What a caller has of an answer, so that another generation of it can be checked to go on from the same text.
//
//     DeliveredText delivered;
//     delivered.append(text);                    // each fragment written to the caller
//     delivered.restart();                       // the answer is generated anew from its start
//     if (!delivered.matches(offset, text)) { ... two different answers: never splice them ... }

#include "fescuesill/units.h"

#include <memory>
#include <string_view>
#include <xxhash.h>

namespace fescuesill
{

class DeliveredText
{
public:
    DeliveredText()
        : sent(XXH3_createState())
    {
        XXH3_64bits_reset(this->sent.get());
    }

    void append(std::string_view text)
    {
        XXH3_64bits_update(this->sent.get(), text.data(), text.size());
        this->length += Offset(1);
    }
    Offset count() const
    {
        return this->length;
    }
    void restart()
    {
        this->again.reset(XXH3_createState());
        XXH3_64bits_reset(this->again.get());
    }
    // To be asked for every fragment of the new generation, in order. False at the last one that the caller has, where
    // the two texts up to it differ.
    bool matches(Offset offset, std::string_view text)
    {
        if (!this->again || this->length <= offset) {
            return true;
        }
        XXH3_64bits_update(this->again.get(), text.data(), text.size());
        const bool isLast = offset + Offset(1) == this->length;
        return !isLast || XXH3_64bits_digest(this->again.get()) == XXH3_64bits_digest(this->sent.get());
    }

private:
    struct Deleter {
        void operator()(XXH3_state_t *state) const
        {
            XXH3_freeState(state);
        }
    };

    Offset length;
    std::unique_ptr<XXH3_state_t, Deleter> sent;
    std::unique_ptr<XXH3_state_t, Deleter> again;
};

} // namespace fescuesill
