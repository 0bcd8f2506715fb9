// The platform's words for the stories of `rushhill node`: configurations, server lists, requests and
// answers.
#pragma once

#include <cstdint>
#include <string>

#include "fastcgi/records.h"

namespace rushhill::node {

// What a story's configuration says; the defaults are one router with generous limits.
struct Settings {
  std::string promise = "2500000000", cold_share = "0.5", cancel = "false", connect_timeout = "3000000000";
  std::string deadline = "2500000000", second_copies = "false";
  std::string effect = "free", sockets = "512", multiplex = "100", not_loaded = "load";
  std::string send_cap = "5";
  std::string listen = "127.0.0.1:0";
  std::string peer_listen{};  // empty: routers do not talk
  std::string peers{};        // addresses in quotes, with commas
  int me = 0, routers = 1;
};

// One entry of a server list. `started_ms`: Unix time of a late start; 0: long ago.
inline std::string host(const std::string& id, const std::string& address,
                        const std::string& health = "active", std::int64_t started_ms = 0,
                        const std::string& rating = "1") {
  return R"({"host":")" + id + R"(","dial":")" + address +
         R"(","site":"old","class":"std","block":0,"health":")" + health + R"(","share":)" + rating +
         R"(,"born_ms":)" + std::to_string(started_ms) + "}";
}

// A message of discovery, with what has changed or the whole list.
inline std::string list_message(int number, bool whole, const std::string& hosts) {
  return R"({"rev":)" + std::to_string(number) + R"(,"pool":{"seq":)" + std::to_string(number) +
         R"(,"whole":)" + (whole ? "true" : "false") + R"(,"hosts":[)" + hosts + "]}}";
}
inline std::string notice(int number, const std::string& hosts) {
  return list_message(number, false, hosts) + "\n";
}
inline std::string whole_list(int number, const std::string& hosts) {
  return list_message(number, true, hosts) + "\n";
}

inline std::string configuration(const Settings& settings, const std::string& discovery,
                                 const std::string& hosts, int number = 1) {
  const std::string number_text = std::to_string(number);
  const bool talks = !settings.peer_listen.empty();
  return R"({"name":"n)" + std::to_string(settings.me) + R"(","listen":")" + settings.listen +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":)" + settings.sockets +
         R"(},"board":")" + discovery + R"(",)" +
         (talks ? R"("peer_listen":")" + settings.peer_listen + R"(","peers":[)" + settings.peers + "],"
                : "") +
         R"("known":{"rev":)" + number_text + R"(,"notices":[)" + list_message(number, true, hosts) +
         R"(]},"settings":{"me":)" + std::to_string(settings.me) + R"(,"balancers":)" +
         std::to_string(settings.routers) + R"(,"zone":"old","quantum":4000000,
  "services":[{"name":"date-lookup","promise":)" +
         settings.promise + R"(,"deadline":)" + settings.deadline + R"(,"effect":")" + settings.effect +
         R"(","worth":1.0}],"tenants":[],
  "obligations":{"drain-grace":2000000000,"fall":1500000000,"fall-multiple":2.0,"cold":16000000000,"cold-share":)" +
         settings.cold_share + R"(},
  "permissions":{"cancel":)" +
         settings.cancel + R"(,"second-copies":)" + settings.second_copies + R"(,"send-cap":)" +
         settings.send_cap + R"(,"open-cap":20000,"peers":)" + (talks ? "true" : "false") +
         R"(,"multiplex":)" + settings.multiplex + R"(,"conn-idle":15000000000,"connect-timeout":)" +
         settings.connect_timeout + R"(},
  "family-info":{"marks-cold":true,"keep":10000000000,"answer-within":2000000000,"placement-calls":)" +
         (settings.not_loaded == "miss" ? "true" : "false") + R"(,"not-loaded":")" + settings.not_loaded +
         R"("}}})";
}

// What a request may say beside its number and id.
struct Ask {
  bool keep = true;      // the connection is wanted after the answer
  int allow_ms = 2'500;  // how long its client waits
  std::string function = "7f3a9c21e0b4d655";
  std::string body = "ask";
};
inline std::string ask(fastcgi::Number number, const std::string& id, const Ask& how = {}) {
  return fastcgi::write_request(number, {.params = {{"SCRIPT_NAME", "/ops/date-lookup"},
                                                    {"HTTP_X_JOB_ID", id},
                                                    {"HTTP_X_ALLOW_MS", std::to_string(how.allow_ms)},
                                                    {"HTTP_X_ITEM", how.function},
                                                    {"HTTP_X_FACTS", "memory_mb:512;lanes:2;load_ms:300"},
                                                    {"CONTENT_LENGTH", std::to_string(how.body.size())}},
                                         .body = how.body,
                                         .keep = how.keep});
}
// The ids of a story's requests: 16 hex digits.
inline std::string id_of(int number) {
  const std::string digits = std::to_string(number);
  return std::string(16 - digits.size(), '0') + digits;
}
inline std::string get(fastcgi::Number number, const std::string& path) {
  return fastcgi::write_request(number, {.params = {{"SCRIPT_NAME", path}}, .keep = true});
}
inline std::string abort_request(char number) {
  return std::string{'\1', '\2', '\0', number, '\0', '\0', '\0', '\0'};
}

// Answers of a server, to follow the request's id.
inline const std::string succeeded = " HIT - 2\r\nok\r\n";
inline const std::string overloaded = " SHED - 0\r\n\r\n";
inline const std::string not_loaded_answer = " NONE - 0\r\n\r\n";

inline int times_in(const std::string& text, const std::string& what) {
  int times = 0;
  for (std::size_t at = 0; (at = text.find(what, at)) != std::string::npos; ++at) ++times;
  return times;
}

}  // namespace rushhill::node
