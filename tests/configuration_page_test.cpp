/// \file Compares docs/configuration.md with the tables of the code.
#include "configuration/configuration_func.h"
#include "configuration/configuration_table.h"
#include "settings/settings_func.h"
#include "settings/settings_table.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

namespace snipeshunt {
namespace {

std::string page() {
  std::ifstream File(SOURCE_DIR "/docs/configuration.md");
  return {std::istreambuf_iterator<char>(File),
          std::istreambuf_iterator<char>()};
}

/// Cells of the first table row of the page that contains \p Part.
std::vector<std::string> rowWith(const std::string &Part) {
  std::istringstream Lines(page());
  for (std::string Line; std::getline(Lines, Line);) {
    if (Line.rfind("| ", 0) != 0 || Line.find(Part) == std::string::npos)
      continue;
    std::vector<std::string> Cells;
    for (size_t At = 2, End; (End = Line.find(" |", At)) != std::string::npos;
         At = End + 3)
      Cells.push_back(Line.substr(At, End - At));
    return Cells;
  }
  return {};
}

std::string numberText(double Value) {
  std::ostringstream Out;
  Out.precision(15);
  Out << Value;
  return Out.str();
}

std::string rangeText(double Min, double Max) {
  return numberText(Min) + " to " + numberText(Max);
}

// Guards against limits that differ from their documentation.
TEST(ConfigurationPageTest, Limits) {
  const DaemonLimits Limits;
  for (const LimitRow &Row : LimitTable) {
    int64_t Default = 0;
    if (const auto *Count = std::get_if<LimitRow::Count>(&Row.Member))
      Default = Limits.**Count;
    else if (const auto *Time = std::get_if<LimitRow::Time>(&Row.Member))
      Default = (Limits.**Time).count();
    std::vector<std::string> Cells =
        rowWith("| `" + std::string(Row.Name) + "` |");
    ASSERT_EQ(Cells.size(), 5U) << Row.Name;
    EXPECT_EQ(Cells[2], std::to_string(Default)) << Row.Name;
    EXPECT_EQ(Cells[3], rangeText(static_cast<double>(Row.Min),
                                  static_cast<double>(Row.Max)))
        << Row.Name;
  }
}

// Guards against defaults that differ from their documentation.
TEST(ConfigurationPageTest, Defaults) {
  for (const DefaultRow &Row : DefaultTable) {
    std::vector<std::string> Cells =
        rowWith("| `" + std::string(Row.Name) + "` |");
    ASSERT_EQ(Cells.size(), 5U) << Row.Name;
    EXPECT_EQ(std::stod(Cells[2]), defaultValue(PolicyDefaults(), Row))
        << Row.Name;
    EXPECT_EQ(Cells[3], rangeText(Row.Min, Row.Max)) << Row.Name;
  }
}

// Guards against settings of exceptions that differ from their documentation.
TEST(ConfigurationPageTest, Exceptions) {
  for (const SettingRow &Row : SettingTable) {
    std::string Scope;
    for (const ScopeRow &S : ScopeTable)
      if (S.Scope == Row.Scope)
        Scope = S.Name;
    std::vector<std::string> Cells =
        rowWith(" | `" + std::string(Row.Name) + "` | ");
    for (const DefaultRow &Default : DefaultTable)
      if (std::string(Default.Name) == Row.Name)
        Cells = rowWith("| team | `" + std::string(Row.Name) + "` | ");
    ASSERT_EQ(Cells.size(), 6U) << Row.Name;
    EXPECT_EQ(Cells[0], "`" + Scope + "`") << Row.Name;
    EXPECT_EQ(Cells[4], rangeText(Row.Min, Row.Max)) << Row.Name;
  }
}

// Guards against examples that would be rejected.
TEST(ConfigurationPageTest, Examples) {
  const std::string Fence = "\n```\n";
  std::string Text = page();
  std::vector<std::string> Examples;
  for (size_t Begin = Text.find(Fence); Begin != std::string::npos;) {
    Begin += Fence.size();
    size_t End = Text.find(Fence, Begin);
    ASSERT_NE(End, std::string::npos);
    Examples.push_back(Text.substr(Begin, End - Begin));
    Begin = Text.find(Fence, End + Fence.size());
  }
  ASSERT_EQ(Examples.size(), 2U);
  Result<DaemonSettings> Settings = parseSettings(Examples[0], "example");
  EXPECT_FALSE(failed(Settings));
  Result<Configuration> Document = parseConfiguration(Examples[1]);
  EXPECT_FALSE(failed(Document));
}

} // namespace
} // namespace snipeshunt
