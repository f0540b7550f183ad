/// \file Attribution of upstreams' crashes to the tasks that ran on them.
#ifndef SNIPESHUNT_SENDER_CRASH_CMD_H
#define SNIPESHUNT_SENDER_CRASH_CMD_H

#include "instance/instance_effect.h"
#include "sender/sender_base.h"

namespace snipeshunt {

/// Crashes under a task; 0 if none is known.
uint32_t crashesOf(const CrashHistory &History, const JobId &Job,
                   uint32_t Index);

/// Known crashes under the tasks of a job.
std::vector<CrashedTask> crashedTasks(const CrashHistory &History,
                                      const JobId &Job);

/// Applies another instance's counts. The higher one of a task holds, since
/// both may contain the same crash.
void mergeCrashes(CrashHistory &History, const JobId &Job,
                  const std::vector<CrashedTask> &Crashes, SteadyTime Now);

/// How it was found that the process of an upstream has ended.
enum class CrashSign {
  Refused,      ///< Connections are refused.
  OtherProcess, ///< Another upstream answers at the address.
  NewReport,    ///< A report of a later process was received.
  NewRecord,    ///< The store lists a later process.
};

/// Name of \p Sign, for logs.
const char *crashSignName(CrashSign Sign);

/// Counts a crash against the tasks that may have caused it, and ends the jobs
/// whose tasks are proved to. Called when it is known that the process of an
/// upstream has ended; the runs stay until their own end is known.
void recordCrash(SenderState &State, SenderUpstream &U, CrashSign Sign,
                 SteadyTime Now, InstanceEffects &Out);

/// Copies the known crashes to the tasks of a job. Returns true if one of them
/// has reached `MaxCrashes`.
bool applyCrashHistory(const CrashHistory &History, SenderJob &J);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_CRASH_CMD_H
