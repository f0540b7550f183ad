/// \file Encodes and decodes the pings and snapshots between instances of a
/// fleet of cells as JSON.
///
/// Each `decode` function rejects missing, unknown and out-of-range fields with
/// an error that gives the field. `cell.ping` carries a ping and returns a
/// pong, `cell.snapshot` returns a snapshot. job_codec.h has the messages about
/// jobs.
#ifndef SNIPESHUNT_RPC_CELL_CODEC_H
#define SNIPESHUNT_RPC_CELL_CODEC_H

#include "core/error_type.h"
#include "sender/sender_type.h"

#include <json/json.h>

namespace snipeshunt {

Json::Value encodePing(const PeerPing &Message);
Result<PeerPing> decodePing(const Json::Value &Value);

Json::Value encodePong(const PeerPong &Message);
Result<PeerPong> decodePong(const Json::Value &Value);

Json::Value encodeSnapshot(const SnapshotFetched &Message);
Result<SnapshotFetched> decodeSnapshot(const Json::Value &Value);

} // namespace snipeshunt

#endif // SNIPESHUNT_RPC_CELL_CODEC_H
