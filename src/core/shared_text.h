/// \file Text that its copies share.
#ifndef SNIPESHUNT_CORE_SHARED_TEXT_H
#define SNIPESHUNT_CORE_SHARED_TEXT_H

#include <memory>
#include <string>
#include <utility>

namespace snipeshunt {

/// Immutable text whose copies take no further memory.
class SharedText {
public:
  SharedText() = default;
  SharedText(std::string Text)
      : Text(std::make_shared<const std::string>(std::move(Text))) {}
  SharedText(const char *Text) : SharedText(std::string(Text)) {}

  const std::string &text() const {
    static const std::string Empty;
    return Text ? *Text : Empty;
  }
  size_t size() const { return text().size(); }

  friend bool operator==(const SharedText &L, const SharedText &R) {
    return L.text() == R.text();
  }
  friend bool operator!=(const SharedText &L, const SharedText &R) {
    return !(L == R);
  }

private:
  std::shared_ptr<const std::string> Text;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_SHARED_TEXT_H
