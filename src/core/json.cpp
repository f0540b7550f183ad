/// \file Parses, reads and writes JSON.
#include "core/json_func.h"

#include "core/json_list.h"

#include <algorithm>
#include <cstring>
#include <memory>
#include <sstream>

namespace snipeshunt {

namespace {

// Limits the recursion of jsoncpp's parser, so that malicious input can't
// overflow the stack.
constexpr int MaxNesting = 64;

Error fieldError(const std::string &Path, const std::string &Name,
                 const std::string &Problem, const std::string &Remedy) {
  std::string FieldPath = Path.empty() ? Name : Path + "." + Name;
  return {ErrorKind::InvalidField, "field '" + FieldPath + "' " + Problem,
          Remedy};
}

std::unique_ptr<Json::CharReader> makeReader(JsonComments Comments) {
  Json::CharReaderBuilder Builder;
  Json::CharReaderBuilder::strictMode(&Builder.settings_);
  Builder["allowComments"] = Comments == JsonComments::Accept;
  Builder["strictRoot"] = false;
  Builder["rejectDupKeys"] = true;
  Builder["failIfExtra"] = true;
  Builder["stackLimit"] = MaxNesting;
  return std::unique_ptr<Json::CharReader>(Builder.newCharReader());
}

} // namespace

Result<Json::Value> parseJson(std::string_view Text, JsonComments Comments) {
  // A reader takes longer to make than a short message takes to parse.
  thread_local const std::unique_ptr<Json::CharReader> Plain =
      makeReader(JsonComments::Reject);
  thread_local const std::unique_ptr<Json::CharReader> Commented =
      makeReader(JsonComments::Accept);
  Json::CharReader &Reader =
      Comments == JsonComments::Accept ? *Commented : *Plain;
  Json::Value Root;
  std::string Problem;
  bool Parsed = false;
  // jsoncpp throws an exception on excessive nesting.
  try {
    Parsed =
        Reader.parse(Text.data(), Text.data() + Text.size(), &Root, &Problem);
  } catch (const Json::Exception &E) {
    Problem = E.what();
  }
  // The messages of jsoncpp have several lines; the log needs one.
  std::replace(Problem.begin(), Problem.end(), '\n', ' ');
  if (!Parsed)
    return Error{ErrorKind::MalformedJson, "not valid JSON: " + Problem,
                 "send one JSON value, UTF-8, without duplicate keys"};
  return Root;
}

Result<Json::Value> parseJsonWithList(std::string_view Text,
                                      std::string_view List) {
  Result<Json::Value> Whole = parseJson(Text);
  if (!failed(Whole))
    return Whole;
  std::optional<JsonListText> Split = splitJsonList(Text, List);
  if (!Split)
    return Whole;
  Whole = parseJson(Split->Rest);
  if (failed(Whole))
    return Whole;
  Json::Value &Items = valueOf(Whole)[std::string(List)];
  for (std::string_view Item : Split->Items) {
    Result<Json::Value> Parsed = parseJson(Item);
    Items.append(failed(Parsed) ? Json::Value() : std::move(valueOf(Parsed)));
  }
  return Whole;
}

std::string writeJson(const Json::Value &Value) {
  // Making a writer and a stream takes longer than a short message.
  thread_local const std::unique_ptr<Json::StreamWriter> Writer = [] {
    Json::StreamWriterBuilder B;
    B["indentation"] = "";
    B["emitUTF8"] = true;
    return std::unique_ptr<Json::StreamWriter>(B.newStreamWriter());
  }();
  thread_local std::ostringstream Stream;
  Stream.str({});
  Stream.clear();
  Writer->write(Value, &Stream);
  return Stream.str();
}

ObjectReader::ObjectReader(const Json::Value &Object, std::string Path)
    : Object(Object), Path(std::move(Path)) {
  if (!Object.isObject())
    FirstError =
        Error{ErrorKind::InvalidField,
              (this->Path.empty() ? "the value" : "'" + this->Path + "'") +
                  " is not a JSON object",
              "send an object in braces"};
}

bool ObjectReader::has(const char *Name) const {
  return Object.isObject() && Object.isMember(Name);
}

const Json::Value *ObjectReader::find(const char *Name, bool Required) {
  KnownFields.insert(Name);
  if (FirstError)
    return nullptr;
  if (const Json::Value *Found = Object.find(Name, Name + strlen(Name)))
    return Found;
  if (Required)
    FirstError = fieldError(Path, Name, "is missing", "add it");
  return nullptr;
}

ObjectReader &ObjectReader::string(const char *Name, std::string &Out,
                                   size_t MaxLength) {
  find(Name, /*Required=*/true);
  return optionalString(Name, Out, MaxLength);
}

ObjectReader &ObjectReader::optionalString(const char *Name, std::string &Out,
                                           size_t MaxLength) {
  const Json::Value *Found = find(Name, /*Required=*/false);
  if (!Found)
    return *this;
  if (!Found->isString()) {
    fail(Name, "a string");
    return *this;
  }
  std::string Text = Found->asString();
  if (Text.size() > MaxLength) {
    fail(Name, "a string of at most " + std::to_string(MaxLength) + " bytes");
    return *this;
  }
  Out = std::move(Text);
  return *this;
}

ObjectReader &ObjectReader::integer(const char *Name, int64_t &Out, int64_t Min,
                                    int64_t Max) {
  find(Name, /*Required=*/true);
  return optionalInteger(Name, Out, Min, Max);
}

ObjectReader &ObjectReader::optionalInteger(const char *Name, int64_t &Out,
                                            int64_t Min, int64_t Max) {
  const Json::Value *Found = find(Name, /*Required=*/false);
  if (!Found)
    return *this;
  if (!Found->isInt64() || Found->asInt64() < Min || Found->asInt64() > Max) {
    fail(Name, "a whole number from " + std::to_string(Min) + " to " +
                   std::to_string(Max));
    return *this;
  }
  Out = Found->asInt64();
  return *this;
}

ObjectReader &ObjectReader::unsignedId(const char *Name, uint64_t &Out) {
  const Json::Value *Found = find(Name, /*Required=*/true);
  if (!Found)
    return *this;
  if (!Found->isUInt64()) {
    fail(Name, "a whole number from 0 to 2^64-1");
    return *this;
  }
  Out = Found->asUInt64();
  return *this;
}

ObjectReader &ObjectReader::optionalNumber(const char *Name, double &Out,
                                           double Min, double Max) {
  const Json::Value *Found = find(Name, /*Required=*/false);
  if (!Found)
    return *this;
  if (!Found->isNumeric() || Found->asDouble() < Min ||
      Found->asDouble() > Max) {
    fail(Name,
         "a number from " + std::to_string(Min) + " to " + std::to_string(Max));
    return *this;
  }
  Out = Found->asDouble();
  return *this;
}

ObjectReader &ObjectReader::boolean(const char *Name, bool &Out) {
  find(Name, /*Required=*/true);
  return optionalBoolean(Name, Out);
}

ObjectReader &ObjectReader::optionalBoolean(const char *Name, bool &Out) {
  const Json::Value *Found = find(Name, /*Required=*/false);
  if (!Found)
    return *this;
  if (!Found->isBool()) {
    fail(Name, "true or false");
    return *this;
  }
  Out = Found->asBool();
  return *this;
}

const Json::Value *ObjectReader::container(const char *Name, bool Required,
                                           Json::ValueType Type,
                                           const char *TypeName) {
  const Json::Value *Found = find(Name, Required);
  if (!Found)
    return nullptr;
  if (Found->type() != Type) {
    fail(Name, TypeName);
    return nullptr;
  }
  return Found;
}

const Json::Value *ObjectReader::array(const char *Name, size_t MaxLength) {
  find(Name, /*Required=*/true);
  return optionalArray(Name, MaxLength);
}

const Json::Value *ObjectReader::optionalArray(const char *Name,
                                               size_t MaxLength) {
  const Json::Value *Found =
      container(Name, /*Required=*/false, Json::arrayValue, "an array");
  if (Found && Found->size() > MaxLength) {
    fail(Name, "an array of at most " + std::to_string(MaxLength) + " items");
    return nullptr;
  }
  return Found;
}

const Json::Value *ObjectReader::object(const char *Name) {
  return container(Name, /*Required=*/true, Json::objectValue, "an object");
}

const Json::Value *ObjectReader::optionalObject(const char *Name) {
  return container(Name, /*Required=*/false, Json::objectValue, "an object");
}

void ObjectReader::fail(const char *Name, std::string Allowed) {
  if (!FirstError)
    FirstError = fieldError(Path, Name, "has a wrong value",
                            "give " + std::move(Allowed));
}

void ObjectReader::fail(Error E) {
  if (!FirstError)
    FirstError = std::move(E);
}

std::optional<Error> ObjectReader::finish() {
  if (FirstError)
    return FirstError;
  for (const std::string &Name : Object.getMemberNames())
    if (!KnownFields.count(Name)) {
      std::string Allowed;
      for (const std::string &K : KnownFields)
        Allowed += (Allowed.empty() ? "" : ", ") + K;
      return fieldError(Path, Name, "is not known",
                        "remove it; known fields: " + Allowed);
    }
  return std::nullopt;
}

} // namespace snipeshunt
