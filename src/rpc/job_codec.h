/// \file Encodes and decodes the messages about jobs between instances of a
/// fleet of cells as JSON.
///
/// Each `decode` function rejects missing, unknown and out-of-range fields with
/// an error that gives the field. A job order is the body of a request to
/// `/v1/cell-jobs`, and a job result that of its reply. `cell.results` carries
/// a result query and returns a result reply, `cell.open_jobs` carries an
/// open-job query and returns an open-job reply. Earlier versions answer
/// `cell.results` and `cell.open_jobs` with an error. Unknown fields of the two
/// messages of `cell.open_jobs` are ignored, so that later versions can add
/// some.
#ifndef SNIPESHUNT_RPC_JOB_CODEC_H
#define SNIPESHUNT_RPC_JOB_CODEC_H

#include "core/error_type.h"
#include "sender/open_job_type.h"
#include "sender/sender_type.h"

#include <json/json.h>

namespace snipeshunt {

Json::Value encodeJobOrder(const JobOrder &Order);
Result<JobOrder> decodeJobOrder(const Json::Value &Value);

Json::Value encodeJobResult(const JobResult &R);
Result<JobResult> decodeJobResult(const Json::Value &Value);

Json::Value encodeResultQuery(const ResultQuery &Query);
Result<ResultQuery> decodeResultQuery(const Json::Value &Value);

Json::Value encodeResultReply(const ResultReply &Reply);
Result<ResultReply> decodeResultReply(const Json::Value &Value);

Json::Value encodeOpenJobQuery(const OpenJobQuery &Query);
Result<OpenJobQuery> decodeOpenJobQuery(const Json::Value &Value);

Json::Value encodeOpenJobReply(const OpenJobReply &Reply);
Result<OpenJobReply> decodeOpenJobReply(const Json::Value &Value);

} // namespace snipeshunt

#endif // SNIPESHUNT_RPC_JOB_CODEC_H
