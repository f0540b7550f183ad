/// \file Subcommand that merges the timelines of all instances.
#include "core/json_func.h"
#include "timeline/timeline_func.h"
#include "tool/api_client.h"
#include "tool/commands.h"
#include "tool_support/tool_answer.h"

#include <algorithm>
#include <fstream>
#include <iostream>

namespace snipeshunt {

namespace {

/// Returns the JSON body of a reply with status 200, otherwise an error.
Result<Json::Value> bodyOf(const HttpOutcome &Outcome) {
  if (const auto *Failure = std::get_if<HttpFailure>(&Outcome))
    return Error{ErrorKind::Unavailable, Failure->Message,
                 "check that the instance runs"};
  const auto &Reply = *std::get_if<HttpReply>(&Outcome);
  if (Reply.Status != 200)
    return Error{ErrorKind::Unavailable,
                 "status " + std::to_string(Reply.Status),
                 "check the log of the instance"};
  return parseJson(Reply.Body);
}

/// Returns the instances given on the command line, followed by those that they
/// list.
std::vector<Address> findInstances(ApiClient &Client,
                                   const std::vector<Address> &Named) {
  std::vector<Address> All = Named;
  for (const HttpOutcome &Outcome : Client.getAll(Named, "/v1/instances")) {
    Result<Json::Value> Body = bodyOf(Outcome);
    if (failed(Body))
      continue;
    for (Address &Listed : readInstanceAddresses(valueOf(Body)))
      if (std::find(All.begin(), All.end(), Listed) == All.end())
        All.push_back(std::move(Listed));
  }
  return All;
}

/// Timelines of all instances that answered.
struct CollectedTimelines {
  std::vector<std::vector<SourcedEvent>> Timelines; ///< One per instance.
  uint64_t Dropped = 0;    ///< Events that the instances' rings overwrote.
  uint64_t Unreadable = 0; ///< Events that could not be decoded.
};

CollectedTimelines collect(ApiClient &Client,
                           const std::vector<Address> &Instances) {
  CollectedTimelines Out;
  std::vector<HttpOutcome> Outcomes = Client.getAll(Instances, "/v1/timeline");
  for (size_t I = 0; I < Instances.size(); ++I) {
    Result<Json::Value> Body = bodyOf(Outcomes[I]);
    Result<TimelineAnswer> Answer = failed(Body)
                                        ? Result<TimelineAnswer>(errorOf(Body))
                                        : decodeTimeline(valueOf(Body));
    if (failed(Answer)) {
      const Error &Problem = errorOf(Answer);
      std::cerr << formatError("no timeline from " + Instances[I].Value + ": " +
                                   Problem.Message,
                               Problem.Remedy);
      continue;
    }
    Out.Dropped += valueOf(Answer).Dropped;
    Out.Unreadable += valueOf(Answer).Unreadable;
    Out.Timelines.push_back(std::move(valueOf(Answer).Events));
  }
  return Out;
}

std::string toJson(const std::vector<SourcedEvent> &Events, uint64_t Dropped) {
  Json::Value Out(Json::objectValue);
  Json::Value &List = Out["events"] = Json::Value(Json::arrayValue);
  for (const SourcedEvent &Record : Events)
    List.append(encodeTimelineEvent(Record.Source, Record.Event));
  Out["dropped"] = Json::UInt64(Dropped);
  return writeJson(Out) + "\n";
}

ToolExit writeTrace(const std::string &File,
                    const std::vector<SourcedEvent> &Events) {
  std::string Text = exportTrace(Events);
  if (File == "-") {
    std::cout << Text;
    return ToolExit::Success;
  }
  std::ofstream Out(File, std::ios::binary);
  Out << Text;
  Out.close();
  if (!Out)
    return fail(ToolExit::Failed, "can't write '" + File + "'",
                "give a file in a writable folder");
  return ToolExit::Success;
}

} // namespace

ToolExit runTimeline(const ToolArguments &Arguments) {
  ApiClient Client(Arguments);
  CollectedTimelines Found =
      collect(Client, findInstances(Client, Arguments.Instances));
  if (Found.Timelines.empty())
    return fail(ToolExit::Unreachable, "no instance returned its timeline",
                "check that the instances run, or give others by --instance");
  if (Found.Dropped || Found.Unreadable)
    std::cerr << formatError(
        std::to_string(Found.Dropped) + " older events were dropped and " +
            std::to_string(Found.Unreadable) + " could not be read",
        "read the timeline sooner, with a tool of the "
        "instances' version");
  std::vector<SourcedEvent> Events = mergeTimelines(std::move(Found.Timelines));
  if (!Arguments.Job.empty())
    Events = selectJob(std::move(Events), Arguments.Job);
  if (!Arguments.TraceFile.empty())
    return writeTrace(Arguments.TraceFile, Events);
  std::cout << (Arguments.Json ? toJson(Events, Found.Dropped)
                               : formatTimeline(Events));
  return ToolExit::Success;
}

} // namespace snipeshunt
