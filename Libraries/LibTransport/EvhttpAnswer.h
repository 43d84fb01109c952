// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibTransport/HttpServer.h>

struct evhttp_request;

namespace Transport {

/// What libevent has of an answer, as the callers of its client take it.

HttpHeaders headers_of(evhttp_request*);

/// The answer says itself where it ends. One that ends with its connection may have been cut short: nobody can tell.
bool says_its_length(evhttp_request*);

}
