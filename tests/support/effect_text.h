/// \file One line of text for each effect.
#ifndef SNIPESHUNT_TESTS_SUPPORT_EFFECT_TEXT_H
#define SNIPESHUNT_TESTS_SUPPORT_EFFECT_TEXT_H

#include "reducer/effect_type.h"

#include <string>

namespace snipeshunt {

/// Returns one line for \p E, without fields that change between runs or are
/// long.
std::string effectText(const Effect &E);

} // namespace snipeshunt

#endif // SNIPESHUNT_TESTS_SUPPORT_EFFECT_TEXT_H
