// A small deployment with one plain service and one route, as the cases of the core need it.
#pragma once

#include "Lab.hpp"

namespace lab {

inline Json plainConfig(int Version, const std::string &Service, const std::string &Kind, int MaxAttempts) {
  return {{"version", Version},
          {"routes",
           {{{"name", "r-orders"},
             {"host", "shop.example"},
             {"path-prefix", "/orders/"},
             {"route-type", Kind},
             {"timeout-ms", 1500},
             {"target-latency-ms", 300},
             {"priority", 2},
             {"service", Service},
             {"max-attempts", MaxAttempts},
             {"public", false},
             {"sticky", false},
             {"resumable", false}}}},
          {"services",
           {{{"name", Service}, {"health-path", "/healthz"}, {"max-connections", 288}, {"protocol", "h1"}, {"tls", false}}}},
          {"limits",
           {{"max-header-bytes", 16384}, {"max-body-bytes", 4194304}, {"header-timeout-ms", 3000}, {"idle-timeout-ms", 15000}}},
          {"tenants", {{{"name", "tenant-a"}, {"api-keys", {"key-of-tenant-a"}}, {"priority", 1}}}}};
}

/// Header lines of a client's request.
inline std::string clientFields(const std::string &Host, const std::string &Id, int DeadlineMs) {
  return "Host: " + Host + "\r\nRequest-Id: " + Id + "\r\nRequest-Deadline: " + std::to_string(DeadlineMs) +
         "\r\nAuthorization: Bearer key-of-tenant-a\r\n";
}

inline std::string freshId() {
  static std::atomic<unsigned> Next{0};
  char Text[32];
  std::snprintf(Text, sizeof Text, "%08x%08x", static_cast<unsigned>(getpid()), ++Next);
  return Text;
}

} // namespace lab
