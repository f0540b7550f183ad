/// \file JSON bodies of the read-only requests to an instance.
#ifndef SNIPESHUNT_DAEMON_VIEW_FUNC_H
#define SNIPESHUNT_DAEMON_VIEW_FUNC_H

#include "http/http_client.h"
#include "reducer/state_base.h"
#include "timeline/timeline_func.h"

#include <json/json.h>

namespace snipeshunt {

/// Body of `GET /v1/instances`: this instance first, then its peers.
Json::Value instancesView(const InstanceState &State, SteadyTime Now);
/// Body of `GET /v1/upstreams`.
Json::Value upstreamsView(const InstanceState &State);
/// Body of `GET /v1/configuration`: the document in force and the last one
/// rejected.
Json::Value configurationView(const InstanceState &State, SteadyTime Now);

/// Options of a client with up to \p MaxConnections per target. Connections
/// originate from the IP that this instance listens on, unless that is 0.0.0.0.
HttpClientOptions clientOptions(const DaemonSettings &Settings,
                                size_t MaxConnections);

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_VIEW_FUNC_H
