// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/EvhttpAnswer.h>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace Transport {

HttpHeaders headers_of(evhttp_request* request)
{
    HttpHeaders headers;
    auto* fields = evhttp_request_get_input_headers(request);
    for (auto* field = fields->tqh_first; field; field = field->next.tqe_next)
        headers.emplace_back(field->key, field->value);
    return headers;
}

bool says_its_length(evhttp_request* request)
{
    auto* fields = evhttp_request_get_input_headers(request);
    return evhttp_find_header(fields, "Content-Length") || evhttp_find_header(fields, "Transfer-Encoding");
}

}
