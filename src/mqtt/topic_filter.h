// Topics of MQTT and the filters of subscriptions.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace rushhill::mqtt {

bool filter_valid(std::string_view filter);
bool topic_valid(std::string_view topic);
// Returns whether the filter matches the topic. Appends to `levels` the part of the topic that each wildcard
// matched; the levels that # matched are one part.
bool matches(std::string_view filter, std::string_view topic, std::vector<std::string>* levels = nullptr);

}  // namespace rushhill::mqtt
