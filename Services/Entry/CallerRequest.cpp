// SPDX-License-Identifier: BSD-2-Clause
#include "CallerRequest.h"

#include <LibCore/Hash.h>
#include <LibMembership/IdempotencyKeyOwner.h>
#include <LibSchema/Json.h>
#include <charconv>

namespace Entry {

// A prompt's leading characters that count as its prefix.
static constexpr size_t prefix_characters = 256;
static constexpr size_t prefix_hash_characters = 16;
static constexpr int64_t default_priority = 4;
static constexpr int64_t lowest_priority = 7;
static constexpr int64_t longest_deadline_ms = 3600000;
static constexpr size_t longest_customer = 128;

std::string service_of(std::string const& path)
{
    if (path.size() < 2 || path[0] != '/')
        return {};
    return path.substr(1, path.find('/', 1) - 1);
}

static std::optional<int64_t> parse_number(std::string const& text)
{
    int64_t value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return {};
    return value;
}

/// A header that must be a number between two bounds, if it is there at all.
static tl::expected<int64_t, Schema::Reason> number_header(Transport::IngressRequest const& exchange, char const* name, int64_t fallback, int64_t least, int64_t most)
{
    auto const text = exchange.header(name);
    if (!text)
        return fallback;
    auto const number = parse_number(*text);
    if (!number || *number < least || *number > most)
        return tl::unexpected(Schema::Reason::Malformed);
    return *number;
}

static std::string prefix_of(nlohmann::json const& body)
{
    std::string text;
    auto const messages = body.find("messages");
    if (messages == body.end() || !messages->is_array())
        return {};
    for (auto const& message : *messages) {
        if (message.is_object() && message.contains("content") && message["content"].is_string())
            text += message["content"].get<std::string>() + '\n';
        if (text.size() >= prefix_characters)
            break;
    }
    if (text.empty())
        return {};
    return Core::sha256(text.substr(0, prefix_characters)).substr(0, prefix_hash_characters);
}

/// What a chat completions body asks for.
static tl::expected<void, Schema::Reason> read_model(CallerRequest& request)
{
    auto const body = Schema::parse(request.dispatch.body);
    if (body.is_discarded() || !body.is_object())
        return tl::unexpected(Schema::Reason::Malformed);
    auto const model = body.find("model");
    if (model == body.end() || !model->is_string())
        return tl::unexpected(Schema::Reason::Malformed);
    auto name = model->get<std::string>();
    auto const at = name.find('@');
    if (at != std::string::npos) {
        request.needs.version = name.substr(at + 1);
        name = name.substr(0, at);
    }
    request.needs.model = name;
    request.needs.prefix = prefix_of(body);
    return {};
}

static tl::expected<void, Schema::Reason> read_repeatability(Transport::IngressRequest const& exchange, bool is_engine, Schema::Dispatch& dispatch)
{
    bool is_repeatable = is_engine || dispatch.method == "GET" || dispatch.method == "HEAD" || dispatch.method == "OPTIONS";
    if (auto const word = exchange.header("X-Repeatable")) {
        if (*word != "true" && *word != "false")
            return tl::unexpected(Schema::Reason::Malformed);
        is_repeatable = *word == "true";
    }
    if (auto const key = exchange.header("Idempotency-Key")) {
        if (!Membership::uuid_creation_time(*key))
            return tl::unexpected(Schema::Reason::KeyMalformed);
        dispatch.key = *key;
        is_repeatable = false;
    }
    dispatch.repeatability = is_repeatable ? Schema::Repeatability::Repeatable : Schema::Repeatability::Once;
    return {};
}

tl::expected<CallerRequest, Schema::Reason> read_request(Transport::IngressRequest const& exchange, std::string const& service, Schema::ServiceSpec const& spec, CallerLimits const& limits)
{
    CallerRequest request;
    request.needs.service = service;
    auto& dispatch = request.dispatch;
    dispatch.method = exchange.method();
    // The target is the service, behind one slash, and whatever follows.
    auto const& target = exchange.target();
    dispatch.path = target.size() > service.size() + 1 ? target.substr(service.size() + 1) : std::string("/");
    if (dispatch.path.front() != '/')
        dispatch.path = "/" + dispatch.path;
    dispatch.body = exchange.body();
    if (dispatch.body.size() > limits.max_body_bytes)
        return tl::unexpected(Schema::Reason::TooLarge);
    dispatch.customer = exchange.header("X-Customer").value_or("");
    if (dispatch.customer.size() > longest_customer)
        return tl::unexpected(Schema::Reason::Malformed);
    auto const deadline = number_header(exchange, "X-Deadline-Ms", limits.default_deadline.count(), 1, longest_deadline_ms);
    auto const priority = number_header(exchange, "X-Priority", default_priority, 0, lowest_priority);
    if (!deadline.has_value() || !priority.has_value())
        return tl::unexpected(Schema::Reason::Malformed);
    request.deadline = Core::Duration(*deadline);
    dispatch.priority = *priority;
    bool const is_engine = spec.kind == Schema::BackendKindEnum::Engine;
    auto const repeatability = read_repeatability(exchange, is_engine, dispatch);
    if (!repeatability.has_value())
        return tl::unexpected(repeatability.error());
    if (is_engine && dispatch.method == "POST") {
        auto const model = read_model(request);
        if (!model.has_value())
            return tl::unexpected(model.error());
    }
    for (auto const& [name, value] : exchange.head().headers) {
        Schema::Header header;
        header.name = name;
        header.value = value;
        dispatch.headers.push_back(std::move(header));
    }
    return request;
}

}
