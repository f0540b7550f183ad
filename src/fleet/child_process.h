/// \file Child processes of tests and of the load tools.
#ifndef SNIPESHUNT_FLEET_CHILD_PROCESS_H
#define SNIPESHUNT_FLEET_CHILD_PROCESS_H

#include "core/clock.h"
#include "core/error_type.h"

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace snipeshunt {

/// A child process; it is killed on destruction.
class ChildProcess {
public:
  /// Starts a process. The first of \p Arguments is the path of the program.
  /// Standard output and standard error are appended to \p LogFile.
  static Result<ChildProcess> start(const std::vector<std::string> &Arguments,
                                    const std::string &LogFile);
  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&Other) noexcept;
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  ~ChildProcess();

  /// Returns the process id; -1 once the exit status has been collected.
  pid_t id() const { return Id; }
  /// Sends \p Signal, for instance SIGSTOP; does nothing if id() is -1.
  void signal(int Signal) const;
  /// Kills the process with SIGKILL and waits until it has ended.
  void kill();
  /// Waits until the process has ended and returns its exit status, or minus
  /// the number of the signal that killed it. Returns nothing on time-out and
  /// if the status has already been collected. A zero \p Timeout polls.
  std::optional<int> wait(Duration Timeout);

  /// Highest resident memory since its start, in KB; 0 if it has ended.
  size_t peakResidentKb() const;
  /// Descriptors that it has open; 0 if it has ended.
  size_t openDescriptors() const;

private:
  explicit ChildProcess(pid_t Id) : Id(Id) {}

  pid_t Id = -1; ///< -1 once the exit status has been collected.
};

/// Returns a command that runs \p Command with at most \p Limit open
/// descriptors; 0: with those of this process.
std::vector<std::string> withDescriptorLimit(std::vector<std::string> Command,
                                             size_t Limit);

} // namespace snipeshunt

#endif // SNIPESHUNT_FLEET_CHILD_PROCESS_H
