/// \file State of the questions about jobs that are not open at this instance.
#ifndef SNIPESHUNT_ENTRY_OPEN_JOB_BASE_H
#define SNIPESHUNT_ENTRY_OPEN_JOB_BASE_H

#include "sender/open_job_type.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace snipeshunt {

/// A caller's question that other instances are asked.
struct JobQuestion {
  RequestId Caller;
  QueriedJob Job;
  SteadyTime Limit{};    ///< The caller is answered by then.
  size_t Awaited = 0;    ///< Instances that have not answered.
  bool Unknown = false;  ///< An instance that may have the job can't tell.
  bool Answered = false; ///< The caller has its answer, or there is none.
};

/// Questions to one instance. One query is open at a time, so that questions
/// that come meanwhile share the next one.
struct QuestionChannel {
  std::deque<uint64_t> Waiting; ///< Keys in `OpenJobState::Questions`.
  std::vector<uint64_t> Sent;   ///< Those in the open query.
  uint64_t OpenQuery = 0;       ///< Number of the open query; 0 if none.
  SteadyTime NextQuery{};       ///< No query is sent before.
  uint32_t Failures = 0;        ///< Queries in a row that got no answer.
};

struct OpenJobState {
  uint64_t NextQuestion = 1; ///< Key of the next question.
  uint64_t NextQuery = 1;    ///< Number of the next query.
  std::unordered_map<uint64_t, JobQuestion> Questions;
  std::map<Address, QuestionChannel> Channels; ///< With questions only.
  /// Jobs cancelled here lately, oldest first. An instance that becomes a
  /// sender is told of them, since a job may have waited for it at another
  /// entry, or be submitted again.
  std::deque<std::pair<SteadyTime, JobId>> RecentCancels;
  /// Instances that `RecentCancels` were sent to, and their processes.
  std::map<Address, IncarnationId> Informed;
  uint64_t Asked = 0;      ///< Questions of callers since the start.
  uint64_t Unresolved = 0; ///< Of these, answered as unknown.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_ENTRY_OPEN_JOB_BASE_H
