// CloudEvents 1.0.2 without any transport: the attributes, their rules, and the JSON and header forms.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rushhill::events {

using Headers = std::vector<std::pair<std::string, std::string>>;  // names in lower case

// What breaks the specification: names the attribute and the fault, in words for the sender.
class BadEvent : public std::runtime_error {
 public:
  BadEvent(std::string attribute, const std::string& fault)
      : std::runtime_error("attribute '" + attribute + "' " + fault), attribute_(std::move(attribute)) {}
  const std::string& attribute() const { return attribute_; }

 private:
  std::string attribute_;
};

// Attribute values are held in their canonical string form, whatever JSON type they came in.
struct CloudEvent {
  std::string id{};
  std::string source{};  // a URI reference
  std::string type{};
  std::string data_content_type{};              // empty: not told
  std::map<std::string, std::string> others{};  // subject, time, dataschema and the extensions
  std::string data{};                           // the payload's bytes

  const std::string* other(const std::string& name) const {
    const auto it = others.find(name);
    return it == others.end() ? nullptr : &it->second;
  }
};

enum class Mode { binary, structured, batched, unknown_format };

// By the content type: application/cloudevents+json, application/cloudevents-batch+json, any other format of
// CloudEvents (unknown here), or none of these.
Mode mode_of(std::string_view content_type);

CloudEvent from_headers(const Headers& headers, std::string body);  // throws BadEvent
CloudEvent from_json(std::string_view text);                        // throws BadEvent
std::vector<CloudEvent> batch_from_json(std::string_view text,
                                        std::size_t most);  // throws BadEvent
Headers to_headers(const CloudEvent& event);                // with content-type where told
std::string to_json(const CloudEvent& event);

// The percent-coding of attribute values in headers.
std::string header_encoded(std::string_view value);
std::string header_decoded(const std::string& attribute, std::string_view value);  // throws BadEvent

// Whether the bytes are UTF-8 in shortest form without control characters or noncharacters.
bool proper_text(std::string_view text);

}  // namespace rushhill::events
