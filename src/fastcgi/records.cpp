#include "fastcgi/records.h"

#include <algorithm>

namespace rushhill::fastcgi {
namespace {

constexpr std::size_t header_size = 8;       // bytes
constexpr std::size_t max_content = 65'528;  // bytes per record; the largest multiple of 8 below 65,535
// Bytes of a FCGI_GET_VALUES record. The names of the variables that it may ask for need far less.
constexpr std::size_t max_control = 1024;
constexpr std::uint8_t version = 1;
constexpr std::uint8_t responder_role = 1;
constexpr std::uint8_t keep_connection_flag = 1;  // FCGI_KEEP_CONN in FCGI_BEGIN_REQUEST

enum RecordType : std::uint8_t {
  begin_request_type = 1,
  abort_request_type = 2,
  end_request_type = 3,
  params_type = 4,
  stdin_type = 5,
  stdout_type = 6,
  stderr_type = 7,
  data_type = 8,
  get_values_type = 9,
  get_values_result_type = 10,
  unknown_type_type = 11,
};

std::uint8_t to_byte(char c) { return static_cast<std::uint8_t>(c); }
void append_byte(std::string& out, std::size_t value) { out += static_cast<char>(value & 0xFFU); }

void append_header(std::string& out, std::uint8_t type, Number number, std::size_t size) {
  append_byte(out, version);
  append_byte(out, type);
  append_byte(out, number >> 8U);
  append_byte(out, number);
  append_byte(out, size >> 8U);
  append_byte(out, size);
  append_byte(out, 0);
  append_byte(out, 0);
}

// Appends a stream: the bytes in as many records as needed, then the empty record that ends it.
void append_stream(std::string& out, std::uint8_t type, Number number, std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t size = std::min(bytes.size(), max_content);
    append_header(out, type, number, size);
    out += bytes.substr(0, size);
    bytes.remove_prefix(size);
  }
  append_header(out, type, number, 0);
}

std::optional<std::size_t> read_length(std::string_view& bytes) {
  if (bytes.empty()) return std::nullopt;
  const std::size_t first = to_byte(bytes[0]);
  if (first < 0x80U) {
    bytes.remove_prefix(1);
    return first;
  }
  if (bytes.size() < 4) return std::nullopt;
  const std::size_t length = (first & 0x7FU) << 24U | static_cast<std::size_t>(to_byte(bytes[1])) << 16U |
                             static_cast<std::size_t>(to_byte(bytes[2])) << 8U | to_byte(bytes[3]);
  bytes.remove_prefix(4);
  return length;
}

void append_length(std::string& out, std::size_t length) {
  if (length < 0x80U) return append_byte(out, length);
  append_byte(out, length >> 24U | 0x80U);
  append_byte(out, length >> 16U);
  append_byte(out, length >> 8U);
  append_byte(out, length);
}

}  // namespace

const std::string* Request::param(std::string_view name) const {
  const auto it = std::ranges::find(params, name, &std::pair<std::string, std::string>::first);
  return it == params.end() ? nullptr : &it->second;
}
bool Request::repeats(std::string_view name) const {
  return std::ranges::count(params, name, &std::pair<std::string, std::string>::first) > 1;
}

std::optional<std::vector<std::pair<std::string, std::string>>> read_pairs(std::string_view bytes,
                                                                           std::size_t max_pairs) {
  std::vector<std::pair<std::string, std::string>> pairs;
  while (!bytes.empty()) {
    if (pairs.size() == max_pairs) return std::nullopt;
    const auto name = read_length(bytes);
    const auto value = name ? read_length(bytes) : std::nullopt;
    if (!value || *name > bytes.size() || *value > bytes.size() - *name) return std::nullopt;
    pairs.emplace_back(bytes.substr(0, *name), bytes.substr(*name, *value));
    bytes.remove_prefix(*name + *value);
  }
  return pairs;
}

std::string write_pairs(const std::vector<std::pair<std::string, std::string>>& pairs) {
  std::string out;
  for (const auto& [name, value] : pairs) {
    append_length(out, name.size());
    append_length(out, value.size());
    out += name;
    out += value;
  }
  return out;
}

std::optional<Time> Reader::unfinished_since() const {
  std::optional<Time> since;
  const auto note = [&](Time one) { since = since ? std::min(*since, one) : one; };
  if (in_record_ || !header_.empty()) note(record_started_);
  for (const auto& [number, partial] : incomplete_) note(partial.since);
  return since;
}

