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

constexpr std::size_t most_attributes = 64;      // attributes; far above the specification's dozen
constexpr std::size_t longest_value = 8 * 1024;  // bytes; the head of a request holds no more either

bool name_char(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); }
bool digit(char c) { return c >= '0' && c <= '9'; }
int hex(char c) {
  if (digit(c)) return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// RFC 3986: only characters of a URI reference, and every % followed by two hex digits.
bool uri_reference(std::string_view text) {
  constexpr std::string_view marks = "-._~:/?#[]@!$&'()*+,;=";
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '%') {
      if (i + 2 >= text.size() || hex(text[i + 1]) < 0 || hex(text[i + 2]) < 0) return false;
      continue;
    }
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    if (!letter && !digit(c) && marks.find(c) == std::string_view::npos) return false;
  }
  return true;
}

// RFC 3339, 2018-04-05T17:31:00.25Z or with an offset.
bool timestamp(std::string_view text) {
  constexpr std::string_view shape = "dddd-dd-ddTdd:dd:dd";
  if (text.size() <= shape.size()) return false;
  for (std::size_t i = 0; i < shape.size(); ++i) {
    const bool fits = shape[i] == 'd'   ? digit(text[i])
                      : shape[i] == 'T' ? text[i] == 'T' || text[i] == 't'
                                        : text[i] == shape[i];
    if (!fits) return false;
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
  std::string_view rest = text.substr(shape.size());
  if (rest.front() == '.') {
    const std::size_t end = std::min(rest.find_first_not_of("0123456789", 1), rest.size());
    if (end == 1) return false;
    rest.remove_prefix(end);
  }
  if (rest == "Z" || rest == "z") return true;
  const bool offset = rest.size() == 6 && (rest[0] == '+' || rest[0] == '-') && digit(rest[1]) &&
                      digit(rest[2]) && rest[3] == ':' && digit(rest[4]) && digit(rest[5]);
  return offset && (rest[1] - '0') * 10 + (rest[2] - '0') <= 23 && rest[4] <= '5';
}

// One attribute, checked by the rules of its name, put where it belongs.
void put(CloudEvent& event, const std::string& name, std::string value, std::string& version) {
  const bool proper_name = !name.empty() && std::ranges::all_of(name, name_char);
  if (!proper_name) throw BadEvent(name, "has a name that is not made of lower-case letters and digits");
  if (value.size() > longest_value) throw BadEvent(name, "is longer than 8 KiB");
  if (!proper_text(value)) throw BadEvent(name, "is not UTF-8 text free of control characters");
  if (value.empty()) throw BadEvent(name, "is empty");
  if (name == "specversion") {
    if (value != "1.0") throw BadEvent(name, "is not 1.0");
    version = std::move(value);
  } else if (name == "id") {
    event.id = std::move(value);
  } else if (name == "source") {
    if (!uri_reference(value)) throw BadEvent(name, "is not a URI reference");
    event.source = std::move(value);
  } else if (name == "type") {
    event.type = std::move(value);
  } else if (name == "datacontenttype") {
    if (value.find('/') == std::string::npos) throw BadEvent(name, "is not a media type");
    event.data_content_type = std::move(value);
  } else if (name == "data") {
    throw BadEvent(name, "is a reserved name and no attribute");
  } else {
    if (name == "time" && !timestamp(value)) throw BadEvent(name, "is not an RFC 3339 time");
    if (name == "dataschema" && (!uri_reference(value) || value.find(':') == std::string::npos))
      throw BadEvent(name, "is not an absolute URI");
    if (event.others.size() >= most_attributes) throw BadEvent(name, "is one attribute too many");
    event.others[name] = std::move(value);
  }
}

void need_all(const CloudEvent& event, const std::string& version) {
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

std::string from_base64(const std::string& text) {
  const auto fits = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || digit(c) || c == '+' || c == '/';
  };
  std::string_view digits = text;
  while (!digits.empty() && digits.back() == '=') digits.remove_suffix(1);
  if (text.size() % 4 != 0 || text.size() - digits.size() > 2 || !std::ranges::all_of(digits, fits))
    throw BadEvent("data_base64", "is not base64");
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  return {std::istreambuf_iterator<char>(decoder), {}};
}

CloudEvent from_object(const Json& object) {
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
      continue;  // the same as not there
    } else if (value.is_string()) {
      put(event, name, value.get<std::string>(), version);
    } else if (value.is_boolean()) {
      put(event, name, value.get<bool>() ? "true" : "false", version);
    } else if (value.is_number_integer()) {
      if (!(value >= -2147483648LL && value <= 2147483647LL))
        throw BadEvent(name, "is a number beyond 32 bits");
      put(event, name, value.dump(), version);
    } else {
      throw BadEvent(name, "is neither a string, a whole number nor true or false");
    }
  }
  need_all(event, version);
  if (data != nullptr && encoded != nullptr) throw BadEvent("data_base64", "stands beside data");
  if (encoded != nullptr) {
    if (!encoded->is_string()) throw BadEvent("data_base64", "is not a string");
    event.data = from_base64(encoded->get<std::string>());
  } else if (data != nullptr) {
    const bool json = event.data_content_type.empty() || is_json(event.data_content_type);
    event.data = !json && data->is_string() ? data->get<std::string>() : data->dump();
    if (event.data_content_type.empty()) event.data_content_type = "application/json";
  }
  return event;
}

