#include "programs/entry/streamids.h"

namespace fescuesill
{

StreamId streamIdOf(const RequestId &request, int generation, ModelRequest::Kind kind)
{
    const char *const suffix = kind == ModelRequest::Kind::Chat ? ".chat" : ".text";
    return StreamId(request.value() + "." + std::to_string(generation) + suffix);
}

std::optional<ModelRequest::Kind> kindOf(const StreamId &stream)
{
    const std::string &text = stream.value();
    const std::string suffix = text.substr(std::min(text.size(), text.rfind('.')));
    if (suffix == ".chat") {
        return ModelRequest::Kind::Chat;
    }
    if (suffix == ".text") {
        return ModelRequest::Kind::Completion;
    }
    return std::nullopt;
}

} // namespace fescuesill
