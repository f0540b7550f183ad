/// \file Memory of the jobs that a sender has admitted.
#include "sender/job_memory_func.h"

namespace snipeshunt {

namespace {

// Records and allocations of the containers that hold a task, its run and the
// id of its job in the key of that run.
constexpr size_t NodeOverhead = 160;
// A job above this part of the limit takes much, one in this number. At the
// smallest limit for a machine, 250 KB, it has several hundred tasks; the jobs
// of the users have up to 200.
constexpr size_t SmallJobDivisor = 64;

} // namespace

size_t jobMemory(const JobOrder &Order) {
  size_t PerTask = sizeof(SenderTask) + sizeof(SenderRun) + sizeof(RunKey) +
                   2 * Order.Id.Value.size() + NodeOverhead;
  return sizeof(SenderJob) + NodeOverhead + Order.Spec.size() +
         Order.Step.Count * PerTask;
}

bool hasJobMemory(const SenderState &State, size_t Bytes) {
  size_t Limit = State.MaxJobMemory;
  bool Small = Bytes <= Limit / SmallJobDivisor;
  return State.JobMemory + Bytes <= (Small ? Limit : Limit / 2);
}

} // namespace snipeshunt
