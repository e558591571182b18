#include "ticket/prefix.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

#include "base/limits.h"

static unsigned
address_bits (const struct ti_prefix *p)
{
  return p->family == 4 ? 32 : 128;
}

static int
address_family (const struct ti_prefix *p)
{
  return p->family == 4 ? AF_INET : AF_INET6;
}

static bool
parse_ip (struct zp_str text, struct ti_prefix *out)
{
  char ip[ZP_ADDRESS_MAX];

  *out = (struct ti_prefix){ .family = 0 };
  if (text.len == 0 || !zp_str_copy (ip, sizeof ip, text))
    return false;
  out->family = memchr (ip, ':', text.len) ? 6 : 4;
  return inet_pton (address_family (out), ip, out->ip) == 1;
}

bool
ti_prefix_parse (struct zp_str text, struct ti_prefix *out)
{
  struct zp_str ip, rest;
  uint64_t bits;

  if (!zp_str_split (text, '/', &ip, &rest) || !parse_ip (ip, out))
    return false;
  if (!zp_str_u64 (rest, &bits) || bits > address_bits (out))
    return false;
  if (rest.len > 1 && rest.ptr[0] == '0')
    return false;
  out->bits = (uint8_t) bits;
  for (unsigned bit = out->bits; bit < address_bits (out); bit++)
    if (out->ip[bit / 8] & (0x80U >> bit % 8))
      return false;
  return true;
}

static void
print_ip (const struct ti_prefix *p, struct zp_buf *out)
{
  char ip[INET6_ADDRSTRLEN];

  inet_ntop (address_family (p), p->ip, ip, sizeof ip);
  zp_buf_put (out, zp_str_from (ip));
}

void
ti_prefix_print (const struct ti_prefix *p, struct zp_buf *out)
{
  print_ip (p, out);
  zp_buf_printf (out, "/%u", p->bits);
}

int
ti_prefix_cmp (const struct ti_prefix *a, const struct ti_prefix *b)
{
  if (a->family != b->family)
    return a->family < b->family ? -1 : 1;
  int c = memcmp (a->ip, b->ip, sizeof a->ip);
  if (c != 0)
    return c;
  return (a->bits > b->bits) - (a->bits < b->bits);
}

bool
ti_prefix_contains (const struct ti_prefix *block,
                    const struct ti_prefix *host)
{
  if (block->family != host->family || block->bits > host->bits)
    return false;
  size_t full_bytes = block->bits / 8;
  if (memcmp (block->ip, host->ip, full_bytes) != 0)
    return false;
  if (block->bits % 8 == 0)
    return true;
  unsigned mask = 0xffU << (8 - block->bits % 8) & 0xffU;
  return ((block->ip[full_bytes] ^ host->ip[full_bytes]) & mask) == 0;
}

bool
ti_address_parse (struct zp_str text, struct zp_buf *canonical,
                  struct ti_prefix *host)
{
  size_t colon = text.len;
  uint64_t port;

  while (colon > 0 && text.ptr[colon - 1] != ':')
    colon--;
  if (colon == 0)
    return false;
  struct zp_str rest = { .ptr = text.ptr + colon, .len = text.len - colon };
  struct zp_str ip = { .ptr = text.ptr, .len = colon - 1 };
  if (!zp_str_u64 (rest, &port) || port == 0 || port > 65535)
    return false;
  bool brackets = ip.len > 2 && ip.ptr[0] == '[' && ip.ptr[ip.len - 1] == ']';
  if (brackets)
    ip = (struct zp_str){ .ptr = ip.ptr + 1, .len = ip.len - 2 };
  if (!parse_ip (ip, host) || brackets != (host->family == 6))
    return false;
  host->bits = (uint8_t) address_bits (host);
  if (brackets)
    zp_buf_put (canonical, ZP_STR ("["));
  print_ip (host, canonical);
  zp_buf_printf (canonical, brackets ? "]:%u" : ":%u", (unsigned) port);
  return true;
}
