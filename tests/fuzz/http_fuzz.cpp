// The HTTP and CloudEvents side under any bytes: request and response readers, all three modes, the intake.
// What is taken must survive both of its own forms.
#include <cstdint>
#include <cstdlib>

#include "core/request_reader.h"
#include "events/cloudevent.h"
#include "transport/http.h"
#include "transport/upstream_responses.h"

namespace {

using namespace rushhill;

void must(bool holds) {
  if (!holds) std::abort();
}

void check(const events::CloudEvent& event) {
  const events::CloudEvent back = events::from_headers(events::to_headers(event), event.data);
  must(back.id == event.id && back.source == event.source && back.type == event.type &&
       back.others == event.others);
  static const core::RequestReader intake(
      [] {
        RoutingConfiguration d;
        d.request_classes = {
            {.name = "t", .latency_objective = to_duration(10), .deadline_span = to_duration(100)}};
        return d;
      }(),
      {{"t", "t"}});
  try {
    const RoutingRequest told = intake.read(event);
    must(told.time_left > to_duration(0) && told.time_left <= to_duration(100) && told.lanes >= 1);
  } catch (const events::BadEvent&) {}
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 2) return 0;
  const std::string text(reinterpret_cast<const char*>(data) + 2, size - 2);
  const std::size_t step = data[1] + std::size_t{1};
  if (data[0] % 4 == 3) {
    transport::HttpResponseReader reader({1024, 4096});
    std::string in;
    auto progress = transport::HttpProgress::more;
    for (std::size_t at = 0; at < text.size() && progress == transport::HttpProgress::more; at += step) {
      in += text.substr(at, step);
      progress = reader.put(in);
    }
    if (progress == transport::HttpProgress::more) progress = reader.end();
    if (progress == transport::HttpProgress::done) {
      transport::HttpResponse response = reader.take();
      must(response.body.size() <= 4096);
      transport::attempt_result(std::move(response));
    }
    return 0;
  }
  try {
    if (data[0] % 4 == 1) {
      check(events::from_json(text));
    } else if (data[0] % 4 == 2) {
      for (const auto& event : events::batch_from_json(text, 10)) check(event);
    } else {
      transport::HttpRequestReader reader({1024, 4096});
      std::string in;
      for (std::size_t at = 0; at < text.size(); at += step) {
        in += text.substr(at, step);
        const auto progress = reader.put(in);
        if (progress == transport::HttpProgress::more) continue;
        if (progress != transport::HttpProgress::done) return 0;
        const transport::HttpRequest request = reader.take();
        must(request.body.size() <= 4096);
        check(events::from_headers(request.headers, request.body));
      }
    }
  } catch (const events::BadEvent&) {}
  return 0;
}