void Reader::put(std::string_view bytes, Time now) {
  while (!bytes.empty() && !stopped_) {
    if (!in_record_) {
      if (header_.empty()) record_started_ = now;
      const std::size_t header_part = std::min(header_size - header_.size(), bytes.size());
      header_ += bytes.substr(0, header_part);
      bytes.remove_prefix(header_part);
      if (header_.size() < header_size) return;
      start_record(now);
      continue;
    }
    const std::size_t part = std::min(content_left_, bytes.size());
    if (part > 0) {
      content_left_ -= part;
      read_content(bytes.substr(0, part));
      bytes.remove_prefix(part);
    }
    const std::size_t padding = std::min(padding_left_, content_left_ == 0 ? bytes.size() : 0);
    padding_left_ -= padding;
    bytes.remove_prefix(padding);
    if (!stopped_ && content_left_ == 0 && padding_left_ == 0) finish_record(now);
  }
}

void Reader::start_record(Time now) {
  if (to_byte(header_[0]) != version) return stop_reading("record has an unsupported FastCGI version");
  type_ = to_byte(header_[1]);
  number_ = static_cast<Number>(to_byte(header_[2]) << 8U | to_byte(header_[3]));
  content_left_ = content_size_ = static_cast<std::size_t>(to_byte(header_[4]) << 8U | to_byte(header_[5]));
  padding_left_ = to_byte(header_[6]);
  header_.clear();
  control_content_.clear();
  in_record_ = true;
  const bool needs_number = type_ == begin_request_type || type_ == abort_request_type ||
                            type_ == params_type || type_ == stdin_type || type_ == data_type;
  if (needs_number && number_ == 0) return stop_reading("request record has request id 0");
  if (type_ == begin_request_type && content_size_ != 8)
    return stop_reading("a beginning of the wrong length");
  if (type_ == get_values_type && content_size_ > max_control)
    return stop_reading("FCGI_GET_VALUES record is longer than 1024 bytes");
  if (!is_record_expected()) note_ignored_record(now);
  if (content_left_ == 0 && padding_left_ == 0) finish_record(now);
}

bool Reader::is_record_expected() const {
  switch (type_) {
    case begin_request_type:
    case get_values_type:
      return true;
    case abort_request_type:
      return incomplete_.contains(number_) || complete_.contains(number_);
    case params_type:
    case stdin_type:
      return incomplete_.contains(number_);
    default:
      return false;
  }
}

void Reader::note_ignored_record(Time now) {
  if (!ignored_since_) ignored_since_ = now;
  ignored_until_ = now;
}

void Reader::read_content(std::string_view part) {
  if (type_ == begin_request_type || type_ == get_values_type) {
    control_content_ += part;
  } else if (type_ == params_type) {
    append_params(part);
  } else if (type_ == stdin_type) {
    append_body(part);
  }
}

void Reader::finish_record(Time now) {
  in_record_ = false;
  switch (type_) {
    case begin_request_type:
      return begin_request(now);
    case abort_request_type: {
      if (complete_.contains(number_)) return observer_.aborted(number_, true);
      if (incomplete_.erase(number_) > 0) observer_.aborted(number_, false);
      return;
    }
    case params_type: {
      const auto it = incomplete_.find(number_);
      if (it == incomplete_.end() || content_size_ > 0) return;
      if (it->second.params_ended)
        return stop_reading("FCGI_PARAMS record arrived after the end of the parameters");
      it->second.params_ended = true;
      return;
    }
    case stdin_type: {
      const auto it = incomplete_.find(number_);
      if (it == incomplete_.end() || content_size_ > 0) return;
      if (!it->second.params_ended)
        return stop_reading("FCGI_STDIN record arrived before the end of the parameters");
      auto pairs = read_pairs(it->second.params, bounds_.pairs);
      if (!pairs) return refuse_request(number_, Refusal::params_unreadable);
      Request request{std::move(*pairs), std::move(it->second.body), it->second.keep};
      request.body.shrink_to_fit();
      incomplete_.erase(it);
      complete_.insert(number_);
      return observer_.request(number_, std::move(request));
    }
    case data_type:
      return;
    case get_values_type: {
      const auto pairs = read_pairs(control_content_, bounds_.pairs);
      if (!pairs) return stop_reading("FCGI_GET_VALUES record has malformed name-value pairs");
      std::vector<std::string> names;
      for (const auto& [name, value] : *pairs) names.push_back(name);
      return observer_.values_requested(names);
    }
    default:
      return observer_.type_unknown(type_);
  }
}

