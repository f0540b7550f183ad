/// \file Exit statuses of the history checker as a process.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>

#include <sys/wait.h>
#include <unistd.h>

namespace snipeshunt {
namespace {

const std::string Start =
    R"({"wall_us":1,"upstream":"u","event":"start","task":"a-1-0","kind":"k","leaving":false})"
    "\n";

int runChecker(const std::string &Arguments) {
  std::string Line =
      "timeout 30 " BINARY_DIR "/snipeshunt-check " + Arguments + " >/dev/null";
  int Code = std::system(Line.c_str()); // NOLINT(bugprone-command-processor)
  return WIFEXITED(Code) ? WEXITSTATUS(Code) : -1;
}

/// A file in the tests' temporary folder, removed at the end.
class TemporaryFile {
public:
  TemporaryFile(const std::string &Name, const std::string &Text)
      : Path(testing::TempDir() + "/snipeshunt-check-" +
             std::to_string(getpid()) + "-" + Name) {
    std::ofstream(Path) << Text;
  }
  TemporaryFile(const TemporaryFile &) = delete;
  TemporaryFile &operator=(const TemporaryFile &) = delete;
  ~TemporaryFile() { std::remove(Path.c_str()); }

  const std::string Path;
};

// Guards against status 0 for a violation or an unreadable file, and against
// skipping all but the first file of an option.
TEST(CheckProcessTest, ExitStatusTellsResult) {
  TemporaryFile Once("once", Start);
  TemporaryFile Again("again", Start);
  TemporaryFile Empty("empty", "");
  TemporaryFile Broken("broken", "{\n" + Start);
  std::string Caller = " --caller " + Empty.Path;
  EXPECT_EQ(runChecker("--upstream " + Once.Path + Caller), 0);
  EXPECT_EQ(runChecker("--upstream " + Once.Path + " " + Again.Path + Caller),
            1);
  EXPECT_EQ(runChecker("--upstream " + Broken.Path + Caller), 2);
  EXPECT_EQ(runChecker("--upstream " + Empty.Path + Caller), 2);
  EXPECT_EQ(runChecker("--upstream " + Once.Path + "x" + Caller), 2);
  EXPECT_EQ(runChecker("--upstream " + Once.Path), 2);
  EXPECT_EQ(runChecker(Once.Path + Caller), 2);
  EXPECT_EQ(runChecker("--help"), 0);
}

} // namespace
} // namespace snipeshunt
