#include "events/cloudevent.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/UTF8String.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>

namespace rushhill::events {
namespace {

using Json = nlohmann::json;

// Further attributes of an event, besides id, source, type and datacontenttype. The specification defines
// about a dozen attributes in all.
constexpr std::size_t max_attributes = 64;
constexpr std::size_t max_value_size = 8 * 1024;  // bytes
constexpr std::size_t max_name_size = 256;        // bytes; the specification recommends 20 at most
constexpr std::size_t max_quoted_name = 64;       // bytes

bool is_name_char(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); }
bool is_digit(char c) { return c >= '0' && c <= '9'; }
int hex_value(char c) {
  if (is_digit(c)) return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// Checks the characters of a URI reference (RFC 3986): each one is allowed, and two hex digits follow every
// %.
bool is_uri_reference(std::string_view text) {
  constexpr std::string_view punctuation = "-._~:/?#[]@!$&'()*+,;=";
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '%') {
      if (i + 2 >= text.size() || hex_value(text[i + 1]) < 0 || hex_value(text[i + 2]) < 0) return false;
      continue;
    }
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    if (!letter && !is_digit(c) && punctuation.find(c) == std::string_view::npos) return false;
  }
  return true;
}

// Checks for an RFC 3339 time with a UTC offset or Z, such as 2018-04-05T17:31:00.25Z.
bool is_timestamp(std::string_view text) {
  constexpr std::string_view pattern = "dddd-dd-ddTdd:dd:dd";
  if (text.size() <= pattern.size()) return false;
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    const bool matches = pattern[i] == 'd'   ? is_digit(text[i])
                         : pattern[i] == 'T' ? text[i] == 'T' || text[i] == 't'
                                             : text[i] == pattern[i];
    if (!matches) return false;
  }
  const auto number = [&](std::size_t at, std::size_t count) {
    int value = 0;
    for (const char c : text.substr(at, count)) value = value * 10 + (c - '0');
    return value;
  };
  const std::chrono::year_month_day day{std::chrono::year(number(0, 4)),
                                        std::chrono::month(static_cast<unsigned>(number(5, 2))),
                                        std::chrono::day(static_cast<unsigned>(number(8, 2)))};
  if (!day.ok() || number(11, 2) > 23 || number(14, 2) > 59 || number(17, 2) > 60) return false;
  std::string_view suffix = text.substr(pattern.size());
  if (suffix.front() == '.') {
    const std::size_t end = std::min(suffix.find_first_not_of("0123456789", 1), suffix.size());
    if (end == 1) return false;
    suffix.remove_prefix(end);
  }
  if (suffix == "Z" || suffix == "z") return true;
  const bool offset = suffix.size() == 6 && (suffix[0] == '+' || suffix[0] == '-') && is_digit(suffix[1]) &&
                      is_digit(suffix[2]) && suffix[3] == ':' && is_digit(suffix[4]) && is_digit(suffix[5]);
  return offset && (suffix[1] - '0') * 10 + (suffix[2] - '0') <= 23 && suffix[4] <= '5';
}

// Validates one attribute by the rules for its name and stores it in the event; the specversion goes into
// `version`.
void set_attribute(CloudEvent& event, const std::string& name, std::string value, std::string& version) {
  const bool valid_name = !name.empty() && std::ranges::all_of(name, is_name_char);
  if (!valid_name) throw BadEvent(name, "has a name that is not made of lower-case letters and digits");
  if (name.size() > max_name_size) throw BadEvent(name, "has a name that is longer than 256 bytes");
  if (value.size() > max_value_size) throw BadEvent(name, "is longer than 8 KiB");
  if (!is_valid_text(value)) throw BadEvent(name, "is not UTF-8 text free of control characters");
  if (value.empty()) throw BadEvent(name, "is empty");
  if (name == "specversion") {
    if (value != "1.0") throw BadEvent(name, "is not 1.0");
    version = std::move(value);
  } else if (name == "id") {
    event.id = std::move(value);
  } else if (name == "source") {
    if (!is_uri_reference(value)) throw BadEvent(name, "is not a URI reference");
    event.source = std::move(value);
  } else if (name == "type") {
    event.type = std::move(value);
  } else if (name == "datacontenttype") {
    if (value.find('/') == std::string::npos) throw BadEvent(name, "is not a media type");
    event.data_content_type = std::move(value);
  } else if (name == "data") {
    throw BadEvent(name, "is a reserved name and no attribute");
  } else {
    if (name == "time" && !is_timestamp(value)) throw BadEvent(name, "is not an RFC 3339 time");
    if (name == "dataschema" && (!is_uri_reference(value) || value.find(':') == std::string::npos))
      throw BadEvent(name, "is not an absolute URI");
    if (event.others.size() >= max_attributes) throw BadEvent(name, "is one attribute too many");
    event.others[name] = std::move(value);
  }
}

