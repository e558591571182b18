#include "forward/chunks.h"

#include <string.h>

#include "forward/framing.h"

/* Digits of a size that fits into 64 bits.  */
#define SIZE_DIGITS_MAX 16

static struct zp_str
take (struct fw_chunks *c, struct zp_str *bytes, size_t n)
{
  struct zp_str head = { .ptr = bytes->ptr, .len = n };

  bytes->ptr += n;
  bytes->len -= n;
  c->taken += n;
  return head;
}

/* Moves bytes up to the end of a line to C->line.  Returns whether it has
   ended.  */
static bool
take_line (struct fw_chunks *c, struct zp_str *bytes)
{
  const char *end = memchr (bytes->ptr, '\n', bytes->len);
  size_t n = end ? (size_t) (end - bytes->ptr) + 1 : bytes->len;

  zp_buf_put (&c->line, take (c, bytes, n));
  return end != NULL;
}

static int
digit_of (char ch)
{
  if (ch >= '0' && ch <= '9')
    return ch - '0';
  ch |= 'a' ^ 'A';
  return ch >= 'a' && ch <= 'f' ? ch - 'a' + 10 : -1;
}

static bool
ends_line (struct zp_str s)
{
  return zp_str_eq (s, ZP_STR ("\r\n"));
}

/* Whether S is the rest of the line after a size: spaces, and an extension.  */
static bool
is_extension (struct zp_str s)
{
  while (s.len > 0 && (s.ptr[0] == ' ' || s.ptr[0] == '\t'))
    s = (struct zp_str){ .ptr = s.ptr + 1, .len = s.len - 1 };
  if (ends_line (s))
    return true;
  if (s.len < 2 || s.ptr[0] != ';' || s.ptr[s.len - 2] != '\r')
    return false;
  for (size_t i = 0; i < s.len - 2; i++)
    if ((unsigned char) s.ptr[i] < ' ' && s.ptr[i] != '\t')
      return false;
  return !fw_contains_status_line (s);
}

static bool
read_size (struct zp_str line, uint64_t *size)
{
  size_t n = 0;

  *size = 0;
  while (n < line.len && n < SIZE_DIGITS_MAX && digit_of (line.ptr[n]) >= 0)
    *size = *size << 4 | (unsigned) digit_of (line.ptr[n++]);
  return n > 0
         && is_extension (
             (struct zp_str){ .ptr = line.ptr + n, .len = line.len - n });
}

static struct fw_piece
spoil (struct fw_chunks *c)
{
  c->state = FW_CHUNKS_SPOILED;
  return (struct fw_piece){ .kind = FW_PIECE_MALFORMED };
}

/* Reads the line that has ended.  Returns FW_PIECE_NONE when the body goes on
   with the next byte.  */
static struct fw_piece
read_line (struct fw_chunks *c)
{
  struct zp_str line = zp_str_of (&c->line);

  switch (c->state)
    {
    case FW_CHUNKS_AT_SIZE:
      if (!read_size (line, &c->left))
        break;
      c->state = c->left > 0 ? FW_CHUNKS_IN_DATA : FW_CHUNKS_IN_TRAILER;
      return (struct fw_piece){ .kind = FW_PIECE_NONE };
    case FW_CHUNKS_AFTER_DATA:
      if (!ends_line (line))
        break;
      c->state = FW_CHUNKS_AT_SIZE;
      return (struct fw_piece){ .kind = FW_PIECE_NONE };
    case FW_CHUNKS_IN_TRAILER:
      if (!ends_line (line))
        return (struct fw_piece){ .kind = FW_PIECE_TRAILER, .u.bytes = line };
      c->state = FW_CHUNKS_ENDED;
      return (struct fw_piece){ .kind = FW_PIECE_END };
    case FW_CHUNKS_IN_DATA:
    case FW_CHUNKS_ENDED:
    case FW_CHUNKS_SPOILED:
      break;
    }
  return spoil (c);
}

static struct fw_piece
read_data (struct fw_chunks *c, struct zp_str *bytes)
{
  size_t n = bytes->len < c->left ? bytes->len : (size_t) c->left;

  c->left -= n;
  if (c->left == 0)
    c->state = FW_CHUNKS_AFTER_DATA;
  return (struct fw_piece){ .kind = FW_PIECE_DATA,
                            .u.bytes = take (c, bytes, n) };
}

struct fw_piece
fw_chunks_read (struct fw_chunks *c, struct zp_str *bytes)
{
  while (bytes->len > 0)
    switch (c->state)
      {
      case FW_CHUNKS_IN_DATA:
        return read_data (c, bytes);
      case FW_CHUNKS_AT_SIZE:
      case FW_CHUNKS_AFTER_DATA:
      case FW_CHUNKS_IN_TRAILER:
        {
          /* The line before was returned.  */
          if (c->line.len > 0 && c->line.ptr[c->line.len - 1] == '\n')
            zp_buf_clear (&c->line);
          bool ended = take_line (c, bytes);
          if (c->line.len > FW_CHUNK_LINE_MAX)
            return spoil (c);
          if (!ended)
            break;
          struct fw_piece piece = read_line (c);
          if (piece.kind != FW_PIECE_NONE)
            return piece;
          break;
        }
      case FW_CHUNKS_ENDED:
        return (struct fw_piece){ .kind = FW_PIECE_END };
      case FW_CHUNKS_SPOILED:
        return (struct fw_piece){ .kind = FW_PIECE_MALFORMED };
      }
  return (struct fw_piece){ .kind = FW_PIECE_NONE };
}

bool
fw_chunks_are_whole (const struct fw_chunks *c)
{
  return c->state == FW_CHUNKS_IN_TRAILER || c->state == FW_CHUNKS_ENDED;
}

void
fw_chunks_free (struct fw_chunks *c)
{
  zp_buf_free (&c->line);
}
