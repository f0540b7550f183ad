/// \file Bodies of submissions and answers.
#ifndef SNIPESHUNT_JOBS_ANSWER_FUNC_H
#define SNIPESHUNT_JOBS_ANSWER_FUNC_H

#include "core/error_type.h"
#include "jobs/job_base.h"

#include <string_view>

namespace snipeshunt {

/// Reads and checks the body of a submission.
Result<ParsedSubmission> parseSubmission(std::string_view Body,
                                         const JobBodyLimits &Limits);

/// The whole answer of \p J, whose tasks have all finished.
StoredAnswerPtr completeAnswer(const Job &J);

/// The failure of \p J with the state of each task.
StoredAnswerPtr failedAnswer(const Job &J, const Error &E);

/// An answer without a job: refusals and unknown outcomes.
StoredAnswerPtr errorAnswer(Outcome Result, std::string_view TicketText,
                            const Error &E);

/// Progress of a running job.
StoredAnswerPtr runningAnswer(const Job &J);

/// HTTP status for an answer of \p Result caused by \p Kind.
int httpStatus(Outcome Result, ErrorKind Kind);

std::string_view outcomeName(Outcome Result);

} // namespace snipeshunt

#endif // SNIPESHUNT_JOBS_ANSWER_FUNC_H
