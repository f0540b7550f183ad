/// \file Effects as one line of text each.
#ifndef SNIPESHUNT_TESTS_SUPPORT_EFFECT_TEXT_H
#define SNIPESHUNT_TESTS_SUPPORT_EFFECT_TEXT_H

#include "reducer/effect_type.h"

#include <string>

namespace snipeshunt {

/// \p E without what changes between runs or is long.
std::string effectText(const Effect &E);

} // namespace snipeshunt

#endif // SNIPESHUNT_TESTS_SUPPORT_EFFECT_TEXT_H
