#include "wire/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

#include "base/limits.h"

bool
wi_address_parse (struct zp_str text, struct sockaddr_storage *out,
                  socklen_t *len, struct zp_err *err)
{
  char ip[ZP_ADDRESS_MAX];
  uint64_t port;
  size_t colon = text.len;

  while (colon > 0 && text.ptr[colon - 1] != ':')
    colon--;
  struct zp_str tail = { .ptr = text.ptr + colon, .len = text.len - colon };
  if (colon == 0 || !zp_str_u64 (tail, &port) || port == 0 || port > 65535)
    return zp_fail (err, ZP_EINVAL, "\"%.*s\" is not of the form IP:port",
                    ZP_ARG (text));

  struct zp_str host = { .ptr = text.ptr, .len = colon - 1 };
  bool v6
      = host.len > 2 && host.ptr[0] == '[' && host.ptr[host.len - 1] == ']';
  if (v6)
    host = (struct zp_str){ .ptr = host.ptr + 1, .len = host.len - 2 };
  memset (out, 0, sizeof *out);
  if (!zp_str_copy (ip, sizeof ip, host))
    return zp_fail (err, ZP_ELIMIT, "address is too long");
  if (v6)
    {
      struct sockaddr_in6 *sa = (struct sockaddr_in6 *) out;
      sa->sin6_family = AF_INET6;
      sa->sin6_port = htons ((uint16_t) port);
      *len = sizeof *sa;
      if (inet_pton (AF_INET6, ip, &sa->sin6_addr) == 1)
        return true;
    }
  else
    {
      struct sockaddr_in *sa = (struct sockaddr_in *) out;
      sa->sin_family = AF_INET;
      sa->sin_port = htons ((uint16_t) port);
      *len = sizeof *sa;
      if (inet_pton (AF_INET, ip, &sa->sin_addr) == 1)
        return true;
    }
  return zp_fail (err, ZP_EINVAL, "\"%s\" is not an IP address", ip);
}

bool
wi_address_is_host (const struct sockaddr_storage *sa)
{
  if (sa->ss_family == AF_INET6)
    {
      const struct in6_addr *a
          = &((const struct sockaddr_in6 *) sa)->sin6_addr;
      return !IN6_IS_ADDR_UNSPECIFIED (a) && !IN6_IS_ADDR_MULTICAST (a);
    }
  in_addr_t a = ntohl (((const struct sockaddr_in *) sa)->sin_addr.s_addr);
  return a != INADDR_ANY && a != INADDR_BROADCAST && !IN_MULTICAST (a);
}

void
wi_address_check (struct zp_str text, const char *path, const char *key,
                  struct zp_report *report)
{
  struct sockaddr_storage sa;
  socklen_t len;
  struct zp_err err;

  if (!wi_address_parse (text, &sa, &len, &err))
    zp_report_add (report, "%s: \"%s\": %s, allowed: IP:port", path, key,
                   err.text);
}
