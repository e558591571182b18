#include "harness.h"

#include "forward/chunks.h"

/* Reads TEXT in two parts, the first with CUT bytes.  Appends the data to BODY
   and the trailer lines to TRAILERS.  */
static enum fw_piece_kind
read_parts (struct fw_chunks *c, const char *text, size_t cut,
            struct zp_buf *body, struct zp_buf *trailers)
{
  const struct zp_str parts[]
      = { { .ptr = text, .len = cut },
          { .ptr = text + cut, .len = strlen (text) - cut } };

  for (size_t i = 0; i < 2; i++)
    for (struct zp_str rest = parts[i]; rest.len > 0;)
      {
        struct fw_piece p = fw_chunks_read (c, &rest);
        switch (p.kind)
          {
          case FW_PIECE_DATA:
            zp_buf_put (body, p.u.bytes);
            break;
          case FW_PIECE_TRAILER:
            zp_buf_put (trailers, p.u.bytes);
            break;
          case FW_PIECE_NONE:
            break;
          case FW_PIECE_END:
          case FW_PIECE_MALFORMED:
            return p.kind;
          }
      }
  return FW_PIECE_NONE;
}

/* Guards against bytes that are lost or added where the connection brings a
   body in parts.  */
static void
test_whole_body (void)
{
  static const char *const text = "5\r\nhello\r\n000A;a=\"b\"\r\n, "
                                  "world\r\n!\r\n0 \r\nX-T: 1\r\n\r\nHTTP";

  for (size_t cut = 0; cut < strlen (text); cut++)
    {
      struct fw_chunks c = { .left = 0 };
      struct zp_buf body = { .ptr = NULL }, trailers = { .ptr = NULL };
      CU_ASSERT_EQUAL (read_parts (&c, text, cut, &body, &trailers),
                       FW_PIECE_END);
      CU_ASSERT (zp_str_eq (zp_str_of (&body), ZP_STR ("hello, world\r\n!")));
      CU_ASSERT (zp_str_eq (zp_str_of (&trailers), ZP_STR ("X-T: 1\r\n")));
      CU_ASSERT (fw_chunks_are_whole (&c));
      CU_ASSERT_EQUAL (c.taken, strlen (text) - strlen ("HTTP"));
      zp_buf_free (&body);
      zp_buf_free (&trailers);
      fw_chunks_free (&c);
    }
}

/* Guards against a size that is guessed, and against bytes between chunks that
   are skipped: they can be those of another answer.  */
static void
test_malformed (void)
{
  static const char *const texts[] = { "x\r\n",
                                       "\r\n",
                                       ";a\r\n",
                                       "5\n",
                                       "5 6\r\nhello\r\n",
                                       "0x5\r\n",
                                       "-5\r\n",
                                       "5HTTP/1.1 500 Error\r\n",
                                       "5;HTTP/1.1 500 Error\r\n",
                                       "5;a\x01\r\n",
                                       "10000000000000005\r\n",
                                       "5\r\nhello5\r\n",
                                       "5\r\nhello\n5\r\n",
                                       "5\r\nhelloX\r\n" };

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      struct fw_chunks c = { .left = 0 };
      struct zp_buf body = { .ptr = NULL }, trailers = { .ptr = NULL };
      CU_ASSERT_EQUAL (read_parts (&c, texts[i], 1, &body, &trailers),
                       FW_PIECE_MALFORMED);
      CU_ASSERT_FALSE (fw_chunks_are_whole (&c));
      zp_buf_free (&body);
      zp_buf_free (&trailers);
      fw_chunks_free (&c);
    }
}

/* Guards against a line without end that takes memory.  */
static void
test_line_without_end (void)
{
  struct fw_chunks c = { .left = 0 };
  struct zp_str bytes = ZP_STR ("1;");
  size_t read = 0;
  enum fw_piece_kind kind = fw_chunks_read (&c, &bytes).kind;

  for (; kind == FW_PIECE_NONE && read < 1024 * 1024; read += 100)
    {
      char pad[100];
      memset (pad, 'a', sizeof pad);
      bytes = (struct zp_str){ .ptr = pad, .len = sizeof pad };
      kind = fw_chunks_read (&c, &bytes).kind;
    }
  CU_ASSERT_EQUAL (kind, FW_PIECE_MALFORMED);
  CU_ASSERT (c.line.len <= FW_CHUNK_LINE_MAX + 100);
  fw_chunks_free (&c);
}

static const struct zp_test tests[] = {
  { "a whole body", test_whole_body },
  { "malformed bodies", test_malformed },
  { "a line without end", test_line_without_end },
};

TEST_MAIN ("chunks", tests)
