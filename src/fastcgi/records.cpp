#include "fastcgi/records.h"

#include <algorithm>

namespace rushhill::fastcgi {
namespace {

constexpr std::size_t header_size = 8;        // bytes, by the specification
constexpr std::size_t most_content = 65'528;  // bytes a record; below 65,535 and a multiple of 8
constexpr std::size_t most_control = 1024;    // bytes of a management record; far above the names it may ask
constexpr std::uint8_t version = 1;
constexpr std::uint8_t responder = 1;
constexpr std::uint8_t keep_connection = 1;  // flag of BEGIN_REQUEST

enum Type : std::uint8_t {
  begin_type = 1,
  abort_type = 2,
  end_type = 3,
  params_type = 4,
  input_type = 5,
  output_type = 6,
  errors_type = 7,
  data_type = 8,
  values_type = 9,
  values_result_type = 10,
  unknown_type_type = 11,
};

std::uint8_t byte(char c) { return static_cast<std::uint8_t>(c); }
void put_byte(std::string& out, std::size_t value) { out += static_cast<char>(value & 0xFFU); }

void put_header(std::string& out, std::uint8_t type, Number number, std::size_t size) {
  put_byte(out, version);
  put_byte(out, type);
  put_byte(out, number >> 8U);
  put_byte(out, number);
  put_byte(out, size >> 8U);
  put_byte(out, size);
  put_byte(out, 0);
  put_byte(out, 0);
}

// A stream: as many records as it needs, then the empty one that ends it.
void put_stream(std::string& out, std::uint8_t type, Number number, std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t size = std::min(bytes.size(), most_content);
    put_header(out, type, number, size);
    out += bytes.substr(0, size);
    bytes.remove_prefix(size);
  }
  put_header(out, type, number, 0);
}

std::optional<std::size_t> take_length(std::string_view& bytes) {
  if (bytes.empty()) return std::nullopt;
  const std::size_t first = byte(bytes[0]);
  if (first < 0x80U) {
    bytes.remove_prefix(1);
    return first;
  }
  if (bytes.size() < 4) return std::nullopt;
  const std::size_t length = (first & 0x7FU) << 24U | static_cast<std::size_t>(byte(bytes[1])) << 16U |
                             static_cast<std::size_t>(byte(bytes[2])) << 8U | byte(bytes[3]);
  bytes.remove_prefix(4);
  return length;
}

void put_length(std::string& out, std::size_t length) {
  if (length < 0x80U) return put_byte(out, length);
  put_byte(out, length >> 24U | 0x80U);
  put_byte(out, length >> 16U);
  put_byte(out, length >> 8U);
  put_byte(out, length);
}

}  // namespace

const std::string* Request::param(std::string_view name) const {
  const auto it = std::ranges::find(params, name, &std::pair<std::string, std::string>::first);
  return it == params.end() ? nullptr : &it->second;
}
bool Request::repeats(std::string_view name) const {
  return std::ranges::count(params, name, &std::pair<std::string, std::string>::first) > 1;
}

std::optional<std::vector<std::pair<std::string, std::string>>> read_pairs(std::string_view bytes) {
  std::vector<std::pair<std::string, std::string>> pairs;
  while (!bytes.empty()) {
    const auto name = take_length(bytes);
    const auto value = name ? take_length(bytes) : std::nullopt;
    if (!value || *name > bytes.size() || *value > bytes.size() - *name) return std::nullopt;
    pairs.emplace_back(bytes.substr(0, *name), bytes.substr(*name, *value));
    bytes.remove_prefix(*name + *value);
  }
  return pairs;
}

std::string write_pairs(const std::vector<std::pair<std::string, std::string>>& pairs) {
  std::string out;
  for (const auto& [name, value] : pairs) {
    put_length(out, name.size());
    put_length(out, value.size());
    out += name;
    out += value;
  }
  return out;
}

std::optional<Time> Reader::unfinished_since() const {
  std::optional<Time> since;
  const auto note = [&](Time one) { since = since ? std::min(*since, one) : one; };
  if (in_record_ || !header_.empty()) note(record_since_);
  for (const auto& [number, making] : making_) note(making.since);
  return since;
}

void Reader::put(std::string_view bytes, Time now) {
  while (!bytes.empty() && !over_) {
    if (!in_record_) {
      if (header_.empty()) record_since_ = now;
      const std::size_t wanted = std::min(header_size - header_.size(), bytes.size());
      header_ += bytes.substr(0, wanted);
      bytes.remove_prefix(wanted);
      if (header_.size() < header_size) return;
      record_begins(now);
      continue;
    }
    const std::size_t part = std::min(content_left_, bytes.size());
    if (part > 0) {
      content_left_ -= part;
      content(bytes.substr(0, part));
      bytes.remove_prefix(part);
    }
    const std::size_t padding = std::min(padding_left_, content_left_ == 0 ? bytes.size() : 0);
    padding_left_ -= padding;
    bytes.remove_prefix(padding);
    if (!over_ && content_left_ == 0 && padding_left_ == 0) record_ends(now);
  }
}

void Reader::record_begins(Time now) {
  if (byte(header_[0]) != version) return break_off("a record of another version");
  type_ = byte(header_[1]);
  number_ = static_cast<Number>(byte(header_[2]) << 8U | byte(header_[3]));
  content_left_ = content_size_ = static_cast<std::size_t>(byte(header_[4]) << 8U | byte(header_[5]));
  padding_left_ = byte(header_[6]);
  header_.clear();
  control_.clear();
  in_record_ = true;
  const bool of_request = type_ == begin_type || type_ == abort_type || type_ == params_type ||
                          type_ == input_type || type_ == data_type;
  if (of_request && number_ == 0) return break_off("a request's record without a number");
  if (type_ == begin_type && content_size_ != 8) return break_off("a beginning of the wrong length");
  if (type_ == values_type && content_size_ > most_control) return break_off("too many values asked for");
  if (content_left_ == 0 && padding_left_ == 0) record_ends(now);
}

