/// \file Merges the log lines of one job from several instances.
#include "tool_support/tool_log.h"

#include <algorithm>

namespace snipeshunt {

namespace {

/// Returns true if \p Line has the field `job` with exactly the value \p Job.
bool hasJobField(std::string_view Line, std::string_view Job) {
  std::string Field = " job=" + std::string(Job);
  size_t At = Line.find(Field);
  return At != std::string_view::npos &&
         (At + Field.size() == Line.size() || Line[At + Field.size()] == ' ');
}

} // namespace

void readJobLines(std::istream &In, std::string_view Source,
                  std::string_view Job, std::vector<JobLogLine> &Out) {
  for (std::string Line; std::getline(In, Line);)
    if (hasJobField(Line, Job))
      Out.push_back({std::move(Line), std::string(Source)});
}

std::string formatJobLines(std::vector<JobLogLine> Lines) {
  // Each line begins with its time in a format that sorts as text. The sort is
  // stable, so that lines of one log with equal times keep their order.
  constexpr size_t TimeLength = sizeof("2026-12-04T10:00:00.000") - 1;
  std::stable_sort(
      Lines.begin(), Lines.end(), [](const JobLogLine &L, const JobLogLine &R) {
        return L.Text.compare(0, TimeLength, R.Text, 0, TimeLength) < 0;
      });
  std::string Out;
  for (const JobLogLine &Line : Lines)
    Out += Line.Source + ": " + Line.Text + "\n";
  return Out;
}

} // namespace snipeshunt