constexpr int deepest_nesting = 64;  // levels; parsing stays far from the end of the stack

Json parsed(std::string_view text) {
  const auto too_deep = [](int depth, Json::parse_event_t, Json&) {
    if (depth > deepest_nesting) throw BadEvent("data", "is nested deeper than 64 levels");
    return true;
  };
  try {
    return Json::parse(text.begin(), text.end(), too_deep);
  } catch (const Json::exception&) {
    throw BadEvent("data", "is not JSON");
  }
}

}  // namespace

bool proper_text(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto lead = static_cast<unsigned char>(text[i]);
    const std::size_t length = lead < 0x80 ? 1 : lead >= 0xF0 ? 4 : lead >= 0xE0 ? 3 : 2;
    if ((lead >= 0x80 && lead < 0xC2) || lead > 0xF4 || i + length > text.size()) return false;
    std::uint32_t point = length == 1 ? lead : lead & (0x7FU >> length);
    for (std::size_t k = 1; k < length; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if ((next & 0xC0U) != 0x80U) return false;
      point = point << 6U | (next & 0x3FU);
    }
    const bool control = point < 0x20 || (point >= 0x7F && point <= 0x9F);
    const bool overlong = (length == 3 && point < 0x800) || (length == 4 && point < 0x10000);
    const bool surrogate = point >= 0xD800 && point <= 0xDFFF;
    const bool noncharacter = (point >= 0xFDD0 && point <= 0xFDEF) || (point & 0xFFFEU) == 0xFFFEU;
    if (control || overlong || surrogate || noncharacter || point > 0x10FFFF) return false;
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

std::string header_decoded(const std::string& attribute, std::string_view value) {
  std::string text;
  const bool quoted = value.size() >= 2 && value.front() == '"' && value.back() == '"';
  if (quoted) value = value.substr(1, value.size() - 2);
  for (std::size_t i = 0; i < value.size(); ++i) {
    if (quoted && value[i] == '\\' && i + 1 < value.size()) {
      text += value[++i];
    } else if (value[i] == '%') {
      const int high = i + 2 < value.size() ? hex(value[i + 1]) : -1;
      const int low = i + 2 < value.size() ? hex(value[i + 2]) : -1;
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
      if (!value.empty()) put(event, "datacontenttype", value, version);
      continue;
    }
    if (!name.starts_with("ce-")) continue;
    const std::string attribute = name.substr(3);
    if (attribute == "datacontenttype") throw BadEvent(attribute, "belongs into Content-Type");
    if (std::ranges::find(seen, attribute) != seen.end()) throw BadEvent(attribute, "is there twice");
    seen.push_back(attribute);
    put(event, attribute, header_decoded(attribute, value), version);
  }
  need_all(event, version);
  event.data = std::move(body);
  return event;
}

CloudEvent from_json(std::string_view text) { return from_object(parsed(text)); }

std::vector<CloudEvent> batch_from_json(std::string_view text, std::size_t most) {
  const Json list = parsed(text);
  if (!list.is_array()) throw BadEvent("data", "is not a JSON array of events");
  if (list.size() > most) throw BadEvent("data", "holds more than " + std::to_string(most) + " events");
  std::vector<CloudEvent> events;
  for (const Json& object : list) {
    try {
      events.push_back(from_object(object));
    } catch (const BadEvent& bad) {
      throw BadEvent(bad.attribute(),
                     std::string("of event ") + std::to_string(events.size()) + ": " + bad.what());
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
