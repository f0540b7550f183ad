/// \file Reading and printing the answers that the tool receives.
#ifndef SNIPESHUNT_TOOL_SUPPORT_TOOL_ANSWER_H
#define SNIPESHUNT_TOOL_SUPPORT_TOOL_ANSWER_H

#include "http/http_type.h"
#include "timeline/timeline_type.h"
#include "tool_support/tool_type.h"

#include <json/json.h>

#include <string>
#include <string_view>
#include <vector>

namespace snipeshunt {

/// An instance's answer about a job. Fields that the answer lacks are empty.
struct ToolAnswer {
  /// `complete`, `failed`, `not_run`, `refused`, `unknown` or `running`.
  std::string Outcome;
  std::string ErrorKind; ///< The wire name, such as `home_unreachable`.
  std::string Message;   ///< What went wrong; never empty.
  std::string Remedy;    ///< What the user can do about it.
  /// Task index and output, in the order of the indexes.
  std::vector<std::pair<int64_t, std::string>> Results;
  /// Task index and task state, in the order of the indexes.
  std::vector<std::pair<int64_t, std::string>> Tasks;
};

/// Parses a job's answer and ignores fields of the wrong type. If the body has
/// no outcome, it is derived from the HTTP status.
ToolAnswer readToolAnswer(const HttpReply &Reply);
/// Exit status of `submit` and `status` for an answer.
ToolExit exitOf(const ToolAnswer &Answer);
/// Exit status of `cancel`, for which a cancelled job is a success.
ToolExit exitOfCancel(const ToolAnswer &Answer);
/// Returns true if the same ticket should be sent again, to another instance:
/// there was no reply, or the instance could not reach the job's home.
bool shouldResubmit(const HttpOutcome &Outcome);

/// Returns the first ticket of an answer to `POST /v1/tickets`, or an empty
/// string if it has none.
std::string readTicket(const HttpReply &Reply);
/// Returns the time limit of the submission of \p JobBody when the command line
/// sets none: 5 s more than the job's `patience_ms`, at least 30 s.
Duration submissionTimeout(const Json::Value &JobBody);

/// Formats the results for standard output, one line `INDEX<TAB>OUTPUT` each.
std::string formatResults(const ToolAnswer &Answer);
/// Formats the error and the task states for standard error.
std::string formatFailure(const ToolAnswer &Answer);
/// Returns the line `snipeshunt: Message; Remedy`.
std::string formatError(std::string_view Message, std::string_view Remedy);

/// Returns the addresses in an answer to `GET /v1/instances`.
std::vector<Address> readInstanceAddresses(const Json::Value &Body);
/// Formats the answer to `GET /v1/instances` as an aligned table.
std::string formatInstances(const Json::Value &Body);
/// Formats the answer to `GET /v1/upstreams` as an aligned table.
std::string formatUpstreams(const Json::Value &Body);

/// Returns the events of one job and its tasks; the job is given by its id or
/// its ticket.
std::vector<SourcedEvent> selectJob(std::vector<SourcedEvent> Events,
                                    const std::string &JobOrTicket);
/// Formats the events, one line each with wall time, data centre and instance.
std::string formatTimeline(const std::vector<SourcedEvent> &Events);

/// Percent-encodes \p Text as one segment of a URL path.
std::string encodePathSegment(std::string_view Text);

} // namespace snipeshunt

#endif // SNIPESHUNT_TOOL_SUPPORT_TOOL_ANSWER_H
