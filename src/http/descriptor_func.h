/// \file The process's descriptor limit.
#ifndef SNIPESHUNT_HTTP_DESCRIPTOR_FUNC_H
#define SNIPESHUNT_HTTP_DESCRIPTOR_FUNC_H

#include <cstddef>

namespace snipeshunt {

/// Descriptors that all connections of this process together may have.
size_t connectionDescriptors();

/// Open descriptors of this process beyond which no caller is accepted.
size_t callerDescriptors();

} // namespace snipeshunt

#endif // SNIPESHUNT_HTTP_DESCRIPTOR_FUNC_H