void require_attributes(const CloudEvent& event, const std::string& version) {
  if (version.empty()) throw BadEvent("specversion", "is missing");
  if (event.id.empty()) throw BadEvent("id", "is missing");
  if (event.source.empty()) throw BadEvent("source", "is missing");
  if (event.type.empty()) throw BadEvent("type", "is missing");
}

bool is_json(std::string_view content_type) {
  std::string media(content_type.substr(0, content_type.find(';')));
  while (!media.empty() && media.back() == ' ') media.pop_back();
  Poco::UTF8::toLowerInPlace(media);
  return media.ends_with("/json") || media.ends_with("+json");
}

std::string decode_base64(const std::string& text) {
  const auto matches = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || is_digit(c) || c == '+' || c == '/';
  };
  std::string_view digits = text;
  while (!digits.empty() && digits.back() == '=') digits.remove_suffix(1);
  if (text.size() % 4 != 0 || text.size() - digits.size() > 2 || !std::ranges::all_of(digits, matches))
    throw BadEvent("data_base64", "is not base64");
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  return {std::istreambuf_iterator<char>(decoder), {}};
}

CloudEvent event_from_object(const Json& object) {
  if (!object.is_object()) throw BadEvent("data", "holds an event that is not a JSON object");
  CloudEvent event;
  std::string version;
  const Json* data = nullptr;
  const Json* encoded = nullptr;
  for (const auto& [name, value] : object.items()) {
    if (name == "data") {
      data = &value;
    } else if (name == "data_base64") {
      encoded = &value;
    } else if (value.is_null()) {
      continue;  // By the specification, null means that the attribute is absent.
    } else if (value.is_string()) {
      set_attribute(event, name, value.get<std::string>(), version);
    } else if (value.is_boolean()) {
      set_attribute(event, name, value.get<bool>() ? "true" : "false", version);
    } else if (value.is_number_integer()) {
      if (!(value >= -2147483648LL && value <= 2147483647LL))
        throw BadEvent(name, "is a number beyond 32 bits");
      set_attribute(event, name, value.dump(), version);
    } else {
      throw BadEvent(name, "is neither a string, a whole number nor true or false");
    }
  }
  require_attributes(event, version);
  if (data != nullptr && encoded != nullptr) throw BadEvent("data_base64", "stands beside data");
  if (encoded != nullptr) {
    if (!encoded->is_string()) throw BadEvent("data_base64", "is not a string");
    event.data = decode_base64(encoded->get<std::string>());
  } else if (data != nullptr) {
    const bool json = event.data_content_type.empty() || is_json(event.data_content_type);
    event.data = !json && data->is_string() ? data->get<std::string>() : data->dump();
    if (event.data_content_type.empty()) event.data_content_type = "application/json";
  }
  return event;
}

constexpr int max_nesting = 64;  // levels of JSON arrays and objects; bounds the stack depth of the parser

Json parse_json(std::string_view text) {
  const auto check_depth = [](int depth, Json::parse_event_t, Json&) {
    if (depth > max_nesting) throw BadEvent("data", "is nested deeper than 64 levels");
    return true;
  };
  try {
    return Json::parse(text.begin(), text.end(), check_depth);
  } catch (const Json::exception&) {
    throw BadEvent("data", "is not JSON");
  }
}

}  // namespace

std::string BadEvent::quotable(std::string_view name) {
  std::string text(name.substr(0, max_quoted_name));
  std::ranges::replace_if(
      text, [](char c) { return c < ' ' || c > '~'; }, '?');
  if (name.size() > max_quoted_name) text += "...";
  return text;
}

bool is_valid_text(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto first_byte = static_cast<unsigned char>(text[i]);
    const std::size_t length = first_byte < 0x80 ? 1 : first_byte >= 0xF0 ? 4 : first_byte >= 0xE0 ? 3 : 2;
    if ((first_byte >= 0x80 && first_byte < 0xC2) || first_byte > 0xF4 || i + length > text.size())
      return false;
    std::uint32_t code_point = length == 1 ? first_byte : first_byte & (0x7FU >> length);
    for (std::size_t k = 1; k < length; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if ((next & 0xC0U) != 0x80U) return false;
      code_point = code_point << 6U | (next & 0x3FU);
    }
    const bool control = code_point < 0x20 || (code_point >= 0x7F && code_point <= 0x9F);
    const bool overlong = (length == 3 && code_point < 0x800) || (length == 4 && code_point < 0x10000);
    const bool surrogate = code_point >= 0xD800 && code_point <= 0xDFFF;
    const bool noncharacter =
        (code_point >= 0xFDD0 && code_point <= 0xFDEF) || (code_point & 0xFFFEU) == 0xFFFEU;
    if (control || overlong || surrogate || noncharacter || code_point > 0x10FFFF) return false;
    i += length;
  }
  return true;
}

