#include "mqtt/topic_filter.h"

#include <algorithm>

namespace rushhill::mqtt {

bool topic_valid(std::string_view topic) {
  return !topic.empty() && topic.find_first_of("+#") == std::string_view::npos;
}

bool filter_valid(std::string_view filter) {
  if (filter.empty()) return false;
  for (std::size_t start = 0; start <= filter.size();) {
    const std::size_t end = std::min(filter.find('/', start), filter.size());
    const std::string_view level = filter.substr(start, end - start);
    const bool has_wildcard = level.find_first_of("+#") != std::string_view::npos;
    if (has_wildcard && level.size() != 1) return false;
    if (level == "#" && end != filter.size()) return false;
    start = end + 1;
  }
  return true;
}

bool matches(std::string_view filter, std::string_view topic, std::vector<std::string>* levels) {
  // Topics that begin with $ are the broker's own; a filter that begins with a wildcard does not match them.
  if (topic.starts_with('$') && !filter.empty() && (filter[0] == '+' || filter[0] == '#')) return false;
  for (;;) {
    const std::string_view filter_level = filter.substr(0, filter.find('/'));
    if (filter_level == "#") {
      if (levels != nullptr) levels->emplace_back(topic);
      return true;
    }
    const std::string_view topic_level = topic.substr(0, topic.find('/'));
    if (filter_level != "+" && filter_level != topic_level) return false;
    if (filter_level == "+" && levels != nullptr) levels->emplace_back(topic_level);
    const bool more_filter = filter_level.size() < filter.size(),
               more_topic = topic_level.size() < topic.size();
    filter.remove_prefix(std::min(filter_level.size() + 1, filter.size()));
    topic.remove_prefix(std::min(topic_level.size() + 1, topic.size()));
    if (more_filter && !more_topic) return filter == "#";  // The filter a/# also matches the topic a.
    if (!more_filter) return !more_topic;
  }
}

}  // namespace rushhill::mqtt
