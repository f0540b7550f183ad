/// \file Queries by which an instance learns whether another one has a job that
/// is open, and has it stopped.
#ifndef SNIPESHUNT_SENDER_OPEN_JOB_TYPE_H
#define SNIPESHUNT_SENDER_OPEN_JOB_TYPE_H

#include "directory/directory_type.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace snipeshunt {

/// Limit on the jobs in a query. A query for as many takes about 12 KiB.
constexpr size_t MaxQueriedOpenJobs = 256;

/// Longest id of a job in messages between instances. Jobs with longer ids are
/// never forwarded.
constexpr size_t MaxJobIdLength = 256;

/// A job that a query names.
struct QueriedJob {
  JobId Id;
  /// The caller cancels the job: it is stopped where it is open, and forwards
  /// of it that arrive later are not started.
  bool Cancel = false;
};

/// Asks an instance which jobs are open there.
struct OpenJobQuery {
  std::vector<QueriedJob> Jobs;
};

/// Answer to a query.
struct OpenJobReply {
  /// Positions in the query of the jobs that are open, or were until the query
  /// stopped them.
  std::vector<uint32_t> Open;
};

// Effects.

/// Send a query to an instance.
struct SendOpenJobQuery {
  Address Receiver;
  uint64_t Number = 0; ///< Comes back in `OpenJobQueryAnswered`.
  OpenJobQuery Query;
};

/// Answer a query.
struct AnswerOpenJobQuery {
  RequestId Request; ///< From `OpenJobQueryArrived`.
  OpenJobReply Reply;
};

// Events.

/// A query of another instance has arrived.
struct OpenJobQueryArrived {
  RequestId Request; ///< Returned in `AnswerOpenJobQuery`.
  OpenJobQuery Query;
};

/// A query was answered, failed or timed out.
struct OpenJobQueryAnswered {
  Address Receiver;
  uint64_t Number = 0;               ///< From `SendOpenJobQuery`.
  std::optional<OpenJobReply> Reply; ///< Absent without a valid answer.
  /// The TCP connection was refused: no process listens there.
  bool ConnectionRefused = false;
  /// The receiver answered with an error or with what can't be read, as
  /// instances of earlier versions do. The query is not repeated.
  bool NotUnderstood = false;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_OPEN_JOB_TYPE_H
