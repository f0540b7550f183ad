/// \file JSON bodies of job submissions and of the answers to callers.
#ifndef SNIPESHUNT_JOBS_ANSWER_FUNC_H
#define SNIPESHUNT_JOBS_ANSWER_FUNC_H

#include "core/error_type.h"
#include "jobs/job_base.h"

#include <string_view>

namespace snipeshunt {

/// Parses the body of `PUT /v1/jobs/{ticket}`. Returns an error if it is not
/// valid JSON, or if a field is missing, unknown or outside \p Limits.
Result<ParsedSubmission> parseSubmission(std::string_view Body,
                                         const JobBodyLimits &Limits);

/// Returns the answer with outcome `complete`: the output of each task of \p J,
/// all of which have finished.
StoredAnswerPtr completeAnswer(const Job &J);

/// Returns the answer with outcome `failed`: \p E, and the state of each task
/// of \p J.
StoredAnswerPtr failedAnswer(const Job &J, const Error &E);

/// Returns an answer that carries only \p E: for rejected submissions, for
/// requests on jobs that are not known here, and in place of answers that are
/// no longer retained.
StoredAnswerPtr errorAnswer(Outcome Result, std::string_view TicketText,
                            const Error &E);

/// Returns the answer with outcome `running`: the number of tasks of \p J, and
/// how many of them have no result yet.
StoredAnswerPtr runningAnswer(const Job &J);

/// Returns the HTTP status of an answer with outcome \p Result. \p Kind is the
/// kind of its error and matters only for `NotRun` and `Unknown`.
int httpStatus(Outcome Result, ErrorKind Kind);

/// Returns the value of the field `outcome` in an answer.
std::string_view outcomeName(Outcome Result);

} // namespace snipeshunt

#endif // SNIPESHUNT_JOBS_ANSWER_FUNC_H
