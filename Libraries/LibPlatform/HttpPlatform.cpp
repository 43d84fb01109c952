// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlatform/HttpPlatform.h>

#include <LibSchema/Json.h>

namespace Platform {

static constexpr Core::Duration call_timeout { 3000 };
static constexpr int status_ok = 200;
// A page of the log, and a list of instances, have no limit of their own.
static constexpr size_t max_answer_bytes = size_t { 32 } << 20;

HttpPlatform::HttpPlatform(Core::EventLoop& loop, std::string address, uint16_t port)
    : m_client(loop)
    , m_address(std::move(address))
    , m_port(port)
{
}

Transport::HttpCallRequest HttpPlatform::request(std::string method, std::string path) const
{
    Transport::HttpCallRequest request;
    request.address = m_address;
    request.port = m_port;
    request.method = std::move(method);
    request.path = std::move(path);
    request.timeout = call_timeout;
    request.max_body_bytes = max_answer_bytes;
    return request;
}

/// Decodes the body of an answer as a schema type; PlatformUnavailable if there is no answer or its status is not 200.
template<typename T>
static Core::ErrorOr<T> decode(tl::expected<Transport::HttpAnswer, Transport::HttpFailure> const& answer)
{
    if (!answer.has_value())
        return Core::failure(Core::ErrorCode::PlatformUnavailable, "no answer from the platform");
    if (answer->status != status_ok)
        return Core::failure(Core::ErrorCode::PlatformUnavailable, "status " + std::to_string(answer->status));
    return Schema::from_text<T>(answer->body);
}

void HttpPlatform::read_log(int64_t from, LogCallback callback)
{
    m_client.call(request("GET", "/log?from=" + std::to_string(from)), [callback](auto answer) {
        auto page = decode<Schema::LogPage>(answer);
        if (!page.has_value()) {
            callback(tl::unexpected(page.error()));
            return;
        }
        Configuration::LogBatch batch;
        batch.first_retained = page->first_retained;
        batch.end = page->end;
        auto offset = page->from;
        for (auto& body : page->bodies) {
            Schema::Record record;
            record.offset = offset++;
            record.body = std::move(body);
            batch.records.push_back(std::move(record));
        }
        callback(std::move(batch));
    });
}

void HttpPlatform::append(std::string body, AppendCallback callback)
{
    auto call = request("POST", "/log");
    call.body = std::move(body);
    m_client.call(call, [callback](auto answer) {
        auto position = decode<Schema::LogPosition>(answer);
        if (position.has_value())
            callback(position->offset);
        else
            callback(tl::unexpected(position.error()));
    });
}

void HttpPlatform::read_list(int64_t known, ListCallback callback)
{
    m_client.call(request("GET", "/instances?known=" + std::to_string(known)), [callback](auto answer) {
        callback(decode<Schema::Members>(answer));
    });
}

}
