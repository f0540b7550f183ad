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

/// What an instance said about a job; absent parts are empty.
struct ToolAnswer {
  std::string Outcome; ///< complete, failed, not_run, unknown, running.
  std::string ErrorKind;
  std::string Message;
  std::string Remedy;
  std::vector<std::pair<int64_t, std::string>> Results; ///< By index.
  std::vector<std::pair<int64_t, std::string>> Tasks;   ///< State by index.
};

/// Reads a job's answer leniently; a body that says nothing leaves the outcome
/// to the status code.
ToolAnswer readToolAnswer(const HttpReply &Reply);
ToolExit exitOf(const ToolAnswer &Answer);
/// Exit status of a cancellation, for which a cancelled job is a success.
ToolExit exitOfCancel(const ToolAnswer &Answer);
/// Whether the same ticket should be sent to another instance.
bool shouldResubmit(const HttpOutcome &Outcome);

/// First ticket of an answer to `POST /v1/tickets`; empty when there is none.
std::string readTicket(const HttpReply &Reply);
/// Longest wait for the answer to \p JobBody when no limit is given.
Duration submissionTimeout(const Json::Value &JobBody);

/// Results for standard output, one line each.
std::string formatResults(const ToolAnswer &Answer);
/// Error and task states for standard error.
std::string formatFailure(const ToolAnswer &Answer);
/// `Message; Remedy` with the program's name.
std::string formatError(std::string_view Message, std::string_view Remedy);

/// Addresses of an answer to `GET /v1/instances`.
std::vector<Address> readInstanceAddresses(const Json::Value &Body);
std::string formatInstances(const Json::Value &Body);
std::string formatUpstreams(const Json::Value &Body);

/// Keeps the events of one job, named by its id or ticket.
std::vector<SourcedEvent> selectJob(std::vector<SourcedEvent> Events,
                                    const std::string &JobOrTicket);
/// One line for each event.
std::string formatTimeline(const std::vector<SourcedEvent> &Events);

/// Percent-encodes \p Text as one segment of a path.
std::string encodePathSegment(std::string_view Text);

} // namespace snipeshunt

#endif // SNIPESHUNT_TOOL_SUPPORT_TOOL_ANSWER_H
