// The versions of MQTT by their protocol levels, as in CONNECT.
#pragma once

namespace rushhill::frontends {

constexpr int mqtt_3_1_1 = 4;  // knows neither properties nor a receive maximum

}  // namespace rushhill::frontends
