/// \file A caller that records its requests and answers in a history file.
#ifndef SNIPESHUNT_FLEET_RECORDED_CALLER_H
#define SNIPESHUNT_FLEET_RECORDED_CALLER_H

#include "fleet/fleet.h"
#include "history/history_type.h"

#include <json/json.h>

#include <atomic>
#include <string>
#include <vector>

namespace snipeshunt {

/// Answer to one request.
struct CallerAnswer {
  int Status = 0;              ///< HTTP status; 0 without an answer.
  std::string Outcome{"none"}; ///< `outcome` of the body; `none` without one.
  Json::Value Body;            ///< Null unless the answer is a JSON object.
  bool NothingSent = false;    ///< No byte of the request was sent.
  std::string Failure;         ///< Error message if there was no answer.
};

/// A job to submit; the tasks differ only in their payloads.
struct RecordedJob {
  std::vector<std::string> Payloads; ///< One for each task.
  std::string Team{"team"};
  int PatienceMs = 60000; ///< Time limit of the job.
  int ExpectedMs = 0;     ///< Declared run time of each task; 0 declares none.
  int Accelerators = 0;   ///< Needed by each task.

  /// Returns the body of the submission.
  std::string body() const;
};

/// Sends requests and appends each request and answer to a history file, which
/// checkFleet() reads. Several threads may use one caller.
class RecordedCaller {
public:
  /// \p Name identifies the caller in the history and in its payloads; \p File
  /// is the path of the history.
  RecordedCaller(std::string Name, const std::string &File);
  RecordedCaller(const RecordedCaller &) = delete;
  RecordedCaller &operator=(const RecordedCaller &) = delete;
  ~RecordedCaller();

  /// Requests a ticket from the instance at \p Endpoint; empty on failure.
  static std::string takeTicket(const Address &Endpoint);
  /// Submits \p Job and blocks until its answer or \p Timeout.
  CallerAnswer submit(const Address &Endpoint, const std::string &Ticket,
                      const RecordedJob &Job,
                      Duration Timeout = std::chrono::seconds(90));
  /// Queries (\p Method GET) or cancels (DELETE) the job of \p Ticket.
  CallerAnswer sendJobRequest(const std::string &Method,
                              const Address &Endpoint,
                              const std::string &Ticket,
                              Duration Timeout = std::chrono::seconds(90));
  /// Returns a job of \p Tasks tasks with unique payloads. \p Directives are
  /// appended to each payload for the stand-in upstream, such as `run_ms=5`.
  RecordedJob makeJob(size_t Tasks, const std::string &Directives);

private:
  CallerAnswer request(HttpCall Call, const std::string &Ticket);
  void write(Json::Value Line, const std::string &Ticket,
             const Address &Target) const;

  std::string Name;
  int File;                      ///< Descriptor of the history.
  std::atomic<uint64_t> Jobs{0}; ///< Jobs made so far; part of the payloads.
};

/// Checks the histories of the upstreams of \p F and of the callers, and the
/// timelines of the instances that answer. An error means that a history can't
/// be read or is empty.
Result<std::vector<GuaranteeReport>>
checkFleet(const Fleet &F, const std::vector<std::string> &CallerFiles);

} // namespace snipeshunt

#endif // SNIPESHUNT_FLEET_RECORDED_CALLER_H
