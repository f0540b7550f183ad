/// \file Attribution of upstreams' crashes to the tasks that ran on them.
#ifndef SNIPESHUNT_SENDER_CRASH_CMD_H
#define SNIPESHUNT_SENDER_CRASH_CMD_H

#include "instance/instance_effect.h"
#include "sender/sender_base.h"

namespace snipeshunt {

/// Number of crashes for which a task is suspected.
uint32_t crashesOf(const CrashHistory &History, const JobId &Job,
                   uint32_t Index);

/// Crashes for which the tasks of a job are suspected.
std::vector<TaskCrash> crashesOf(const CrashHistory &History, const JobId &Job);

/// Adds crashes that another instance reported. A crash that is known already
/// is not counted again; the stronger evidence holds.
void mergeCrashes(CrashHistory &History, const JobId &Job,
                  const std::vector<TaskCrash> &Crashes, SteadyTime Now);

/// How it was found that the process of an upstream has ended.
enum class CrashSign {
  Refused,      ///< Connections are refused.
  OtherProcess, ///< Another upstream answers at the address.
  NewReport,    ///< A report of a later process was received.
  NewRecord,    ///< The store lists it at another address.
};

/// Name of \p Sign, for logs.
const char *crashSignName(CrashSign Sign);

/// Records a crash for the tasks that may have caused it, and ends the jobs
/// that reach a limit by that. Called when the process of an upstream seems to
/// have ended; the runs stay until their own end is known. Runs in \p Report,
/// the first one of the next process, belong to that; null if there is none.
void recordCrash(SenderState &State, SenderUpstream &U, CrashSign Sign,
                 const UpstreamReport *Report, SteadyTime Now,
                 InstanceEffects &Out);

/// Removes the crashes that were recorded for the present process of \p U,
/// which has reported again.
void retractCrashes(SenderState &State, SenderUpstream &U);

/// Copies the known crashes to the tasks of a job. Returns true if the job is
/// to be given up: an unfinished task has reached `MaxCrashesInProgress` or
/// `MaxSuspectedCrashes`.
bool applyCrashHistory(const CrashHistory &History, SenderJob &J);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_CRASH_CMD_H