void Reader::content(std::string_view part) {
  if (type_ == begin_type || type_ == values_type) {
    control_ += part;
  } else if (type_ == params_type) {
    params(part);
  } else if (type_ == input_type) {
    input(part);
  } else {
    stray(part.size());
  }
}

void Reader::record_ends(Time now) {
  in_record_ = false;
  switch (type_) {
    case begin_type:
      return begin(now);
    case abort_type: {
      if (whole_.contains(number_)) return taker_.aborted(number_, true);
      if (making_.erase(number_) > 0) taker_.aborted(number_, false);
      return;
    }
    case params_type: {
      const auto it = making_.find(number_);
      if (it == making_.end() || content_size_ > 0) return;
      if (it->second.params_over) return break_off("parameters after their end");
      it->second.params_over = true;
      return;
    }
    case input_type: {
      const auto it = making_.find(number_);
      if (it == making_.end() || content_size_ > 0) return;
      if (!it->second.params_over) return break_off("a body before the parameters' end");
      auto pairs = read_pairs(it->second.params);
      if (!pairs) return refuse(number_, Refusal::params_unreadable);
      Request request{std::move(*pairs), std::move(it->second.body), it->second.keep};
      making_.erase(it);
      whole_.insert(number_);
      stray_ = 0;
      return taker_.request(number_, std::move(request));
    }
    case data_type:
      return;
    case values_type: {
      const auto pairs = read_pairs(control_);
      if (!pairs) return break_off("values that cannot be read");
      std::vector<std::string> names;
      for (const auto& [name, value] : *pairs) names.push_back(name);
      return taker_.values_asked(names);
    }
    default:
      return taker_.type_unknown(type_);
  }
}

void Reader::begin(Time now) {
  if (making_.contains(number_) || whole_.contains(number_))
    return break_off("a second request under one number");
  const bool keep = (byte(control_[2]) & keep_connection) != 0;
  if (byte(control_[0]) != 0 || byte(control_[1]) != responder)
    return taker_.refused(number_, Refusal::unknown_role, keep);
  if (making_.size() + whole_.size() >= bounds_.open) return taker_.refused(number_, Refusal::too_many, keep);
  making_.emplace(number_, Making{.since = now, .keep = keep});
}

void Reader::params(std::string_view part) {
  const auto it = making_.find(number_);
  if (it == making_.end()) return stray(part.size());
  if (it->second.params_over) return break_off("parameters after their end");
  if (it->second.params.size() + part.size() > bounds_.params || !room_for(part.size()))
    return refuse(number_, Refusal::params_too_large);
  it->second.params += part;
}

void Reader::input(std::string_view part) {
  const auto it = making_.find(number_);
  if (it == making_.end()) return stray(part.size());
  if (!it->second.params_over) return break_off("a body before the parameters' end");
  if (it->second.body.size() + part.size() > bounds_.body || !room_for(part.size()))
    return refuse(number_, Refusal::body_too_large);
  it->second.body += part;
}

// What is sent for requests that are over is passed over, within a bound.
void Reader::stray(std::size_t bytes) {
  stray_ += bytes;
  if (stray_ > bounds_.stray) break_off("too much for requests that are over");
}

// Many half requests on one connection hold no more than a few whole ones.
bool Reader::room_for(std::size_t bytes) const {
  for (const auto& [number, making] : making_) bytes += making.params.size() + making.body.size();
  return bytes <= bounds_.making;
}

void Reader::refuse(Number number, Refusal why) {
  const bool keep = making_.at(number).keep;
  making_.erase(number);
  taker_.refused(number, why, keep);
}

void Reader::break_off(const char* why) {
  if (over_) return;
  over_ = true;
  taker_.broken(why);
}

std::string answer(Number number, std::string_view output) {
  const std::string end = end_request(number, Ended::complete, 0);
  // Of the output, with the empty one at its end.
  const std::size_t records = output.size() / most_content + 2;
  std::string out;
  out.reserve(output.size() + records * header_size + end.size());
  put_stream(out, output_type, number, output);
  out.append(end);
  return out;
}

std::string end_request(Number number, Ended how, std::uint32_t application_status) {
  std::string out;
  put_header(out, end_type, number, 8);
  for (const unsigned shift : {24U, 16U, 8U, 0U}) put_byte(out, application_status >> shift);
  put_byte(out, static_cast<std::size_t>(how));
  out.append(3, '\0');
  return out;
}

std::string values_result(const std::vector<std::pair<std::string, std::string>>& values) {
  const std::string content = write_pairs(values);
  std::string out;
  put_header(out, values_result_type, 0, content.size());
  return out + content;
}

std::string unknown_type(std::uint8_t type) {
  std::string out;
  put_header(out, unknown_type_type, 0, 8);
  put_byte(out, type);
  out.append(7, '\0');
  return out;
}

std::string write_request(Number number, const Request& request) {
  std::string out;
  put_header(out, begin_type, number, 8);
  put_byte(out, 0);
  put_byte(out, responder);
  put_byte(out, request.keep ? keep_connection : 0U);
  out.append(5, '\0');
  put_stream(out, params_type, number, write_pairs(request.params));
  put_stream(out, input_type, number, request.body);
  return out;
}

}  // namespace rushhill::fastcgi