Mode mode_of(std::string_view content_type) {
  std::string media(content_type.substr(0, content_type.find(';')));
  while (!media.empty() && (media.back() == ' ' || media.back() == '\t')) media.pop_back();
  Poco::UTF8::toLowerInPlace(media);
  if (media == "application/cloudevents+json") return Mode::structured;
  if (media == "application/cloudevents-batch+json") return Mode::batched;
  return media.starts_with("application/cloudevents") ? Mode::unknown_format : Mode::binary;
}

std::string header_encoded(std::string_view value) {
  constexpr std::array digits{'0', '1', '2', '3', '4', '5', '6', '7', '8', '9', 'A', 'B', 'C', 'D', 'E', 'F'};
  std::string text;
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte > 0x20 && byte < 0x7F && c != '"' && c != '%') {
      text += c;
    } else {
      text += '%';
      text += digits[byte >> 4U];
      text += digits[byte & 15U];
    }
  }
  return text;
}

std::string decode_header_value(const std::string& attribute, std::string_view value) {
  std::string text;
  const bool quoted = value.size() >= 2 && value.front() == '"' && value.back() == '"';
  if (quoted) value = value.substr(1, value.size() - 2);
  for (std::size_t i = 0; i < value.size(); ++i) {
    if (quoted && value[i] == '\\' && i + 1 < value.size()) {
      text += value[++i];
    } else if (value[i] == '%') {
      const int high = i + 2 < value.size() ? hex_value(value[i + 1]) : -1;
      const int low = i + 2 < value.size() ? hex_value(value[i + 2]) : -1;
      if (high < 0 || low < 0) throw BadEvent(attribute, "has a % that no two hex digits follow");
      text += static_cast<char>(high * 16 + low);
      i += 2;
    } else {
      text += value[i];
    }
  }
  return text;
}

CloudEvent from_headers(const Headers& headers, std::string body) {
  CloudEvent event;
  std::string version;
  std::vector<std::string> seen;
  for (const auto& [name, value] : headers) {
    if (name == "content-type") {
      if (!value.empty()) set_attribute(event, "datacontenttype", value, version);
      continue;
    }
    if (!name.starts_with("ce-")) continue;
    const std::string attribute = name.substr(3);
    if (attribute == "datacontenttype") throw BadEvent(attribute, "belongs into Content-Type");
    if (std::ranges::find(seen, attribute) != seen.end()) throw BadEvent(attribute, "is there twice");
    seen.push_back(attribute);
    set_attribute(event, attribute, decode_header_value(attribute, value), version);
  }
  require_attributes(event, version);
  event.data = std::move(body);
  return event;
}

CloudEvent from_json(std::string_view text) { return event_from_object(parse_json(text)); }

std::vector<CloudEvent> batch_from_json(std::string_view text, std::size_t max_events) {
  const Json list = parse_json(text);
  if (!list.is_array()) throw BadEvent("data", "is not a JSON array of events");
  if (list.size() > max_events)
    throw BadEvent("data", "holds more than " + std::to_string(max_events) + " events");
  std::vector<CloudEvent> events;
  for (const Json& object : list) {
    try {
      events.push_back(event_from_object(object));
    } catch (const BadEvent& error) {
      throw BadEvent(error.attribute(),
                     std::string("of event ") + std::to_string(events.size()) + ": " + error.what());
    }
  }
  return events;
}

Headers to_headers(const CloudEvent& event) {
  Headers headers{{"ce-specversion", "1.0"},
                  {"ce-id", header_encoded(event.id)},
                  {"ce-source", header_encoded(event.source)},
                  {"ce-type", header_encoded(event.type)}};
  for (const auto& [name, value] : event.others) headers.emplace_back("ce-" + name, header_encoded(value));
  if (!event.data_content_type.empty()) headers.emplace_back("content-type", event.data_content_type);
  return headers;
}

std::string to_json(const CloudEvent& event) {
  Json object{{"specversion", "1.0"}, {"id", event.id}, {"source", event.source}, {"type", event.type}};
  for (const auto& [name, value] : event.others) object[name] = value;
  if (!event.data_content_type.empty()) object["datacontenttype"] = event.data_content_type;
  if (!event.data.empty()) {
    const Json data = is_json(event.data_content_type) ? Json::parse(event.data, nullptr, false)
                                                       : Json(Json::value_t::discarded);
    if (!data.is_discarded()) {
      object["data"] = data;
    } else {
      std::ostringstream out;
      Poco::Base64Encoder encoder(out);
      encoder.rdbuf()->setLineLength(0);
      encoder << event.data;
      encoder.close();
      object["data_base64"] = out.str();
    }
  }
  return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace rushhill::events
