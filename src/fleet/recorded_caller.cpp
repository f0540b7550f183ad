/// \file A caller that records its requests and answers in a history file.
#include "fleet/recorded_caller.h"

#include "core/json_func.h"
#include "history/history_func.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>

namespace snipeshunt {

namespace {

// Time after which no task may be started on an upstream that is leaving.
constexpr Duration LeavingGrace = std::chrono::seconds(5);

int64_t wallMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

std::string RecordedJob::body() const {
  Json::Value V(Json::objectValue);
  V["team"] = Team;
  V["patience_ms"] = PatienceMs;
  for (const std::string &Payload : Payloads) {
    Json::Value Task(Json::objectValue);
    Task["kind"] = "soak";
    Task["payload"] = Payload;
    if (ExpectedMs > 0)
      Task["expected_ms"] = ExpectedMs;
    if (Accelerators > 0)
      Task["accelerators"] = Accelerators;
    V["tasks"].append(std::move(Task));
  }
  return writeJson(V);
}

RecordedCaller::RecordedCaller(std::string Name, const std::string &Path)
    : Name(std::move(Name)),
      File(open(Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                0644)) {}

RecordedCaller::~RecordedCaller() {
  if (File >= 0)
    close(File);
}

std::string RecordedCaller::takeTicket(const Address &Endpoint) {
  Result<std::string> Text = postText(Endpoint, "/v1/tickets?count=1", "");
  if (failed(Text))
    return "";
  Result<Json::Value> Parsed = parseJson(valueOf(Text));
  return failed(Parsed) ? "" : valueOf(Parsed)["tickets"][0].asString();
}

RecordedJob RecordedCaller::makeJob(size_t Tasks,
                                    const std::string &Directives) {
  RecordedJob Job;
  std::string Prefix = Name + "-" + std::to_string(++Jobs) + "-";
  std::string Suffix = " " + Directives;
  for (size_t I = 0; I < Tasks; ++I)
    Job.Payloads.push_back(
        std::string(Prefix).append(std::to_string(I)).append(Suffix));
  return Job;
}

void RecordedCaller::write(Json::Value Line, const std::string &Ticket,
                           const Address &Target) const {
  Line["wall_us"] = Json::Int64(wallMicroseconds());
  Line["caller"] = Name;
  Line["ticket"] = Ticket;
  Line["target"] = Target.Value;
  std::string Text = writeJson(Line) + "\n";
  // A gap in the history could hide a violation, so a failed write aborts.
  if (::write(File, Text.data(), Text.size()) !=
      static_cast<ssize_t>(Text.size()))
    abort();
}

CallerAnswer RecordedCaller::submit(const Address &Endpoint,
                                    const std::string &Ticket,
                                    const RecordedJob &Job, Duration Timeout) {
  Json::Value Line(Json::objectValue);
  Line["event"] = "submit";
  Line["payloads"] = Json::Value(Json::arrayValue);
  for (const std::string &Payload : Job.Payloads)
    Line["payloads"].append(Payload);
  write(std::move(Line), Ticket, Endpoint);
  HttpCall Call;
  Call.Target = Endpoint;
  Call.Method = "PUT";
  Call.Body = Job.body();
  Call.Timeout = Timeout;
  return request(std::move(Call), Ticket);
}

CallerAnswer RecordedCaller::sendJobRequest(const std::string &Method,
                                            const Address &Endpoint,
                                            const std::string &Ticket,
                                            Duration Timeout) {
  HttpCall Call;
  Call.Target = Endpoint;
  Call.Method = Method;
  Call.Timeout = Timeout;
  return request(std::move(Call), Ticket);
}

CallerAnswer RecordedCaller::request(HttpCall Call, const std::string &Ticket) {
  Call.Path = "/v1/jobs/" + Ticket;
  Address Target = Call.Target;
  HttpOutcome Got = callOnce(std::move(Call));
  CallerAnswer Out;
  if (auto *Failure = std::get_if<HttpFailure>(&Got)) {
    Out.NothingSent = Failure->NothingSent;
    Out.Failure = Failure->Message;
  } else {
    const HttpReply &Reply = std::get<HttpReply>(Got);
    Out.Status = Reply.Status;
    Result<Json::Value> Parsed = parseJson(Reply.Body);
    if (!failed(Parsed) && valueOf(Parsed).isObject()) {
      Out.Body = valueOf(Parsed);
      if (Out.Body["outcome"].isString())
        Out.Outcome = Out.Body["outcome"].asString();
    }
  }
  Json::Value Line(Json::objectValue);
  Line["event"] = "answer";
  Line["status"] = Out.Status;
  Line["outcome"] = Out.Outcome;
  Line["answer"] = Out.Body;
  write(std::move(Line), Ticket, Target);
  return Out;
}

Result<std::vector<GuaranteeReport>>
checkFleet(const Fleet &F, const std::vector<std::string> &CallerFiles) {
  HistoryInput Input;
  std::optional<Error> Problem;
  for (const std::string &File : F.historyFiles()) {
    std::ifstream In(File, std::ios::binary);
    if (In && !Problem)
      Problem = readUpstreamHistory(In, File, Input);
  }
  for (const std::string &File : CallerFiles) {
    std::ifstream In(File, std::ios::binary);
    if (In && !Problem)
      Problem = readCallerHistory(In, File, Input);
  }
  for (size_t I = 0; I < F.instances() && !Problem; ++I) {
    Result<std::string> Text = getText(F.directInstance(I), "/v1/timeline");
    if (failed(Text))
      continue;
    std::istringstream In(valueOf(Text));
    Problem = readTimelineHistory(In, F.instance(I).Value, Input);
  }
  if (Problem)
    return *Problem;
  if (Input.Upstreams.empty() || Input.Callers.empty())
    return Error{ErrorKind::Unavailable,
                 "the upstreams or the callers recorded no event",
                 "see the logs in " + F.workDir()};
  return checkHistories(Input, LeavingGrace);
}

} // namespace snipeshunt
