/// \file Calls a function at the end of a scope.
#ifndef SNIPESHUNT_CORE_SCOPE_GUARD_H
#define SNIPESHUNT_CORE_SCOPE_GUARD_H

#include <utility>

namespace snipeshunt {

/// Calls its function on destruction, unless `release` was called.
template <typename F> class ScopeGuard {
public:
  explicit ScopeGuard(F Function) : Function(std::move(Function)) {}
  ScopeGuard(const ScopeGuard &) = delete;
  ScopeGuard &operator=(const ScopeGuard &) = delete;
  ~ScopeGuard() {
    if (Armed)
      Function();
  }
  void release() { Armed = false; }

private:
  F Function;
  bool Armed = true;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_SCOPE_GUARD_H
