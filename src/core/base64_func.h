/// \file Encodes and decodes base64 with padding.
#ifndef SNIPESHUNT_CORE_BASE64_FUNC_H
#define SNIPESHUNT_CORE_BASE64_FUNC_H

#include "core/error_type.h"

#include <string>
#include <string_view>

namespace snipeshunt {

std::string encodeBase64(std::string_view Bytes);
/// Decodes \p Text; rejects white space and missing or misplaced padding.
Result<std::string> decodeBase64(std::string_view Text);

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_BASE64_FUNC_H
