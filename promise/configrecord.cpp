#include "promise/configrecord.h"

#include <nlohmann/json.hpp>

// Records are stored as JSON so that an operator can read a row directly. A row that does not parse is an error and
// never version 0, because it must not be mistaken for a table without a configuration.

namespace fescuesill
{

std::string encode(const ConfigRecord &record)
{
    const nlohmann::json object = {
        {"version", record.version.value()}, {"author", record.author}, {"reason", record.reason},
        {"change_id", record.changeId},      {"text", record.text},
    };
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

tl::expected<ConfigRecord, ConfigRecordError> decodeConfigRecord(const std::string &text)
{
    if (text.size() > static_cast<std::size_t>(maxConfigBytes.value())) {
        return tl::unexpected(ConfigRecordError{"exceeds the maximum size of a configuration"});
    }
    const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return tl::unexpected(ConfigRecordError{"not a JSON object"});
    }
    const auto version = object.find("version");
    if (version == object.end() || !version->is_number_integer() || version->get<std::int64_t>() <= 0) {
        return tl::unexpected(ConfigRecordError{"member 'version' is not a positive whole number"});
    }
    ConfigRecord record;
    record.version = ConfigVersion(version->get<std::int64_t>());
    struct TextMember {
        const char *name;
        std::string *target;
    };
    const TextMember members[] = {{"author", &record.author},
                                  {"reason", &record.reason},
                                  {"change_id", &record.changeId},
                                  {"text", &record.text}};
    for (const TextMember &member : members) {
        const auto found = object.find(member.name);
        if (found == object.end() || !found->is_string()) {
            return tl::unexpected(ConfigRecordError{std::string("member '") + member.name + "' is not text"});
        }
        *member.target = found->get<std::string>();
    }
    return record;
}

std::string configHistoryKey(ConfigVersion version)
{
    return "config/history/" + std::to_string(version.value());
}

} // namespace fescuesill
