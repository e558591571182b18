#include "ledger/recover.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#include "ledger/snapshot.h"
#include "ledger/wal.h"

/* Returns the term of INDEX in the log of S; 0 when the log lacks it.  */
static uint64_t
term_at (const struct lg_init_state *s, uint64_t index)
{
  if (index == s->base_index)
    return s->base_term;
  if (index < s->base_index || index > s->base_index + s->entries.len)
    return 0;
  return s->entries.item[index - s->base_index - 1].term;
}

/* Checks the log of S against its snapshot.  Empties the log when it lacks the
   last entry of the snapshot.  */
static bool
reconcile_snapshot (struct lg_init_state *s, struct zp_err *err)
{
  uint64_t index = s->snapshot ? s->snapshot->index : 0;

  if (s->base_index > index)
    return zp_fail (err, ZP_ECORRUPT,
                    "%s begins after entry %" PRIu64
                    ", but %s ends at %" PRIu64,
                    LG_LOG_FILE, s->base_index, LG_SNAPSHOT_FILE, index);
  if (!s->snapshot || term_at (s, index) == s->snapshot->term)
    return true;
  lg_entries_free (&s->entries);
  s->base_index = index;
  s->base_term = s->snapshot->term;
  s->base_members = s->snapshot->members;
  s->rewrite = true;
  if (s->term < s->base_term)
    return zp_fail (err, ZP_ECORRUPT, "the term in %s is older than in %s",
                    LG_LOG_FILE, LG_SNAPSHOT_FILE);
  return true;
}

bool
lg_recover (const struct lg_files *files, uint64_t id,
            const struct lg_members *members, struct lg_init_state *out,
            size_t *cut, struct zp_err *err)
{
  size_t valid;

  *out = (struct lg_init_state){ .id = id };
  *cut = 0;
  if (!files->log.ptr)
    {
      out->fresh = true;
      out->base_members = *members;
      out->base_members.formed_term = 0;
      if (files->snapshot.ptr)
        return zp_fail (err, ZP_ECORRUPT, "%s is missing, but there is a %s",
                        LG_LOG_FILE, LG_SNAPSHOT_FILE);
      return true;
    }
  if (!lg_wal_decode (files->log, out, &valid, err))
    return false;
  *cut = files->log.len - valid;
  out->rewrite = *cut > 0;
  if (out->id != id)
    return zp_fail (err, ZP_EINVAL,
                    "the data folder belongs to member %" PRIu64
                    ", not %" PRIu64,
                    out->id, id);
  if (files->snapshot.ptr)
    {
      out->snapshot = lg_snapshot_decode (files->snapshot, err);
      if (!out->snapshot)
        return false;
    }
  return reconcile_snapshot (out, err);
}

/* Reads FOLDER/NAME.  OUT stays NULL when there is no such file.  */
static bool
read_file (struct zp_str folder, const char *name, struct zp_buf *out,
           struct zp_err *err)
{
  struct zp_buf path = { .ptr = NULL };
  char chunk[65536];
  ssize_t n = 0;

  zp_buf_printf (&path, "%.*s/%s", ZP_ARG (folder), name);
  int fd = open (path.ptr, O_RDONLY | O_CLOEXEC);
  int e = errno;
  if (fd >= 0)
    {
      zp_buf_put (out, ZP_STR (""));
      while ((n = read (fd, chunk, sizeof chunk)) > 0)
        zp_buf_put_bytes (out, chunk, (size_t) n);
      e = errno;
      close (fd);
    }
  bool ok = fd >= 0 ? n == 0 : e == ENOENT;
  if (!ok)
    zp_fail (err, ZP_EIO, "%s: %s", path.ptr, strerror (e));
  zp_buf_free (&path);
  return ok;
}

bool
lg_recover_folder (struct zp_str folder, uint64_t id,
                   const struct lg_members *members, struct lg_init_state *out,
                   size_t *cut, struct zp_err *err)
{
  struct zp_buf log = { .ptr = NULL }, snapshot = { .ptr = NULL };
  struct zp_err inner;

  *out = (struct lg_init_state){ .id = id };
  bool ok = read_file (folder, LG_LOG_FILE, &log, err)
            && read_file (folder, LG_SNAPSHOT_FILE, &snapshot, err);
  if (ok)
    {
      struct lg_files files
          = { .log = zp_str_of (&log), .snapshot = zp_str_of (&snapshot) };
      ok = lg_recover (&files, id, members, out, cut, &inner);
      if (!ok)
        zp_fail (err, inner.code, "%.*s: %s", ZP_ARG (folder), inner.text);
    }
  zp_buf_free (&log);
  zp_buf_free (&snapshot);
  return ok;
}
