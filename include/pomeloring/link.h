// The public header of pomeloring_link: HTTP to callers and upstreams, gRPC and
// UDP between instances.

#ifndef POMELORING_LINK_H_
#define POMELORING_LINK_H_

#include "link/address.h"
#include "link/caller_api.h"
#include "link/clock.h"
#include "link/codec.h"
#include "link/engine_call.h"
#include "link/http_client.h"
#include "link/http_server.h"
#include "link/io_threads.h"
#include "link/peer_link.h"
#include "link/problem.h"
#include "link/session.h"
#include "link/upstream_call.h"

#endif  // POMELORING_LINK_H_
