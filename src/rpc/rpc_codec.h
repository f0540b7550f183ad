/// \file Encodes and decodes the messages between instances of the ticket mode
/// as JSON, and the JSON-RPC envelope that both modes use.
///
/// Each `decode` function rejects missing, unknown and out-of-range fields with
/// an error that gives the field.
#ifndef SNIPESHUNT_RPC_RPC_CODEC_H
#define SNIPESHUNT_RPC_RPC_CODEC_H

#include "core/error_type.h"
#include "handover/handover_type.h"
#include "membership/member_type.h"
#include "reducer/effect_type.h"

#include <json/json.h>

#include <string>
#include <string_view>

namespace snipeshunt {

/// Returns the text of a JSON-RPC request with \p Message as its only
/// parameter. \p WantsEvacuation adds one, which earlier versions ignore; they
/// would reject an unknown field in \p Message or in the response to it.
std::string encodeRpcRequest(const std::string &Method,
                             const Json::Value &Message,
                             bool WantsEvacuation = false);
/// Returns true if the parameters of a request say that the response may
/// contain the evacuated data centres.
bool wantsEvacuation(const Json::Value &Parameters);
/// Returns the result in the text of a JSON-RPC response, or an error if the
/// peer rejected the request.
Result<Json::Value> decodeRpcResponse(std::string_view Text);

Json::Value encodeHandover(const HandoverMessage &Message);
Result<HandoverMessage> decodeHandover(const Json::Value &Value);
Json::Value encodeHandoverReply(const HandoverReply &Reply);
Result<HandoverReply> decodeHandoverReply(const Json::Value &Value);

Json::Value encodeReport(const ReportMessage &Message);
Result<ReportMessage> decodeReport(const Json::Value &Value);
Json::Value encodeReportReply(const ReplyReport &Reply);
Result<ReportAnswered> decodeReportReply(const Json::Value &Value);

Json::Value encodeRevoke(const RevokeMessage &Message);
Result<RevokeMessage> decodeRevoke(const Json::Value &Value);
Json::Value encodeRevokeReply(const RevokeReply &Reply);
Result<RevokeReply> decodeRevokeReply(const Json::Value &Value);

Json::Value encodeHeartbeat(const Heartbeat &Message);
Result<Heartbeat> decodeHeartbeat(const Json::Value &Value);

Json::Value encodeConfiguration(const ReplyConfiguration &Reply);
Result<ConfigurationReceived> decodeConfiguration(const Json::Value &Value);

/// Encodes one part of the answers that a leaving instance hands to another;
/// \p From is the incarnation that leaves.
Json::Value encodeAnswers(IncarnationId From, const SendAnswers &Part);
Result<AnswersReceived> decodeAnswers(const Json::Value &Value);

/// Returns the result of a method that could not decode its message. It is an
/// object with the field `rpc_error`, which `decodeRpcResponse` turns into an
/// error.
Json::Value encodeRpcError(const Error &E);

} // namespace snipeshunt

#endif // SNIPESHUNT_RPC_RPC_CODEC_H