void Reader::begin_request(Time now) {
  ignored_since_.reset();
  if (incomplete_.contains(number_) || complete_.contains(number_))
    return stop_reading("request id is already in use on the connection");
  const bool keep = (to_byte(control_content_[2]) & keep_connection_flag) != 0;
  if (to_byte(control_content_[0]) != 0 || to_byte(control_content_[1]) != responder_role)
    return observer_.refused(number_, Refusal::unknown_role, keep);
  if (incomplete_.size() + complete_.size() >= bounds_.open)
    return observer_.refused(number_, Refusal::too_many, keep);
  if (!observer_.may_hold(0)) return observer_.refused(number_, Refusal::no_memory, keep);
  incomplete_.emplace(number_, IncompleteRequest{.since = now, .keep = keep});
}

void Reader::append_params(std::string_view part) {
  const auto it = incomplete_.find(number_);
  if (it == incomplete_.end()) return;
  if (it->second.params_ended)
    return stop_reading("FCGI_PARAMS record arrived after the end of the parameters");
  if (it->second.params.size() + part.size() > bounds_.params)
    return refuse_request(number_, Refusal::params_too_large);
  if (!may_grow(it->second.params, part.size(), bounds_.params))
    return refuse_request(number_, Refusal::no_memory);
  it->second.params += part;
}

void Reader::append_body(std::string_view part) {
  const auto it = incomplete_.find(number_);
  if (it == incomplete_.end()) return;
  if (!it->second.params_ended)
    return stop_reading("FCGI_STDIN record arrived before the end of the parameters");
  if (it->second.body.size() + part.size() > bounds_.body)
    return refuse_request(number_, Refusal::body_too_large);
  if (!may_grow(it->second.body, part.size(), bounds_.body))
    return refuse_request(number_, Refusal::no_memory);
  it->second.body += part;
}

// Reserves room for what is left of the first record, and for the largest text with the second one, so that a
// text does not grow in steps: the memory of the smaller ones would be left in pieces.
bool Reader::may_grow(std::string& text, std::size_t bytes, std::size_t bound) {
  const bool in_first_record = text.size() + bytes + content_left_ == content_size_;
  const std::size_t needed = in_first_record ? std::min(content_size_, bound) : bound;
  if (needed <= text.capacity()) return true;
  if (!observer_.may_hold(needed - text.capacity())) return false;
  text.reserve(needed);
  return true;
}

void Reader::refuse_request(Number number, Refusal reason) {
  const bool keep = incomplete_.at(number).keep;
  incomplete_.erase(number);
  observer_.refused(number, reason, keep);
}

std::size_t Reader::held_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [number, partial] : incomplete_)
    bytes += partial.params.capacity() + partial.body.capacity();
  return bytes;
}

void Reader::stop_reading(const char* reason) {
  if (stopped_) return;
  stopped_ = true;
  observer_.broken(reason);
}

std::string answer(Number number, std::string_view output) {
  const std::string end = end_request(number, Ended::complete, 0);
  // At most this many records carry the output, including the empty one that ends the stream.
  const std::size_t records = output.size() / max_content + 2;
  std::string out;
  out.reserve(output.size() + records * header_size + end.size());
  append_stream(out, stdout_type, number, output);
  out.append(end);
  return out;
}

std::string end_request(Number number, Ended status, std::uint32_t application_status) {
  std::string out;
  append_header(out, end_request_type, number, 8);
  for (const unsigned shift : {24U, 16U, 8U, 0U}) append_byte(out, application_status >> shift);
  append_byte(out, static_cast<std::size_t>(status));
  out.append(3, '\0');
  return out;
}

std::string values_result(const std::vector<std::pair<std::string, std::string>>& values) {
  const std::string content = write_pairs(values);
  std::string out;
  append_header(out, get_values_result_type, 0, content.size());
  return out + content;
}

std::string unknown_type(std::uint8_t type) {
  std::string out;
  append_header(out, unknown_type_type, 0, 8);
  append_byte(out, type);
  out.append(7, '\0');
  return out;
}

std::string write_request(Number number, const Request& request) {
  std::string out;
  append_header(out, begin_request_type, number, 8);
  append_byte(out, 0);
  append_byte(out, responder_role);
  append_byte(out, request.keep ? keep_connection_flag : 0U);
  out.append(5, '\0');
  append_stream(out, params_type, number, write_pairs(request.params));
  append_stream(out, stdin_type, number, request.body);
  return out;
}

}  // namespace rushhill::fastcgi
