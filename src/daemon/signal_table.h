/// \file One signal per alternative of a variant.
#ifndef SNIPESHUNT_DAEMON_SIGNAL_TABLE_H
#define SNIPESHUNT_DAEMON_SIGNAL_TABLE_H

#include <sigc++/sigc++.h>

#include <tuple>
#include <variant>

namespace snipeshunt {

template <typename Variant> class SignalTable;

/// Has one signal for each alternative of a variant, so that each gateway
/// connects only to the effects that it carries out.
template <typename... Ts> class SignalTable<std::variant<Ts...>> {
public:
  /// Signal of the alternative \p T.
  template <typename T> sigc::signal<void(const T &)> &on() {
    return std::get<sigc::signal<void(const T &)>>(Signals);
  }
  /// Emits \p Value on the signal of its alternative.
  void emit(const std::variant<Ts...> &Value) {
    std::visit(
        [this](const auto &V) { on<std::decay_t<decltype(V)>>().emit(V); },
        Value);
  }

private:
  std::tuple<sigc::signal<void(const Ts &)>...> Signals;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_SIGNAL_TABLE_H
