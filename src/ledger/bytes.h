/* NAME
     bytes - little-endian numbers and byte strings in the ledger's files

   DESCRIPTION
     A byte string is stored as its length in 4 bytes and its contents.

     lg_take_* read a value and remove it from the start of IN.  They return
     false, and leave IN unchanged, when it is too short.  */

#ifndef ZP_LEDGER_BYTES_H
#define ZP_LEDGER_BYTES_H

#include "base/str.h"

void lg_put_u8 (struct zp_buf *out, uint8_t v);
void lg_put_u32 (struct zp_buf *out, uint32_t v);
void lg_put_u64 (struct zp_buf *out, uint64_t v);
void lg_put_bytes (struct zp_buf *out, struct zp_str s);

bool lg_take_u8 (struct zp_str *in, uint8_t *v);
bool lg_take_u32 (struct zp_str *in, uint32_t *v);
bool lg_take_u64 (struct zp_str *in, uint64_t *v);
bool lg_take_bytes (struct zp_str *in, struct zp_str *s);

#endif
