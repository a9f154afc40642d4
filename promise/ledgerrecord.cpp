#include "promise/ledgerrecord.h"

#include "promise/base64url.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

// The body of an answer is arbitrary bytes and JSON holds only UTF-8, so the body is stored as base64. Times are
// microseconds since the Unix epoch. A row that does not parse is an error and never treated as absent, because that
// would run a call a second time.

namespace fescuesill
{
namespace
{

using nlohmann::json;

struct StateName {
    LedgerState state;
    const char *name;
};

constexpr StateName stateNames[] = {
    {LedgerState::Open, "open"},
    {LedgerState::Done, "done"},
    {LedgerState::Released, "released"},
    {LedgerState::Closed, "closed"},
};

std::int64_t toNumber(Instant instant)
{
    return instant.time_since_epoch().count();
}

Instant toInstant(std::int64_t number)
{
    return Instant(Duration(number));
}

std::optional<LedgerState> findState(const std::string &name)
{
    for (const StateName &known : stateNames) {
        if (name == known.name) {
            return known.state;
        }
    }
    return std::nullopt;
}

const char *nameOf(LedgerState state)
{
    for (const StateName &known : stateNames) {
        if (state == known.state) {
            return known.name;
        }
    }
    return "";
}

// Reads members of an object and records the first one that is missing or has the wrong type.
class MemberReader
{
public:
    explicit MemberReader(const json &object)
        : object(object)
    {
    }

    std::string text(const char *name)
    {
        const json *member = this->find(name);
        if (member == nullptr || !member->is_string()) {
            this->note(name, "text");
            return {};
        }
        return member->get<std::string>();
    }

    std::int64_t number(const char *name)
    {
        const json *member = this->find(name);
        if (member == nullptr || !member->is_number_integer()) {
            this->note(name, "a whole number");
            return 0;
        }
        return member->get<std::int64_t>();
    }

    void note(const char *name, const char *expected)
    {
        if (this->error.empty()) {
            this->error = std::string("member '") + name + "' is not " + expected;
        }
    }

    const std::string &firstError() const
    {
        return this->error;
    }

private:
    const json *find(const char *name) const
    {
        const auto found = this->object.find(name);
        return found == this->object.end() ? nullptr : &*found;
    }

    const json &object;
    std::string error;
};

std::optional<EndpointAnswer> readAnswer(MemberReader &outer, const json &object)
{
    MemberReader reader(object);
    EndpointAnswer answer;
    answer.status = static_cast<int>(reader.number("status"));
    answer.contentType = reader.text("content_type");
    const std::optional<std::string> body = fromBase64Url(reader.text("body"));
    if (!reader.firstError().empty() || !body) {
        outer.note("answer", "an answer");
        return std::nullopt;
    }
    answer.body = *body;
    return answer;
}

std::optional<LedgerStatement> readStatement(MemberReader &outer, const json &object)
{
    MemberReader reader(object);
    LedgerStatement statement;
    statement.author = reader.text("author");
    statement.reason = reader.text("reason");
    statement.changeId = reader.text("change_id");
    statement.at = toInstant(reader.number("at_us"));
    const std::string outcome = reader.text("said");
    statement.ran = outcome == "ran";
    if (!reader.firstError().empty() || (!statement.ran && outcome != "not_run")) {
        outer.note("stated", "a statement");
        return std::nullopt;
    }
    return statement;
}

void addField(EVP_MD_CTX *context, const std::string &field)
{
    const std::uint64_t length = field.size();
    EVP_DigestUpdate(context, &length, sizeof length);
    EVP_DigestUpdate(context, field.data(), field.size());
}

} // namespace

std::string encode(const LedgerRecord &record)
{
    json object = {
        {"attempt", record.attempt.value()},
        {"entry", record.entry.value()},
        {"digest", record.bodyDigest},
        {"state", nameOf(record.state)},
        {"deadline_us", toNumber(record.deadline)},
        {"expiry_us", toNumber(record.expiry)},
    };
    if (record.answer) {
        object["answer"] = {
            {"status", record.answer->status},
            {"content_type", record.answer->contentType},
            {"body", toBase64Url(record.answer->body)},
        };
    }
    if (record.stated) {
        object["stated"] = {
            {"author", record.stated->author},
            {"reason", record.stated->reason},
            {"change_id", record.stated->changeId},
            {"at_us", toNumber(record.stated->at)},
            {"said", record.stated->ran ? "ran" : "not_run"},
        };
    }
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

tl::expected<LedgerRecord, LedgerRecordError> decodeLedgerRecord(const std::string &text)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return tl::unexpected(LedgerRecordError{"not a JSON object"});
    }
    MemberReader reader(object);
    LedgerRecord record;
    record.attempt = AttemptId(reader.text("attempt"));
    record.entry = HostId(reader.text("entry"));
    record.bodyDigest = reader.text("digest");
    const std::optional<LedgerState> state = findState(reader.text("state"));
    if (!state) {
        reader.note("state", "a known state");
    }
    record.deadline = toInstant(reader.number("deadline_us"));
    record.expiry = toInstant(reader.number("expiry_us"));
    if (const auto answer = object.find("answer"); answer != object.end()) {
        record.answer = readAnswer(reader, *answer);
    }
    if (const auto stated = object.find("stated"); stated != object.end()) {
        record.stated = readStatement(reader, *stated);
    }
    if (!reader.firstError().empty()) {
        return tl::unexpected(LedgerRecordError{reader.firstError()});
    }
    record.state = *state;
    return record;
}

std::string ledgerKey(const ServiceId &service, const WorkspaceId &workspace, const std::string &idempotencyKey)
{
    return ledgerPrefix + service.value() + '/' + workspace.value() + '/' + idempotencyKey;
}

std::string bodyDigest(const std::string &method, const std::string &path, const std::string &body)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    EVP_MD_CTX *context = EVP_MD_CTX_new();
    EVP_DigestInit_ex(context, EVP_sha256(), nullptr);
    addField(context, method);
    addField(context, path);
    addField(context, body);
    EVP_DigestFinal_ex(context, digest, &length);
    EVP_MD_CTX_free(context);
    return toBase64Url(std::string_view(reinterpret_cast<const char *>(digest), length));
}

std::optional<LedgerKey> parseLedgerKey(const std::string &key)
{
    const std::string prefix = ledgerPrefix;
    if (key.compare(0, prefix.size(), prefix) != 0) {
        return std::nullopt;
    }
    const std::size_t service = key.find('/', prefix.size());
    const std::size_t workspace = service == std::string::npos ? service : key.find('/', service + 1);
    if (workspace == std::string::npos) {
        return std::nullopt;
    }
    return LedgerKey{ServiceId(key.substr(prefix.size(), service - prefix.size())),
                     WorkspaceId(key.substr(service + 1, workspace - service - 1)), key.substr(workspace + 1)};
}

bool isInDoubt(const LedgerRecord &record, Instant now, Duration clockMargin)
{
    return record.state == LedgerState::Open && now > record.deadline + clockMargin;
}

bool mayDelete(const LedgerRecord &record, Instant now, Duration clockMargin)
{
    // A row in doubt must not expire: its caller could retry days later with the same key, and the call would run a
    // second time.
    //
    // Rows settled by an operator must not expire either: the outcome of the attempt was never received, and a frozen
    // attempt may still send. Only as many of these rows exist as operators have settled by hand, so they are kept
    // permanently.
    const bool isDoneOrReleased = record.state == LedgerState::Done || record.state == LedgerState::Released;
    return isDoneOrReleased && !record.stated && now > record.expiry + clockMargin;
}

} // namespace fescuesill
