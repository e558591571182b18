#include "control/identity.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "ticket/json.h"

#define FILE_MAX 4096 /* bytes */
#define FOLDER_MODE 0700

/* The start time in an id has 31 bits and counts the seconds since 2020 began;
   this is that moment in seconds since 1970.  */
#define ID_EPOCH_S 1577836800LL

/* The IPv4 address in "IP:port" as a number; 0: it is not valid.  */
static uint64_t
address_number (struct zp_str address)
{
  struct zp_str host, port;
  char text[ZP_ADDRESS_MAX];
  struct in_addr a;

  zp_str_split (address, ':', &host, &port);
  if (!zp_str_copy (text, sizeof text, host)
      || inet_pton (AF_INET, text, &a) != 1)
    return 0;
  return ntohl (a.s_addr);
}

/* Writes to OUT the log address of the daemon with the HTTP address SEED: the
   host of SEED and the port of OWN, the log address of this daemon.  */
static void
log_address (struct zp_str seed, struct zp_str own, char *out)
{
  struct zp_str host, port, rest;

  zp_str_split (seed, ':', &host, &rest);
  zp_str_split (own, ':', &rest, &port);
  snprintf (out, ZP_ADDRESS_MAX, "%.*s:%.*s", ZP_ARG (host), ZP_ARG (port));
}

static bool
is_founder (const struct ct_identity_options *o)
{
  if (!o->first_start)
    return false;
  for (size_t i = 0; i < o->seeds->len; i++)
    if (zp_str_eq (o->seeds->item[i], o->http))
      return true;
  return false;
}

static bool
make_identity (const struct ct_identity_options *o, struct ct_identity *out,
               struct zp_err *err)
{
  uint64_t number = address_number (o->address);
  char address[ZP_ADDRESS_MAX];

  *out = (struct ct_identity){ .id = number };
  if (number == 0)
    return zp_fail (err, ZP_EINVAL, "address \"%.*s\" is not \"IPv4:port\"",
                    ZP_ARG (o->address));
  if (!is_founder (o))
    {
      int64_t since = o->wall / ZP_SEC - ID_EPOCH_S;
      out->id |= (uint64_t) (since & INT32_MAX) << 32;
      return true;
    }
  for (size_t i = 0; i < o->seeds->len; i++)
    {
      log_address (o->seeds->item[i], o->address, address);
      if (!lg_members_put (&out->founders, address_number (o->seeds->item[i]),
                           true, zp_str_from (address)))
        return zp_fail (err, ZP_EINVAL,
                        "more seeds than a group may have members");
    }
  return true;
}

static void
encode (const struct ct_identity *x, struct zp_buf *out)
{
  zp_buf_printf (out, "{\"id\":%" PRIu64 ",\"founders\":[", x->id);
  for (size_t i = 0; i < x->founders.len; i++)
    zp_buf_printf (out, "%s{\"id\":%" PRIu64 ",\"address\":\"%s\"}",
                   i > 0 ? "," : "", x->founders.item[i].id,
                   x->founders.item[i].address);
  zp_buf_put (out, ZP_STR ("]}\n"));
}

static bool
decode (struct zp_str text, struct ct_identity *out, struct zp_err *err)
{
  struct json_object *root = zp_json_parse (text, err);
  bool ok = root && ti_json_u64 (ti_json_get (root, "id"), &out->id)
            && out->id != 0;
  struct json_object *list = ti_json_get (root, "founders");
  size_t n = json_object_is_type (list, json_type_array)
                 ? json_object_array_length (list)
                 : 0;

  for (size_t i = 0; ok && i < n; i++)
    {
      struct json_object *v = json_object_array_get_idx (list, i);
      uint64_t id;
      ok = ti_json_u64 (ti_json_get (v, "id"), &id)
           && lg_members_put (&out->founders, id, true,
                              ti_json_str (ti_json_get (v, "address")));
    }
  json_object_put (root);
  return ok
         || zp_fail (err, ZP_ECORRUPT, "%s is damaged or incomplete",
                     CT_IDENTITY_FILE);
}

static bool
sync_folder (const char *folder)
{
  int fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  bool ok = fd >= 0 && fsync (fd) == 0;

  if (fd >= 0)
    close (fd);
  return ok;
}

/* Writes a temporary file and renames it to PATH, so that a loss of power
   leaves either no file or a complete one.  */
static bool
save (const char *folder, const char *path, struct zp_str text,
      struct zp_err *err)
{
  struct zp_buf temp = { .ptr = NULL };

  zp_buf_printf (&temp, "%s.new", path);
  int fd = open (temp.ptr, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  bool ok = fd >= 0 && write (fd, text.ptr, text.len) == (ssize_t) text.len
            && fsync (fd) == 0;
  if (fd >= 0)
    ok = close (fd) == 0 && ok;
  ok = ok && rename (temp.ptr, path) == 0 && sync_folder (folder);
  if (!ok)
    zp_fail (err, ZP_EIO, "%s: %s", temp.ptr, strerror (errno));
  zp_buf_free (&temp);
  return ok;
}

bool
ct_identity_load (const struct ct_identity_options *o, struct ct_identity *out,
                  struct zp_err *err)
{
  struct zp_buf folder = zp_buf_from (o->folder), path = { .ptr = NULL };
  struct zp_buf text = { .ptr = NULL };
  struct zp_err e;
  bool ok;

  *out = (struct ct_identity){ .id = 0 };
  zp_buf_printf (&path, "%s/%s", folder.ptr, CT_IDENTITY_FILE);
  if (mkdir (folder.ptr, FOLDER_MODE) < 0 && errno != EEXIST)
    ok = zp_fail (err, ZP_EIO, "%s: %s", folder.ptr, strerror (errno));
  else if (access (path.ptr, F_OK) == 0)
    {
      ok = zp_file_read (path.ptr, &text, FILE_MAX, &e)
           && decode (zp_str_of (&text), out, &e);
      if (!ok && err)
        *err = e;
    }
  else if (errno != ENOENT)
    ok = zp_fail (err, ZP_EIO, "%s: %s", path.ptr, strerror (errno));
  else
    {
      ok = make_identity (o, out, err);
      encode (out, &text);
      ok = ok && save (folder.ptr, path.ptr, zp_str_of (&text), err);
    }
  zp_buf_free (&text);
  zp_buf_free (&path);
  zp_buf_free (&folder);
  return ok;
}
