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

/// A process that this one has started; it is killed on destruction.
class ChildProcess {
public:
  /// Starts \p Arguments, the first of which is the program. Standard output
  /// and standard error are appended to \p LogFile.
  static Result<ChildProcess> start(const std::vector<std::string> &Arguments,
                                    const std::string &LogFile);
  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&Other) noexcept;
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  ~ChildProcess();

  pid_t id() const { return Id; }
  /// Sends \p Signal, for instance SIGSTOP; does nothing after the end.
  void signal(int Signal) const;
  /// Kills the process and waits for its end.
  void kill();
  /// Waits for the end and gives the exit status; none on time-out. A process
  /// that was killed by a signal gives minus the signal's number.
  std::optional<int> wait(Duration Timeout);

private:
  explicit ChildProcess(pid_t Id) : Id(Id) {}

  pid_t Id = -1; ///< -1 after the end.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_FLEET_CHILD_PROCESS_H
