/// \file Child processes of tests and of the load tools.
#include "fleet/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>
#include <utility>

extern char **environ;

namespace snipeshunt {

Result<ChildProcess>
ChildProcess::start(const std::vector<std::string> &Arguments,
                    const std::string &LogFile) {
  std::vector<char *> Raw;
  Raw.reserve(Arguments.size() + 1);
  for (const std::string &Argument : Arguments)
    Raw.push_back(const_cast<char *>(Argument.c_str()));
  Raw.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t Id = -1;
  int Problem =
      posix_spawn(&Id, Raw[0], &Actions, nullptr, Raw.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Problem != 0)
    return Error{ErrorKind::Unavailable,
                 "can't start " + Arguments[0] + ": error " +
                     std::to_string(Problem),
                 "build the programs first"};
  return ChildProcess(Id);
}

ChildProcess::ChildProcess(ChildProcess &&Other) noexcept
    : Id(std::exchange(Other.Id, -1)) {}

ChildProcess &ChildProcess::operator=(ChildProcess &&Other) noexcept {
  if (this != &Other) {
    kill();
    Id = std::exchange(Other.Id, -1);
  }
  return *this;
}

ChildProcess::~ChildProcess() { kill(); }

void ChildProcess::signal(int Signal) const {
  if (Id > 0)
    ::kill(Id, Signal);
}

void ChildProcess::kill() {
  if (Id <= 0)
    return;
  ::kill(Id, SIGKILL);
  int Status = 0;
  waitpid(Id, &Status, 0);
  Id = -1;
}

std::optional<int> ChildProcess::wait(Duration Timeout) {
  SteadyTime End = std::chrono::steady_clock::now() + Timeout;
  while (Id > 0) {
    int Status = 0;
    if (waitpid(Id, &Status, WNOHANG) == Id) {
      Id = -1;
      return WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
    }
    if (std::chrono::steady_clock::now() >= End)
      return std::nullopt;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return std::nullopt;
}

size_t ChildProcess::peakResidentKb() const {
  std::ifstream File("/proc/" + std::to_string(Id) + "/status");
  for (std::string Word; File >> Word;)
    if (size_t Kb = 0; Word == "VmHWM:" && File >> Kb)
      return Kb;
  return 0;
}

size_t ChildProcess::openDescriptors() const {
  std::error_code Problem;
  std::filesystem::directory_iterator Entries(
      "/proc/" + std::to_string(Id) + "/fd", Problem);
  return Problem ? 0
                 : static_cast<size_t>(std::distance(
                       begin(Entries), std::filesystem::directory_iterator()));
}

std::vector<std::string> withDescriptorLimit(std::vector<std::string> Command,
                                             size_t Limit) {
  if (Limit > 0)
    Command.insert(Command.begin(), {"/bin/sh", "-c",
                                     "ulimit -n " + std::to_string(Limit) +
                                         R"( && exec "$0" "$@")"});
  return Command;
}

} // namespace snipeshunt
