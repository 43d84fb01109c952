// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/RequestTarget.h>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <memory>

namespace Transport {

static std::map<std::string, std::string> parse_query(char const* text)
{
    std::map<std::string, std::string> query;
    evkeyvalq pairs {};
    if (evhttp_parse_query_str(text, &pairs) == 0) {
        for (auto* pair = pairs.tqh_first; pair; pair = pair->next.tqe_next)
            query[pair->key] = pair->value;
    }
    evhttp_clear_headers(&pairs);
    return query;
}

RequestTarget RequestTarget::parse(std::string const& text)
{
    RequestTarget target;
    std::unique_ptr<evhttp_uri, decltype(&evhttp_uri_free)> const uri(evhttp_uri_parse_with_flags(text.c_str(), EVHTTP_URI_NONCONFORMANT), evhttp_uri_free);
    if (!uri)
        return target;
    if (char const* path = evhttp_uri_get_path(uri.get()))
        target.path = path;
    if (char const* query = evhttp_uri_get_query(uri.get()))
        target.query = parse_query(query);
    return target;
}

std::optional<std::string> RequestTarget::query_value(std::string const& key) const
{
    auto const found = query.find(key);
    if (found == query.end())
        return {};
    return found->second;
}

}
