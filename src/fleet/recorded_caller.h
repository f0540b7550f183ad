/// \file A caller of a fleet whose requests and answers go into a history.
#ifndef SNIPESHUNT_FLEET_RECORDED_CALLER_H
#define SNIPESHUNT_FLEET_RECORDED_CALLER_H

#include "fleet/fleet.h"
#include "history/history_type.h"

#include <json/json.h>

#include <atomic>
#include <string>
#include <vector>

namespace snipeshunt {

/// What a caller got for one request.
struct CallerAnswer {
  int Status = 0;              ///< 0 when no answer came.
  std::string Outcome{"none"}; ///< `none` without an answer.
  Json::Value Body;            ///< Null unless the answer was JSON.
  bool NothingSent = false;    ///< The request can't have left.
  std::string Failure;         ///< Why no answer came.
};

/// A job to submit; the tasks differ only in their payloads.
struct RecordedJob {
  std::vector<std::string> Payloads;
  std::string Team{"team"};
  int PatienceMs = 60000;
  int ExpectedMs = 0;   ///< Not sent when 0.
  int Accelerators = 0; ///< Needed by each task.

  std::string body() const;
};

/// Sends requests one after another and writes the history of the design
/// page. Several threads may use one caller.
class RecordedCaller {
public:
  /// Appends to \p File.
  RecordedCaller(std::string Name, const std::string &File);
  RecordedCaller(const RecordedCaller &) = delete;
  RecordedCaller &operator=(const RecordedCaller &) = delete;
  ~RecordedCaller();

  /// Empty when none was given.
  static std::string takeTicket(const Address &Endpoint);
  CallerAnswer submit(const Address &Endpoint, const std::string &Ticket,
                      const RecordedJob &Job,
                      Duration Timeout = std::chrono::seconds(90));
  /// \p Method is GET or DELETE.
  CallerAnswer sendJobRequest(const std::string &Method,
                              const Address &Endpoint,
                              const std::string &Ticket,
                              Duration Timeout = std::chrono::seconds(90));
  /// Payloads that no other job has; \p Directives are for the stand-in.
  RecordedJob makeJob(size_t Tasks, const std::string &Directives);

private:
  CallerAnswer request(HttpCall Call, const std::string &Ticket);
  void write(Json::Value Line, const std::string &Ticket,
             const Address &Target) const;

  std::string Name;
  int File;
  std::atomic<uint64_t> Jobs{0};
};

/// Reads the histories of \p F, of the callers and the timelines of the
/// instances that answer, and checks them.
Result<std::vector<GuaranteeReport>>
checkFleet(const Fleet &F, const std::vector<std::string> &CallerFiles);

} // namespace snipeshunt

#endif // SNIPESHUNT_FLEET_RECORDED_CALLER_H
