// CloudEvents 1.0.2, independent of any transport: attributes, their validation, and the JSON and header
// encodings.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rushhill::events {

using Headers = std::vector<std::pair<std::string, std::string>>;  // names in lower case

// Thrown for an event that violates the specification. Names the attribute and describes the error for the
// sender.
class BadEvent : public std::runtime_error {
 public:
  BadEvent(std::string_view attribute, const std::string& fault)
      : std::runtime_error("attribute '" + quotable(attribute) + "' " + fault),
        attribute_(quotable(attribute)) {}
  // The attribute's name as a message may quote it: printable ASCII, and shortened.
  const std::string& attribute() const { return attribute_; }

 private:
  // An invalid name may have any length and any characters, which not every protocol can carry.
  static std::string quotable(std::string_view name);

  std::string attribute_;
};

// An event. Attribute values are kept in their canonical string form, whatever their JSON type was.
struct CloudEvent {
  std::string id{};
  std::string source{};  // a URI reference
  std::string type{};
  std::string data_content_type{};              // empty if the event has none
  std::map<std::string, std::string> others{};  // subject, time, dataschema and the extensions
  std::string data{};                           // payload bytes

  const std::string* other(const std::string& name) const {
    const auto it = others.find(name);
    return it == others.end() ? nullptr : &it->second;
  }
};

// The content modes of the CloudEvents HTTP and MQTT bindings.
enum class Mode { binary, structured, batched, unknown_format };

// Returns the content mode for a Content-Type: structured for application/cloudevents+json, batched for
// application/cloudevents-batch+json, unknown_format for any other type that starts with
// application/cloudevents, and binary for the rest.
Mode mode_of(std::string_view content_type);

// All three throw BadEvent.
CloudEvent from_headers(const Headers& headers, std::string body);
CloudEvent from_json(std::string_view text);
std::vector<CloudEvent> batch_from_json(std::string_view text, std::size_t max_events);

Headers to_headers(const CloudEvent& event);  // with content-type if the event has one
std::string to_json(const CloudEvent& event);

// Percent-encode and decode an attribute value in a header. Decoding also unquotes a quoted value.
std::string header_encoded(std::string_view value);
std::string decode_header_value(const std::string& attribute, std::string_view value);  // throws BadEvent

// Returns whether the bytes are shortest-form UTF-8 without control characters and noncharacters.
bool is_valid_text(std::string_view text);

}  // namespace rushhill::events
