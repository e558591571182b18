/* NAME
     chunks - the body of an answer that is sent in chunks

   DESCRIPTION
     Pure; stepped by the bytes of the connection.  Reads the chunks of RFC 9112
     strictly: a size is hexadecimal digits, with an extension behind a
     semicolon, every line between chunks ends with CR LF, and none has a status
     line in it.  Bytes of another answer, where the connection breaks off one
     and goes on with the next, then make the body malformed: a lenient reader
     skips them as extensions or reads sizes from them.  */

#ifndef ZP_FORWARD_CHUNKS_H
#define ZP_FORWARD_CHUNKS_H

#include "base/str.h"

/* Bytes of a line between chunks, or of a trailer field.  */
#define FW_CHUNK_LINE_MAX (16 * 1024)

enum fw_chunks_state
{
  FW_CHUNKS_AT_SIZE,
  FW_CHUNKS_IN_DATA,
  FW_CHUNKS_AFTER_DATA, /* CR LF is due */
  FW_CHUNKS_IN_TRAILER, /* all chunks have come */
  FW_CHUNKS_ENDED,
  FW_CHUNKS_SPOILED,
};

/* All fields zero before the first byte.  */
struct fw_chunks
{
  enum fw_chunks_state state;
  uint64_t left;      /* bytes of the chunk */
  uint64_t taken;     /* bytes that were read, with those between chunks */
  struct zp_buf line; /* as far as it has come */
};

enum fw_piece_kind
{
  FW_PIECE_NONE, /* more bytes are due */
  FW_PIECE_DATA,
  FW_PIECE_TRAILER, /* the line of a trailer field, with its end */
  FW_PIECE_END,     /* of the body; what follows does not belong to it */
  FW_PIECE_MALFORMED,
};

struct fw_piece
{
  enum fw_piece_kind kind;
  union
  {
    struct zp_str bytes; /* DATA and TRAILER, valid until the next call */
  } u;
};

/* Removes the next piece of the body from BYTES.  */
struct fw_piece fw_chunks_read (struct fw_chunks *c, struct zp_str *bytes);

/* Whether all chunks have come.  */
bool fw_chunks_are_whole (const struct fw_chunks *c);

void fw_chunks_free (struct fw_chunks *c);

#endif
