/// \file Memory of the jobs that a sender has admitted.
#ifndef SNIPESHUNT_SENDER_JOB_MEMORY_FUNC_H
#define SNIPESHUNT_SENDER_JOB_MEMORY_FUNC_H

#include "sender/sender_base.h"

namespace snipeshunt {

/// Returns the memory that a job takes at its sender while all of its tasks
/// run, in bytes. The orders that start them are not included; placement limits
/// those.
size_t jobMemory(const JobOrder &Order);

/// Returns true if a job that takes \p Bytes fits beside the open ones. Jobs
/// that take much may use only half of the limit, so that a few of them don't
/// keep out the others.
bool hasJobMemory(const SenderState &State, size_t Bytes);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_JOB_MEMORY_FUNC_H
