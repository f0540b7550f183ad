/// \file JSON forms of the messages between instances.
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

/// Text of a JSON-RPC request.
std::string encodeRpcRequest(const std::string &Method,
                             const Json::Value &Message);
/// The result in the text of a JSON-RPC response.
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

Json::Value encodeAnswers(IncarnationId From, const SendAnswers &Part);
Result<AnswersReceived> decodeAnswers(const Json::Value &Value);

/// Result of a method whose message could not be read.
Json::Value encodeRpcError(const Error &E);

} // namespace snipeshunt

#endif // SNIPESHUNT_RPC_RPC_CODEC_H
